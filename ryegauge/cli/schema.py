"""Command that prints the JSON Schemas of jobs and messages."""

import json

import click

from ryegauge.cli.common import fail


@click.command()
@click.argument("what", type=click.Choice(["job", "message"]))
def schema(what: str) -> None:
    """Print the JSON Schema of a submitted job, or of the body of a queue's message."""
    try:
        from ryegauge.queues.schema import job_schema, message_schema
    except ImportError as error:
        fail(f"schemas need: pip install 'ryegauge[queues]' ({error})", 2)
    click.echo(json.dumps(job_schema() if what == "job" else message_schema(), indent=2))

"""The command line: serve, check-config, and submit, status and cancel for users."""

import json
import sys
from typing import Any, NoReturn

import click

from ryegauge import __version__
from ryegauge.config import ConfigError, load
from ryegauge.transport.http import split_address

_config = click.option("--config", required=True, type=click.Path(), help="Settings file (TOML).")
_properties = click.option(
    "--properties",
    type=click.Path(),
    help="Operators' properties (Java style); default: the file named by RYEGAUGE_PROPERTIES.",
)
_server = click.option(
    "--server",
    default="127.0.0.1:8080",
    show_default=True,
    envvar="RYEGAUGE_SERVER",
    help="HOST:PORT of a controller or load balancer.",
)


@click.group()
@click.version_option(__version__, prog_name="ryegauge")
def main() -> None:
    """A cluster scheduler that rents its machines."""


def _fail(message: str, code: int) -> NoReturn:
    click.echo(f"ryegauge: {message}", err=True)
    sys.exit(code)


@main.command()
@_config
@_properties
def serve(config: str, properties: str | None) -> None:
    """Run a controller until it is killed."""
    from ryegauge.service import serve as run

    run(config, properties)


@main.command("check-config")
@_config
@_properties
def check_config(config: str, properties: str | None) -> None:
    """Check a settings file, and the properties, without starting anything."""
    try:
        settings = load(config, properties)
    except ConfigError as error:
        _fail(str(error), 2)
    click.echo(
        f"{config}: good: controller {settings.node_name} of {settings.settings.nodes}, "
        f"{len(settings.settings.teams)} teams, term of authority {settings.term_s:.3g} s"
    )


def _call(server: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    import trio

    from ryegauge.transport.http import Client, Unreachable

    try:
        host, port = split_address(server)
    except ValueError as error:
        _fail(f"--server: {error}", 2)

    async def call() -> tuple[int, Any]:
        client = Client(host, port, max_connections=1, idle_s=1.0)
        status, answer, _ = await client.request(method, path, body, timeout_s=5.0)
        return status, answer

    try:
        return trio.run(call)
    except Unreachable as error:
        _fail(f"{server}: no answer: {error}", 3)


def _show(status: int, answer: Any) -> None:
    click.echo(json.dumps(answer))
    if status not in (200, 201):
        _fail(f"status {status}", 1)


@main.command()
@_server
@click.argument("job", type=click.File("rb"))
def submit(server: str, job: Any) -> None:
    """Submit the job in the JSON file JOB (- for standard input)."""
    try:
        body = json.load(job)
    except ValueError as error:
        _fail(f"{job.name}: not JSON: {error}", 2)
    _show(*_call(server, "POST", "/v1/jobs", body))


@main.command()
@_server
@click.argument("uid")
def status(server: str, uid: str) -> None:
    """Show the state of the job UID."""
    _show(*_call(server, "GET", f"/v1/jobs/{uid}"))


@main.command()
@_server
@click.argument("uid")
def cancel(server: str, uid: str) -> None:
    """Cancel the job UID."""
    _show(*_call(server, "POST", f"/v1/jobs/{uid}/cancel"))

"""Commands for users: submit a job, show its state, cancel it."""

import json
from typing import Any

import click
import trio

from ryegauge.cli.common import fail, server_option
from ryegauge.transport.http import Client, Unreachable, split_address


def _call(server: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    try:
        host, port = split_address(server)
    except ValueError as error:
        fail(f"--server: {error}", 2)

    async def call() -> tuple[int, Any]:
        client = Client(host, port, max_connections=1, idle_s=1.0)
        status, answer, _ = await client.request(method, path, body, timeout_s=5.0)
        return status, answer

    try:
        return trio.run(call)
    except Unreachable as error:
        fail(f"{server}: no answer: {error}", 3)


def _print_answer(status: int, answer: Any) -> None:
    click.echo(json.dumps(answer))
    if status not in (200, 201):
        fail(f"status {status}", 1)


@click.command()
@server_option
@click.argument("job", type=click.File("rb"))
def submit(server: str, job: Any) -> None:
    """Submit the job in the JSON file JOB (- for standard input)."""
    try:
        body = json.load(job)
    except ValueError as error:
        fail(f"{job.name}: not JSON: {error}", 2)
    _print_answer(*_call(server, "POST", "/v1/jobs", body))


@click.command()
@server_option
@click.argument("uid")
def status(server: str, uid: str) -> None:
    """Show the state of the job UID."""
    _print_answer(*_call(server, "GET", f"/v1/jobs/{uid}"))


@click.command()
@server_option
@click.argument("uid")
def cancel(server: str, uid: str) -> None:
    """Cancel the job UID."""
    _print_answer(*_call(server, "POST", f"/v1/jobs/{uid}/cancel"))

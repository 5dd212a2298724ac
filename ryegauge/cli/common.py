"""Options and error handling shared by several commands."""

import sys
from typing import NoReturn

import click

config_option = click.option(
    "--config", required=True, type=click.Path(), help="Settings file (TOML)."
)
properties_option = click.option(
    "--properties",
    type=click.Path(),
    help="Operators' properties (Java style); default: the file named by RYEGAUGE_PROPERTIES.",
)
server_option = click.option(
    "--server",
    default="127.0.0.1:8080",
    show_default=True,
    envvar="RYEGAUGE_SERVER",
    help="HOST:PORT of a controller or load balancer.",
)


def fail(message: str, code: int) -> NoReturn:
    """Print an error and exit.

    Exit codes: 1 the request was refused, 2 wrong usage or files, 3 no answer.
    """
    click.echo(f"ryegauge: {message}", err=True)
    sys.exit(code)

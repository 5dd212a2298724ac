"""Command that runs an emulated installation on this machine, for trying things out."""

import logging
import sys
from pathlib import Path

import click
import msgspec
import trio

from ryegauge.cli.common import fail
from ryegauge.config import ConfigError, read_toml
from ryegauge.emulator.live import Emulation, Installation


@click.command()
@click.option(
    "--config",
    type=click.Path(dir_okay=False, path_type=Path),
    help="TOML file: controllers, teams, types, commands, speed, seed; "
    "docs/operations/emulator.md. Default: one controller, two teams, a few machines.",
)
@click.option(
    "--listen",
    default="127.0.0.1:8080",
    show_default=True,
    help="Loopback HOST:PORT of the first controller; the others follow.",
)
@click.option(
    "--controllers",
    type=click.IntRange(0, 9),
    help="Controllers to start; 0: only the services and workers that they talk to.",
)
@click.option(
    "--queues",
    "queues_file",
    type=click.Path(dir_okay=False, exists=True),
    help="TOML file with bindings: serve them, with an emulated broker on the port of "
    "the first one's URL (deploy/queues.toml is an example).",
)
@click.option("--verbose", is_flag=True, help="Log what controllers and workers do.")
def emulate(
    config: Path | None,
    listen: str,
    controllers: int | None,
    verbose: bool,
    queues_file: str | None,
) -> None:
    """Run a state service, a cloud, workers and controllers until interrupted.

    Tasks sleep for a tenth of the run time that their job expects, or run the command that the
    configuration names for their class. Nothing is kept after the end.
    """
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO if verbose else logging.WARNING,
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    try:
        emulation = Emulation() if config is None else read_toml(config, Emulation)
        if controllers is not None:
            emulation = msgspec.structs.replace(emulation, controllers=controllers)
        installation = Installation(emulation, listen, queues_file)
    except ConfigError as error:
        fail(str(error), 2)
    teams = ", ".join(team.name for team in emulation.teams)
    click.echo(f"controllers: {', '.join(installation.controllers.values())}; teams: {teams}")
    click.echo("Press Ctrl-C to stop; nothing is kept.")
    try:
        trio.run(installation.run)
    except* KeyboardInterrupt:
        pass
    except* OSError as group:
        fail(f"cannot listen on {listen} or the ports after it: {group.exceptions[0]}", 1)

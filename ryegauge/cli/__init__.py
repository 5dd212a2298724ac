"""The command line. Each command is a module of its own, loaded when it is called: a
controller that starts must not pay for the others."""

from importlib import import_module

import click

from ryegauge import __version__

# Command: module below this package and the name of the command in it.
COMMANDS = {
    "serve": ("controller", "serve"),
    "check-config": ("controller", "check_config"),
    "submit": ("jobs", "submit"),
    "status": ("jobs", "status"),
    "cancel": ("jobs", "cancel"),
    "queues": ("queues", "queues"),
    "schema": ("schema", "schema"),
    "emulate": ("emulate", "emulate"),
    "experiment": ("experiment", "experiment"),
    "snapshot": ("snapshot", "snapshot"),
}


class LazyGroup(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        module, name = COMMANDS[cmd_name]
        command: click.Command = getattr(import_module(f"ryegauge.cli.{module}"), name)
        return command


@click.group(cls=LazyGroup)
@click.version_option(__version__, prog_name="ryegauge")
def main() -> None:
    """A cluster scheduler that rents its machines."""

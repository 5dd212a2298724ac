"""The command line.

Commands are imported only when they are called, so that a controller does not load the others.
"""

from importlib import import_module

import click

from ryegauge import __version__

# Command -> (module in this package, name of the command in it).
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
    """A group that imports a command's module when the command is looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands, without importing any."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command; None if there is none of this name."""
        if cmd_name not in COMMANDS:
            return None
        module, name = COMMANDS[cmd_name]
        command: click.Command = getattr(import_module(f"ryegauge.cli.{module}"), name)
        return command


@click.group(cls=LazyGroup)
@click.version_option(__version__, prog_name="ryegauge")
def main() -> None:
    """A cluster scheduler that rents its machines."""

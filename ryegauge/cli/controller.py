"""Commands that run a controller or check its settings."""

import click

from ryegauge.cli.common import config_option, fail, properties_option
from ryegauge.config import ConfigError, load


@click.command()
@config_option
@properties_option
def serve(config: str, properties: str | None) -> None:
    """Run a controller until it is killed."""
    from ryegauge.service import serve as run

    run(config, properties)


@click.command("check-config")
@config_option
@properties_option
def check_config(config: str, properties: str | None) -> None:
    """Check a settings file and the properties without starting a controller."""
    try:
        settings = load(config, properties)
        bindings_summary = ""
        if settings.properties.queues_file:
            from ryegauge.queues import bindings

            queues = bindings.load(settings.properties.queues_file, settings)
            bindings_summary = f", queues: {', '.join(b.name for b in queues.bindings)}"
    except ConfigError as error:
        fail(str(error), 2)
    click.echo(
        f"{config}: good: controller {settings.node_name} of {settings.settings.nodes}, "
        f"{len(settings.settings.teams)} teams, "
        f"controller lease {settings.controller_lease_s:.3g} s, "
        f"order of jobs: {settings.properties.ordering}{bindings_summary}"
    )

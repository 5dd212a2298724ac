"""Snapshots: what is there, whether it can be used, and putting one back."""

import os
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from ryegauge.cli.common import config_option, fail
from ryegauge.config import ConfigError, load

if TYPE_CHECKING:
    from ryegauge.rebuilding.snapshots import Snapshot

optional_config_option = click.option(
    "--config", type=click.Path(), help="Settings file (TOML): whether they are of this fleet."
)


@click.group()
def snapshot() -> None:
    """List, check and put back snapshots of what controllers know.

    They are taken where the properties name a directory (snapshots.directory). A controller
    looks at those in its directory when it starts and each time that it takes one, and puts
    back what the state service has lost.
    """


def _read_snapshot(path: Path, fleet: str | None) -> "Snapshot":
    """Raises Unusable."""
    try:
        from ryegauge.rebuilding.snapshots import Unusable, decoded
    except ImportError as error:
        fail(f"snapshots need: pip install 'ryegauge[snapshots]' ({error})", 2)
    try:
        return decoded(path.read_bytes(), fleet)
    except OSError as error:
        raise Unusable(f"cannot be read: {error.strerror}") from None


def _configured_fleet(config: str | None) -> str | None:
    if config is None:
        return None
    try:
        from ryegauge.rebuilding.snapshots import fleet_of
    except ImportError as error:
        fail(f"snapshots need: pip install 'ryegauge[snapshots]' ({error})", 2)
    try:
        return fleet_of(load(config))
    except ConfigError as error:
        fail(str(error), 2)


def _describe(path: Path, fleet: str | None) -> tuple[str, bool]:
    from ryegauge.rebuilding.snapshots import Unusable

    try:
        header, known_state = _read_snapshot(path, fleet)
    except Unusable as error:
        return f"{path}: {error}", False
    jobs = sum(key.startswith("r/j/") and key.count("/") == 2 for key in known_state.records)
    at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(header.at))
    return (
        f"{path}: good: {at}, by {header.node}, era {header.epoch}, "
        f"revision {header.state_revision}, {jobs} jobs in {len(known_state.records)} records, "
        f"{len(known_state.final_outcomes)} outcomes"
    ), True


@snapshot.command("list")
@click.argument("directory", type=click.Path(exists=True, file_okay=False, path_type=Path))
@optional_config_option
def list_(directory: Path, config: str | None) -> None:
    """What is in DIRECTORY, the newest first; those that cannot be used with the reason."""
    fleet = _configured_fleet(config)
    paths = sorted(directory.glob("*.ryegauge"), reverse=True)
    for path in paths:
        click.echo(_describe(path, fleet)[0])
    if not paths:
        click.echo(f"{directory}: no snapshots", err=True)


@snapshot.command()
@click.argument("file", nargs=-1, required=True, type=click.Path(path_type=Path))
@optional_config_option
def check(file: tuple[Path, ...], config: str | None) -> None:
    """Whether each FILE can be used; exit code 1 if one cannot."""
    fleet = _configured_fleet(config)
    lines = [_describe(path, fleet) for path in file]
    for line, _ in lines:
        click.echo(line)
    if not all(good for _, good in lines):
        fail("not all can be used", 1)


@snapshot.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--into",
    required=True,
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="The directory that a controller's snapshots.directory names.",
)
@config_option
def put(file: Path, into: Path, config: str) -> None:
    """Have a controller put FILE back: it looks at it within snapshots.every.s, or when it
    starts. Nothing is undone: of a record that is there, the newer one counts."""
    line, good = _describe(file, _configured_fleet(config))
    click.echo(line)
    if not good:
        fail("cannot be used", 1)
    name = f"{round(1000 * time.time()):015d}-put{file.suffix}"
    temporary = into / f"{name}.part"
    try:
        temporary.write_bytes(file.read_bytes())
        os.replace(temporary, into / name)
    except OSError as error:
        fail(f"{into}: {error.strerror}", 2)
    click.echo(f"{into / name}: the controller's log tells what it makes of it")

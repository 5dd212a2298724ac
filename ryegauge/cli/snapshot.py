"""Commands that list and check snapshots and hand one to a controller to restore."""

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
    "--config",
    type=click.Path(),
    help="Settings file (TOML): also check that the snapshots are of this fleet.",
)


@click.group()
def snapshot() -> None:
    """List, check and restore snapshots of what controllers know.

    Controllers take snapshots if the properties name a directory (snapshots.directory). A
    controller inspects the snapshots in its directory when it starts and whenever it takes one,
    and restores what the state service has lost.
    """


def _read_snapshot(path: Path, fleet: str | None) -> "Snapshot":
    """Read a snapshot; raises Unusable, also if it is of another fleet than a given one."""
    try:
        from ryegauge.rebuilding.snapshots import Unusable, decoded
    except ImportError as error:
        fail(f"snapshots need: pip install 'ryegauge[snapshots]' ({error})", 2)
    try:
        return decoded(path.read_bytes(), fleet)
    except OSError as error:
        raise Unusable(f"cannot be read: {error.strerror}") from None


def _configured_fleet(config: str | None) -> str | None:
    """The fleet of a settings file, None without a file."""
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
    """One line about a snapshot, and whether it can be used."""
    from ryegauge.rebuilding.snapshots import Unusable

    try:
        header, known_state = _read_snapshot(path, fleet)
    except Unusable as error:
        return f"{path}: {error}", False
    jobs = sum(key.startswith("r/j/") and key.count("/") == 2 for key in known_state.records)
    taken_at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(header.taken_at))
    return (
        f"{path}: good: {taken_at}, by {header.node}, epoch {header.epoch}, "
        f"revision {header.state_revision}, {jobs} jobs in {len(known_state.records)} records, "
        f"{len(known_state.final_outcomes)} outcomes"
    ), True


@snapshot.command("list")
@click.argument("directory", type=click.Path(exists=True, file_okay=False, path_type=Path))
@optional_config_option
def list_(directory: Path, config: str | None) -> None:
    """List the snapshots in DIRECTORY, newest first, with the reason if one cannot be used."""
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
    """Check whether each FILE can be used; exit code 1 if one cannot."""
    fleet = _configured_fleet(config)
    descriptions = [_describe(path, fleet) for path in file]
    for line, _ in descriptions:
        click.echo(line)
    if not all(usable for _, usable in descriptions):
        fail("some snapshots cannot be used", 1)


@snapshot.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--into",
    required=True,
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="The directory of a controller's property snapshots.directory.",
)
@config_option
def put(file: Path, into: Path, config: str) -> None:
    """Have a controller restore the snapshot FILE.

    The file is copied into the controller's directory of snapshots, which it inspects within
    snapshots.every.s and when it starts. Nothing is undone: if a record exists, the newer one
    counts.
    """
    line, usable = _describe(file, _configured_fleet(config))
    click.echo(line)
    if not usable:
        fail(f"{file}: the snapshot cannot be used", 1)
    name = f"{round(1000 * time.time()):015d}-put{file.suffix}"
    temporary = into / f"{name}.part"
    try:
        temporary.write_bytes(file.read_bytes())
        os.replace(temporary, into / name)
    except OSError as error:
        fail(f"{into}: {error.strerror}", 2)
    click.echo(f"{into / name}: the controller's log reports what it restores")

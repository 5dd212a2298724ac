"""Runs a controller until it is killed.

Imports nothing that only the command line needs: a restarted controller has to be up before its
workers' leases expire."""

import logging
import os
import sys
from typing import NoReturn

import trio

from ryegauge.config import ConfigError, load
from ryegauge.coordination.node import Node
from ryegauge.transport.http import TcpNetwork

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def fail(message: str, code: int) -> NoReturn:
    """Prints an error to stderr and exits with this code."""
    print(f"ryegauge: {message}", file=sys.stderr)
    sys.exit(code)


def _log_to_stderr() -> None:
    name = os.environ.get("LOG_LEVEL", "info").lower()
    if name not in LOG_LEVELS:
        fail(f"LOG_LEVEL: expected one of {', '.join(LOG_LEVELS)}, got {name!r}", 2)
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS[name],
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )


def _flatten(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    """Returns the exceptions in a group, nested groups included."""
    return [
        leaf
        for error in group.exceptions
        for leaf in (_flatten(error) if isinstance(error, BaseExceptionGroup) else [error])
    ]


# Thresholds of the cyclic garbage collector's generations, see gc.set_threshold.
GC_THRESHOLDS = (10_000, 20, 50)


def serve(config: str, properties: str | None = None) -> None:
    """Runs a controller with this settings file and, if given, this properties file.

    Exits with 2 if the settings are unusable, with 1 if an address cannot be bound, and with 130
    if it is interrupted."""
    _log_to_stderr()
    try:
        settings = load(config, properties)
    except ConfigError as error:
        fail(str(error), 2)
    import gc
    import random
    import time

    # Few objects here form reference cycles, and the default thresholds cost about 1% of the run
    # time (benchmark days: 351 and 345 s, with these thresholds 346 and 343 s).
    gc.set_threshold(*GC_THRESHOLDS)
    queue_task = None
    if settings.properties.queues_file:
        try:
            from ryegauge.queues import bindings
            from ryegauge.queues.front import front_of
            from ryegauge.queues.meter import Meter
        except ImportError as error:
            fail(f"queues need: pip install 'ryegauge[queues]' ({error})", 2)
        try:
            queues = bindings.load(settings.properties.queues_file, settings)
        except ConfigError as error:
            fail(str(error), 2)
        meters: dict[str, Meter] = {}
        queue_task = front_of(queues, random.SystemRandom(), meters=meters)

    snapshot_directory = None
    if settings.properties.snapshots_directory:
        try:
            from ryegauge.coordination.snapshotting import Directory
        except ImportError as error:
            fail(f"snapshots need: pip install 'ryegauge[snapshots]' ({error})", 2)
        if not os.path.isdir(settings.properties.snapshots_directory):
            fail(f"snapshots.directory: no directory {settings.properties.snapshots_directory}", 2)
        snapshot_directory = Directory(settings.properties.snapshots_directory)

    async def run() -> None:
        network = TcpNetwork()
        async with trio.open_nursery() as nursery:
            if queue_task is not None and settings.properties.metrics_listen:
                from ryegauge.queues import exporter

                nursery.start_soon(
                    exporter.serve, network, settings.properties.metrics_listen, meters
                )
            await Node(
                settings, network, time.time, random.SystemRandom(), queue_task, snapshot_directory
            ).run()

    errors: list[BaseException] = []
    try:
        trio.run(run)
    except* (KeyboardInterrupt, OSError) as group:
        errors += _flatten(group)
    if any(isinstance(error, KeyboardInterrupt) for error in errors):
        sys.exit(130)
    if errors:
        reason = str(errors[0])
        fail(f"cannot listen on {settings.listen} and {settings.mesh_addr}: {reason}", 1)

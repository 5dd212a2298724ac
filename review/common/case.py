"""Runs one case: starts the platform and the controllers, plays the case, ends everything."""

import os
import random
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from common.controllers import Controllers, Deployment
from common.platform import MachineType, Platform
from common.record import Record
from common.users import Users

LIMIT_S = 112.0  # a case has to end within 120 s

# Whether the disruption is brought about.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not bring about what it is about."""


class Setup:
    """What a case plays with."""

    def __init__(self, platform: Platform, controllers: Controllers, users: Users) -> None:
        self.platform, self.controllers, self.users = platform, controllers, users
        self.record = platform.record


def run_case(
    folder: Path,
    deployment: Deployment,
    types: list[MachineType],
    play: Callable[[Setup], Awaitable[None]],
) -> None:
    """Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder / "record.txt")
    seed = int(os.environ.get("SEED", "1"))
    random.seed(seed)
    record.note(f"disruption: {'on' if TROUBLE else 'off'}, seed {seed}")
    code = 2
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        platform_and_controllers: list[Controllers] = []

        async def main() -> None:
            platform = Platform(deployment, types, record)
            controllers = Controllers(
                deployment, directory, record, platform.state_address, platform.cloud_address
            )
            platform_and_controllers.append(controllers)
            platform.controllers = controllers.addresses
            async with trio.open_nursery() as nursery:
                nursery.start_soon(platform.run)
                controllers.start_all()
                with trio.fail_after(LIMIT_S):
                    await play(Setup(platform, controllers, Users(platform)))
                nursery.cancel_scope.cancel()

        try:
            trio.run(main)
            code = 1 if record.violations else 0
        except BaseException:
            record.note("the case could not run:\n" + traceback.format_exc())
            code = 1 if record.violations else 2
        finally:
            for controllers in platform_and_controllers:
                controllers.end_all()
                if os.environ.get("KEEP_LOGS"):
                    for node in controllers.names:
                        (folder / f"{node}.log").write_text(controllers.log(node))
    record.note(f"result: {code}")
    for line in record.violations[:5]:
        print(line)
    sys.exit(code)

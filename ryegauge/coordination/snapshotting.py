"""Takes snapshots while serving, and looks at those that are there. Only where the property
`snapshots.directory` names a directory."""

import logging
import os
from pathlib import Path
from typing import Protocol

import trio

from ryegauge.bookkeeping.state_replica import archive_key
from ryegauge.coordination.node_context import RETRYABLE_ERRORS, NodeContext
from ryegauge.rebuilding.loss_detection import LossDetector
from ryegauge.rebuilding.records import keep
from ryegauge.rebuilding.snapshots import (
    SUFFIX,
    Snapshot,
    SnapshotHeader,
    Unusable,
    decoded,
    encode_snapshot,
    evidence_of_loss,
    fleet_of,
    missing_jobs,
    snapshot_name,
    snapshots_to_delete,
)

log = logging.getLogger(__name__)

# So many of a controller's own are kept.
KEPT = 3

# Jobs of a snapshot that are looked up one by one, if the book does not have them.
LOOKED_UP = 20

# Between two pieces, as a share of a report's interval: taking one is never in a hurry.
PAUSE = 0.01


class Disk(Protocol):
    """Where snapshots are."""

    async def names(self) -> list[str]: ...

    async def read(self, name: str) -> bytes: ...

    async def write(self, name: str, pieces: list[bytes]) -> None:
        """All of it or nothing, also if the machine stops meanwhile."""

    async def delete(self, name: str) -> None: ...


class Directory:
    """A directory of this machine. Errors are OSError."""

    def __init__(self, path: str) -> None:
        self._path = Path(path)

    async def names(self) -> list[str]:
        return await trio.to_thread.run_sync(lambda: sorted(os.listdir(self._path)))

    async def read(self, name: str) -> bytes:
        return await trio.to_thread.run_sync((self._path / name).read_bytes)

    async def write(self, name: str, pieces: list[bytes]) -> None:
        await trio.to_thread.run_sync(self._write, name, pieces)

    def _write(self, name: str, pieces: list[bytes]) -> None:
        beside = self._path / f"{name}.part"
        with open(beside, "wb") as file:
            file.writelines(pieces)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, self._path / name)

    async def delete(self, name: str) -> None:
        await trio.to_thread.run_sync(os.unlink, self._path / name)


class Snapshotting:
    def __init__(self, context: NodeContext, loss_detector: LossDetector, disk: Disk) -> None:
        self._context = context
        self._noticing = loss_detector
        self._disk = disk
        self._fleet = fleet_of(context.settings)
        self._seen: set[str] = set()  # files that were looked at, or are ours

    async def run(self) -> None:
        every_s = self._context.settings.properties.snapshots_every_s
        while True:
            await trio.sleep(every_s)
            try:
                await self.look()
                if (
                    not self._context.data_loss_suspected()
                    and self._context.replica.recovery_complete
                ):
                    await self._take()
            except (*RETRYABLE_ERRORS, OSError) as error:
                log.warning("snapshots: %s", error)

    async def look(self) -> None:
        """At files that have not been looked at, the newest first. What one holds and the state
        service has lost is put back."""
        names = [name for name in await self._disk.names() if name.endswith(SUFFIX)]
        for name in sorted(names, reverse=True):
            if name in self._seen:
                continue
            self._seen.add(name)
            try:
                snapshot = decoded(await self._disk.read(name), self._fleet)
            except Unusable as error:
                log.warning("snapshot %s %s: passed over", name, error)
                continue
            if why := await self._proof(snapshot):
                log.warning(
                    "snapshot %s of %s: %d records, %d outcomes",
                    name,
                    snapshot.header.node,
                    len(snapshot.known_state.records),
                    len(snapshot.known_state.final_outcomes),
                )
                self._noticing.learn(snapshot.known_state)
                self._noticing.report_loss(why)
                return

    async def _proof(self, snapshot: Snapshot) -> str:
        await self._context.syncer.wait_for_read()
        if why := evidence_of_loss(snapshot, self._context.replica):
            return why
        for n, uid in enumerate(missing_jobs(snapshot, self._context.replica)):
            if n == LOOKED_UP:
                break
            if await self._context.state.get(archive_key(uid), timeout_s=1.0) is None:
                await self._context.syncer.wait_for_read()
                if (
                    uid not in self._context.replica.jobs
                    and uid not in self._context.replica.restored_outcomes
                ):
                    return f"a snapshot has {uid}"
        return ""

    async def _take(self) -> None:
        replica, began = self._context.replica, trio.current_time()
        header = SnapshotHeader(
            self._fleet,
            self._context.settings.node_name,
            self._context.wall(),
            replica.epoch,
            replica.state_revision,
        )
        known_state = keep(replica, False)
        pieces: list[bytes] = []
        for piece in encode_snapshot(header, known_state):
            pieces.append(piece)
            await trio.sleep(PAUSE * self._context.report_s)
        name = snapshot_name(header)
        self._seen.add(name)
        await self._disk.write(name, pieces)
        mine = [n for n in await self._disk.names() if n.endswith(f"-{header.node}{SUFFIX}")]
        for old in snapshots_to_delete(mine, KEPT):
            await self._disk.delete(old)
        log.info(
            "snapshot %s: %d records, %d outcomes, %d bytes, %.1f s",
            name,
            len(known_state.records),
            len(known_state.final_outcomes),
            sum(map(len, pieces)),
            trio.current_time() - began,
        )

"""Takes snapshots at intervals, and checks existing ones for signs of a loss. Only used where the
property `snapshots.directory` names a directory."""

import logging
import os
from pathlib import Path
from typing import Protocol

import trio

from ryegauge.bookkeeping.state_replica import archive_key
from ryegauge.coordination.node_context import RETRYABLE_ERRORS, NodeContext
from ryegauge.rebuilding.loss_detection import LossDetector
from ryegauge.rebuilding.records import copy_known_state
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

# Snapshots that a controller keeps of its own; older ones are deleted.
MAX_SNAPSHOTS_KEPT = 3

# Jobs of a snapshot, missing in the replica, that are looked up in the state service one by one.
MAX_JOBS_LOOKED_UP = 20

# Pause between two chunks of a snapshot, as a share of the report interval. Taking a snapshot
# is not urgent and must not delay anything else.
CHUNK_PAUSE_REPORTS = 0.01


class Disk(Protocol):
    """Storage for snapshots."""

    async def names(self) -> list[str]:
        """Returns the names of all files."""
        ...

    async def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        ...

    async def write(self, name: str, pieces: list[bytes]) -> None:
        """Writes a file atomically: all or nothing, even if the machine stops meanwhile."""

    async def delete(self, name: str) -> None:
        """Deletes a file."""
        ...


class Directory:
    """Snapshots in a directory of this machine. Methods raise OSError."""

    def __init__(self, path: str) -> None:
        self._path = Path(path)

    async def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return await trio.to_thread.run_sync(lambda: sorted(os.listdir(self._path)))

    async def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        return await trio.to_thread.run_sync((self._path / name).read_bytes)

    async def write(self, name: str, pieces: list[bytes]) -> None:
        """Writes a file under another name, syncs it to the disk and renames it."""
        await trio.to_thread.run_sync(self._write, name, pieces)

    def _write(self, name: str, pieces: list[bytes]) -> None:
        partial_path = self._path / f"{name}.part"
        with open(partial_path, "wb") as file:
            file.writelines(pieces)
            file.flush()
            os.fsync(file.fileno())
        os.replace(partial_path, self._path / name)

    async def delete(self, name: str) -> None:
        """Deletes a file."""
        await trio.to_thread.run_sync(os.unlink, self._path / name)


class Snapshotting:
    """Takes snapshots and checks those on the disk."""

    def __init__(self, context: NodeContext, loss_detector: LossDetector, disk: Disk) -> None:
        self._context = context
        self._loss_detector = loss_detector
        self._disk = disk
        self._fleet = fleet_of(context.settings)
        # Files already checked, or written by this controller.
        self._checked_names: set[str] = set()

    async def run(self) -> None:
        """Checks for new snapshots and takes one every `snapshots.every.s`. None is taken while
        data may be missing."""
        every_s = self._context.settings.properties.snapshots_every_s
        while True:
            await trio.sleep(every_s)
            try:
                await self.check_new_snapshots()
                if (
                    not self._context.data_loss_suspected()
                    and self._context.replica.recovery_complete
                ):
                    await self._take_snapshot()
            except (*RETRYABLE_ERRORS, OSError) as error:
                log.warning("snapshots: %s", error)

    async def check_new_snapshots(self) -> None:
        """Checks snapshots that have not been checked, the newest first, up to the first that
        shows a loss. Its content is then restored in the next epoch."""
        names = [name for name in await self._disk.names() if name.endswith(SUFFIX)]
        for name in sorted(names, reverse=True):
            if name in self._checked_names:
                continue
            self._checked_names.add(name)
            try:
                snapshot = decoded(await self._disk.read(name), self._fleet)
            except Unusable as error:
                log.warning("ignoring snapshot %s: it %s", name, error)
                continue
            if evidence := await self._find_evidence(snapshot):
                log.warning(
                    "snapshot %s of %s shows a loss: %d records, %d outcomes",
                    name,
                    snapshot.header.node,
                    len(snapshot.known_state.records),
                    len(snapshot.known_state.final_outcomes),
                )
                self._loss_detector.add_snapshot_state(snapshot.known_state)
                self._loss_detector.report_loss(evidence)
                return

    async def _find_evidence(self, snapshot: Snapshot) -> str:
        """Says why a snapshot shows a loss, compared with a new read; empty if it does not."""
        await self._context.syncer.wait_for_read()
        if evidence := evidence_of_loss(snapshot, self._context.replica):
            return evidence
        for n, uid in enumerate(missing_jobs(snapshot, self._context.replica)):
            if n == MAX_JOBS_LOOKED_UP:
                break
            if await self._context.state.get(archive_key(uid), timeout_s=1.0) is None:
                await self._context.syncer.wait_for_read()
                if (
                    uid not in self._context.replica.jobs
                    and uid not in self._context.replica.restored_outcomes
                ):
                    return f"a snapshot has job {uid}, which has neither a record nor an outcome"
        return ""

    async def _take_snapshot(self) -> None:
        """Writes a snapshot and deletes this controller's outdated ones."""
        replica, began = self._context.replica, trio.current_time()
        header = SnapshotHeader(
            self._fleet,
            self._context.settings.node_name,
            self._context.wall(),
            replica.epoch,
            replica.state_revision,
        )
        known_state = copy_known_state(replica, False)
        pieces: list[bytes] = []
        for piece in encode_snapshot(header, known_state):
            pieces.append(piece)
            await trio.sleep(CHUNK_PAUSE_REPORTS * self._context.report_s)
        name = snapshot_name(header)
        self._checked_names.add(name)
        await self._disk.write(name, pieces)
        own_names = [n for n in await self._disk.names() if n.endswith(f"-{header.node}{SUFFIX}")]
        for outdated_name in snapshots_to_delete(own_names, MAX_SNAPSHOTS_KEPT):
            await self._disk.delete(outdated_name)
        log.info(
            "snapshot %s: %d records, %d outcomes, %d bytes, %.1f s",
            name,
            len(known_state.records),
            len(known_state.final_outcomes),
            sum(map(len, pieces)),
            trio.current_time() - began,
        )

"""Jobs as users submit them, and their validation."""

import math
import re
from typing import Any, Literal

import msgspec

from ryegauge.transport.http import Malformed

MAX_TASKS = 100_000  # per job
_UID_PATTERN = re.compile(r"wk-[0-9]{1,32}\Z")

Kind = Literal["sweep", "gang", "standing"]
Priority = Literal["critical", "high", "normal", "best_effort"]
PRIORITIES: tuple[Priority, ...] = ("critical", "high", "normal", "best_effort")


# A submitted job. There is no docstring, since the job's JSON schema would show it as its
# `description`.
class JobSpec(  # noqa: D101
    msgspec.Struct,
    frozen=True,
    rename={
        "job_class": "duty",
        "team": "crew",
        "kind": "shape",
        "priority": "urgency",
        "tasks": "pieces",
        "gpus": "cards",
        "memory_gb": "memoryGb",
        "image": "kit",
        "image_gb": "imageGb",
        "types": "builds",
        "zone": "district",
        "one_zone": "together",
        "spot": "loaners",
        "estimate_s": "expectS",
        "checkpoint_s": "waypointS",
        "save_s": "stowS",
        "deadline_s": "dueS",
        "needs": "awaits",
    },
):
    uid: str
    job_class: str
    team: str
    kind: Kind
    priority: Priority
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    types: list[str] | None = None
    zone: str | None = None
    deadline_s: float | None = None
    # Jobs that have to be done before any task of this one starts; None if there are none.
    needs: tuple[str, ...] | None = None

    def to_wire(self) -> dict[str, Any]:
        """Returns the job as its record in the state service has it, without nulls."""
        record: dict[str, Any] = msgspec.to_builtins(self)
        return {key: value for key, value in record.items() if value is not None}


def valid_uid(uid: object) -> bool:
    """Returns whether this is a job's name: `wk-` and 1 to 32 digits."""
    return isinstance(uid, str) and _UID_PATTERN.match(uid) is not None


def parse_job(raw: Any) -> JobSpec:
    """Returns the job in a decoded submission; raises Malformed naming the invalid field."""
    if not isinstance(raw, dict):
        raise Malformed("expected a map")
    try:
        spec = msgspec.convert(raw, JobSpec)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from None
    if not valid_uid(spec.uid):
        raise Malformed("uid: expected wk- and digits")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise Malformed(f"pieces: expected 1 to {MAX_TASKS}")
    amounts = {
        "cpus": spec.cpus,
        "cards": spec.gpus,
        "memoryGb": spec.memory_gb,
        "imageGb": spec.image_gb,
        "expectS": spec.estimate_s,
        "waypointS": spec.checkpoint_s,
        "stowS": spec.save_s,
        "dueS": spec.deadline_s or 0.0,
    }
    for name, value in amounts.items():
        if not math.isfinite(value) or value < 0:
            raise Malformed(f"{name}: expected a number that is not negative")
    if spec.needs is None:
        return spec
    if not all(valid_uid(uid) for uid in spec.needs):
        raise Malformed("awaits: expected a list of job names, each wk- and digits")
    # Repeated names count once.
    return msgspec.structs.replace(spec, needs=tuple(dict.fromkeys(spec.needs)) or None)

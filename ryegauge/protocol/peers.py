"""What controllers tell each other: CBOR lists, each led by its tag.

These are hints and views; whatever safety rests on is in the state service.
"""

from typing import Any

import msgspec

from ryegauge.transport.http import Malformed


class MachineView(msgspec.Struct, frozen=True, array_like=True):
    """One machine as its part's owner sees it."""

    name: str
    type: str
    zone: str
    spot: bool
    # May be given new tasks: reports in time, no notice, not being returned.
    open: bool
    # Nothing is on it or may be on it.
    empty: bool
    # Seconds since its last report.
    silent_s: float
    notice: bool
    retiring: bool
    images: list[str]
    # (uid, task indices as ranges, seconds that the longest still needs)
    tasks: list[tuple[str, list[int], float]]


class RunSample(msgspec.Struct, frozen=True, array_like=True):
    """Completed run times of a class of jobs, against their estimates."""

    job_class: str
    count: int
    log_ratio_sum: float
    # Versions before the one that looks at the spread neither send nor read it.
    log_ratio_squares: float = 0.0


class ShardView(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    """A part as its owner sees it: the machines that have changed since the view
    numbered `base`, or all of them (as far as one message holds) if that is 0."""

    node: str
    shard: int
    token: int
    # The revision of the state service that this view has taken in.
    state_revision: int
    machines: list[MachineView]
    samples: list[RunSample] = []
    seq: int = 1
    base: int = 0
    # Machines of earlier views that the owner no longer knows.
    gone: list[str] = []
    # (uid, tasks that are on no machine any more, by the owner's book still held by the
    # part). Versions before pipelines neither send nor read it.
    pending_removal: list[tuple[str, int]] = []
    # Machines of others that reported to this controller of late and were sent on: (name,
    # seconds ago). Versions before failure detection neither send nor read it.
    foreign_reports: list[tuple[str, float]] = []
    # Of the machines in this view that are silent, since the last word of each: (name,
    # seconds in which the owner stood still itself, attempts to ask the worker as (by whom,
    # outcome, seconds ago)).
    silences: list[tuple[str, float, list[tuple[str, str, float]]]] = []
    # Jobs taken for mistaken: (uid, machines on which their tasks failed, how often). Versions
    # before these are told from bad machines neither send nor read it.
    failing: list[tuple[str, int, int]] = []


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True, tag="probe"):
    """Ask the workers at these addresses for their reports, and say what became of it.
    Versions before failure detection answer 400, which says nothing."""

    addresses: list[str]


class ProbeAnswer(msgspec.Struct, frozen=True, array_like=True, tag="probed"):
    node: str
    outcomes: list[str]  # one for each address; empty: not asked


class ForeignReportNotice(msgspec.Struct, frozen=True, array_like=True, tag="elsewhere"):
    """Workers of your parts reported here: (machine, part, seconds ago). Versions before
    failure detection answer 400."""

    node: str
    machines: list[tuple[str, int, float]]


class ChangeNotice(msgspec.Struct, frozen=True, array_like=True, tag="poke"):
    """Something was written up to this revision; read it soon."""

    state_revision: int


class ShardOrders(msgspec.Struct, frozen=True, array_like=True, tag="orders"):
    """The leader's answer to a PartView."""

    state_revision: int
    # Take no new tasks onto these: they are to be returned once empty.
    retire: list[str]
    # Released with certainty: nothing is on them any more.
    gone: list[str]
    # Stop some of a job's tasks on a machine and hand them back: (machine, uid, tasks).
    evict: list[tuple[str, str, int]] = []
    # The changes could not be taken in: send everything.
    resync: bool = False
    # Machines of the part that the cloud lists as running and the owner does not show: (name,
    # address). It asks them. Versions before failure detection neither send nor read them.
    unreported: list[tuple[str, str]] = []
    # Jobs that are held back, by the evidence of all parts. Versions before that neither send
    # nor read it.
    failing_jobs: list[str] = []


class LeaseExtensionRequest(msgspec.Struct, frozen=True, array_like=True, tag="vow"):
    """During an outage of the state service: will you keep from taking my roles?"""

    node: str
    incarnation: str
    # Cancellations that the sender knows and its book does not show yet.
    cancelled: list[str]
    # The sender's book is complete up to this revision. Versions before cancellations were
    # named by revision do not say so, and are named all that there are.
    state_revision: int = 0


class LeaseExtensionAnswer(msgspec.Struct, frozen=True, array_like=True, tag="vowed"):
    """Given only by a controller that gets no answer from the state service either."""

    granted: bool
    incarnation: str
    cancelled: list[str]
    # Whether these are all the cancellations that the asker's book may lack, of those that the
    # sender's users may have been told. Versions before named only some: theirs do not count.
    complete: bool = False


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """A controller has started: promises of its predecessor no longer count."""

    node: str
    incarnation: str


class HelloAnswer(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    node: str
    # Whether the sender has known the book for a while, and can tell whether records are
    # missing. Versions before rebuilding do not say so.
    can_vouch: bool = False


class AuditRequest(msgspec.Struct, frozen=True, array_like=True, tag="audit"):
    """Do all records that you know still stand in the state service? Asked by a controller
    that has just started. Versions before rebuilding answer 400, which says nothing."""

    node: str


class AuditAnswer(msgspec.Struct, frozen=True, array_like=True, tag="audited"):
    node: str
    intact: bool


class RelayRequest(msgspec.Struct, frozen=True, array_like=True, tag="relay"):
    """A request to the state service, for a controller that it refuses alone."""

    method: str
    target: str
    body: Any


class RelayAnswer(msgspec.Struct, frozen=True, array_like=True, tag="relayed"):
    status: int
    body: Any


Message = (
    ShardView
    | ChangeNotice
    | ShardOrders
    | LeaseExtensionRequest
    | LeaseExtensionAnswer
    | Hello
    | HelloAnswer
    | RelayRequest
    | RelayAnswer
    | ProbeRequest
    | ProbeAnswer
    | ForeignReportNotice
    | AuditRequest
    | AuditAnswer
)


def parse_message(raw: Any) -> Message:
    try:
        message: Message = msgspec.convert(raw, Message)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from None
    return message


def to_wire(message: Message) -> list[Any]:
    result: list[Any] = msgspec.to_builtins(message)
    return result

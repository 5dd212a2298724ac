"""Messages between controllers: CBOR lists that begin with a tag.

The messages carry hints, views and requests relayed to the state service. Everything that safety
depends on is in the state service, except for lease extensions (LeaseExtensionRequest), with which
controllers keep their authority during its outages. A receiver ignores elements that it does not
know, so fields are only ever appended.
"""

from typing import Any

import msgspec

from ryegauge.transport.http import Malformed


class MachineView(msgspec.Struct, frozen=True, array_like=True):
    """One machine as the owner of its shard sees it."""

    name: str
    type: str
    zone: str
    spot: bool
    # Accepts new tasks: has confirmed the owner's token, reports in time, has no notice, is not
    # being retired, looks neither faulty nor suspect, and messages seem to reach it.
    accepts_tasks: bool
    # No task is on it, and none can be.
    empty: bool
    # Seconds since its last report.
    silent_s: float
    notice: bool
    retiring: bool
    images: list[str]
    # (uid, task indices as ranges, remaining run time of the longest task in seconds)
    tasks: list[tuple[str, list[int], float]]


class RunSample(msgspec.Struct, frozen=True, array_like=True):
    """Completed run times of a class of jobs, relative to their estimates."""

    job_class: str
    count: int
    log_ratio_sum: float
    # Not sent or read by versions that ignore the spread of run times.
    log_ratio_squares: float = 0.0


class ShardView(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    """A shard as its owner sees it: the machines that have changed since the view
    numbered `base`, or all of them (as far as one message holds them) if `base` is 0."""

    node: str
    shard: int
    token: int
    # Revision of the state service that this view includes.
    state_revision: int
    machines: list[MachineView]
    samples: list[RunSample] = []
    seq: int = 1
    base: int = 0
    # Machines of earlier views that the owner no longer has.
    gone: list[str] = []
    # (uid, number of tasks that are on no machine any more but that the owner's replica still
    # shows as assigned to the shard). Not sent or read by versions before pipelines.
    pending_removal: list[tuple[str, int]] = []
    # Machines of other owners that recently reported to this controller and were redirected:
    # (name, seconds ago). Not sent or read by versions before failure detection.
    foreign_reports: list[tuple[str, float]] = []
    # Per silent machine of this view, what happened since its last report: (name, seconds
    # for which the owner itself was stalled, probes as (prober, outcome, seconds ago)).
    silences: list[tuple[str, float, list[tuple[str, str, float]]]] = []
    # Failing jobs, whose tasks fail on good machines too: (uid, machines on which they failed,
    # number of failures). Not sent or read by versions that do not tell these jobs from bad
    # machines.
    failing: list[tuple[str, int, int]] = []


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True, tag="probe"):
    """Asks a peer to probe the workers at these addresses for their reports, and to return the
    outcomes. Versions before failure detection answer 400, which is no evidence either way."""

    addresses: list[str]


class ProbeAnswer(msgspec.Struct, frozen=True, array_like=True, tag="probed"):
    """Answers a ProbeRequest."""

    node: str
    outcomes: list[str]  # one per address; empty string: not probed


class ForeignReportNotice(msgspec.Struct, frozen=True, array_like=True, tag="elsewhere"):
    """Tells an owner that workers of its shards reported to the sender: (machine, shard, seconds
    ago). Versions before failure detection answer 400."""

    node: str
    machines: list[tuple[str, int, float]]


class ChangeNotice(msgspec.Struct, frozen=True, array_like=True, tag="poke"):
    """Announces that the sender has written to the state service, up to this revision; the
    receiver should read the changes soon."""

    state_revision: int


class ShardOrders(msgspec.Struct, frozen=True, array_like=True, tag="orders"):
    """The leader's answer to a view: what the owner of the shard is to do."""

    state_revision: int
    # Machines that get no new tasks and are released once they are empty.
    retire: list[str]
    # Machines that are certainly released: no task is on them any more.
    gone: list[str]
    # Tasks to evict from a machine: (machine, uid, number of tasks).
    evict: list[tuple[str, str, int]] = []
    # The changes could not be applied: the next view has to be a full one.
    resync: bool = False
    # Machines of the shard that the cloud lists as running and that are missing in the owner's
    # view: (name, address). The owner probes them. Not sent or read by versions before failure
    # detection.
    unreported: list[tuple[str, str]] = []
    # Failing jobs, by the evidence of all shards: they are in retry backoff. Not sent or read by
    # versions without that backoff.
    failing_jobs: list[str] = []


class LeaseExtensionRequest(msgspec.Struct, frozen=True, array_like=True, tag="vow"):
    """Asks, during an outage of the state service, to extend the sender's lease: the receiver
    promises not to take over the sender's roles meanwhile."""

    node: str
    incarnation: str
    # Cancellations that the sender knows and that its replica does not contain yet.
    cancelled: list[str]
    # The sender's replica is complete up to this revision. Older versions do not send it; they
    # are answered with all cancellations.
    state_revision: int = 0


class LeaseExtensionAnswer(msgspec.Struct, frozen=True, array_like=True, tag="vowed"):
    """Answers a LeaseExtensionRequest. Only a controller that gets no answer from the state service
    either grants the extension."""

    granted: bool
    incarnation: str
    cancelled: list[str]
    # Whether `cancelled` contains every cancellation that the asker's replica may lack and that
    # the sender may have confirmed to a user. Older versions send only some and not this field,
    # so extensions that they grant do not count.
    complete: bool = False


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Announces that a controller has started: extensions that its earlier incarnations granted
    are void."""

    node: str
    incarnation: str


class HelloAnswer(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """Answers a Hello."""

    node: str
    # Whether the sender has had its replica for long enough to tell if records are missing. Not
    # sent by versions before rebuilding.
    can_vouch: bool = False


class AuditRequest(msgspec.Struct, frozen=True, array_like=True, tag="audit"):
    """Asks, from a controller that has just started, whether all records that the receiver knows
    still exist in the state service. Versions before rebuilding answer 400, which is no evidence
    either way."""

    node: str


class AuditAnswer(msgspec.Struct, frozen=True, array_like=True, tag="audited"):
    """Answers an AuditRequest."""

    node: str
    intact: bool


class RelayRequest(msgspec.Struct, frozen=True, array_like=True, tag="relay"):
    """Asks a peer to pass on a request to the state service, which refuses only the sender."""

    method: str
    target: str
    body: Any


class RelayAnswer(msgspec.Struct, frozen=True, array_like=True, tag="relayed"):
    """Answers a RelayRequest with what the state service answered."""

    status: int  # 0: the peer got no answer, so the request may have been executed
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
    """Returns the message in a decoded body; raises Malformed if there is none."""
    try:
        message: Message = msgspec.convert(raw, Message)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from None
    return message


def to_wire(message: Message) -> list[Any]:
    """Returns the message as a list for CBOR: its tag, then its fields."""
    result: list[Any] = msgspec.to_builtins(message)
    return result

"""Which queues are served and how: a TOML file, checked in full before anything starts."""

from typing import Annotated, Any, Literal

import msgspec

from ryegauge.amqp.client import Broker, BrokerError
from ryegauge.config import ConfigError, Settings, read_toml
from ryegauge.protocol.jobs import PRIORITIES, Priority

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[a-z0-9][a-z0-9_-]*$")]
QueueName = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
# How often a message may run: `once` is acknowledged when its job is durable, and a
# redelivery meets the same job; `at_most_once` is acknowledged before its job is
# recorded, and lost if we end between; `at_least_once` is `once` for jobs that may be
# started again under another name if the queue delivers a copy under another id.
Delivery = Literal["once", "at_most_once", "at_least_once"]


class Binding(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: Name  # part of the identity of each message: not to be changed while any is open
    queue: QueueName
    team: str
    job_class: str
    brokers: list[Broker]
    delivery: Delivery = "once"
    # Message priority (0 to 255) -> priority of the job: the entry with the largest key
    # that is not above it, or "normal".
    priorities: dict[str, Priority] = {}
    # Fields of a submission that a message may leave out, by their names on the wire.
    defaults: dict[str, Any] = {}
    prefetch: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 20
    # Its part of what queues may record, against the other bindings'.
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    # Jobs of its team and class that are not over, beyond which its messages stay in the queue.
    open_jobs: Annotated[int, msgspec.Meta(ge=1)] = 500
    # Answers go to the message's `reply_to` by way of this exchange; "" is the default one.
    reply_exchange: str = ""
    # What can never run goes here, with the reason in its headers; "": it is rejected, and
    # the broker's own dead-letter rule counts.
    dead_letter_exchange: str = ""
    # Messages without `message_id` are the same if their content is, within this many
    # seconds by their `timestamp`; without a timestamp, for good.
    window_s: Annotated[int, msgspec.Meta(ge=1)] = 3600
    # What a message may unpack to.
    body_limit: Annotated[int, msgspec.Meta(ge=1024, le=1024 * 1024)] = 64 * 1024

    def priority(self, message_priority: int | None) -> Priority:
        least = PRIORITIES[2]
        level = message_priority or 0
        fitting = [(int(key), value) for key, value in self.priorities.items()]
        below = [entry for entry in fitting if entry[0] <= level]
        return max(below)[1] if below else least


class Queues(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    bindings: list[Binding]
    # How long an answer is kept that can't be given: no queue takes it, or its binding is gone.
    keep_answers_s: Annotated[float, msgspec.Meta(gt=0)] = 7 * 86400.0


def load(path: str, settings: Settings | None = None) -> Queues:
    """Raises ConfigError with the place at fault; with settings, teams are checked too."""
    queues = read_toml(path, Queues)
    teams = None if settings is None else {team.name for team in settings.settings.teams}
    names: set[str] = set()
    for n, binding in enumerate(queues.bindings):
        place = f"{path}: $.bindings[{n}]"
        if binding.name in names:
            raise ConfigError(f"{place}.name: {binding.name!r} twice")
        names.add(binding.name)
        if teams is not None and binding.team not in teams:
            raise ConfigError(f"{place}.team: no team {binding.team!r}")
        if not binding.brokers:
            raise ConfigError(f"{place}.brokers: expected at least one")
        for key in binding.priorities:
            if not key.isdigit() or not 0 <= int(key) <= 255:
                raise ConfigError(f"{place}.priorities: expected 0 to 255, got {key!r}")
        for m, broker in enumerate(binding.brokers):
            try:
                broker.address()
            except BrokerError as error:
                raise ConfigError(f"{place}.brokers[{m}].{error}") from None
    return queues

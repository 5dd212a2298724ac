"""The TOML file that configures queue bindings; validated in full before anything starts."""

from typing import Annotated, Any, Literal

import msgspec

from ryegauge.amqp.client import Broker, BrokerError
from ryegauge.config import ConfigError, Settings, read_toml
from ryegauge.protocol.jobs import PRIORITIES, Priority

BindingName = Annotated[
    str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[a-z0-9][a-z0-9_-]*$")
]
QueueName = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
# Delivery guarantees. `once`: the message is acknowledged when its job is durable, and a
# redelivery finds the same job. `at_most_once`: it is acknowledged before its job is recorded, and
# lost if the controller ends in between. `at_least_once`: the same steps as `once`, for jobs that
# may be started again under another uid if the queue delivers a copy under another message id.
Delivery = Literal["once", "at_most_once", "at_least_once"]


class Binding(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A queue at a list of equivalent brokers, and how its messages become jobs."""

    # Part of each message's identity: must not change while any of its messages is open.
    name: BindingName
    queue: QueueName
    team: str
    job_class: str
    brokers: list[Broker]
    delivery: Delivery = "once"
    # Message priority (0 to 255) -> job priority: the entry with the largest key not above the
    # message's priority applies, or "normal" if there is none.
    priorities: dict[str, Priority] = {}
    # Values for fields of a submission that a message may omit, by their wire names.
    defaults: dict[str, Any] = {}
    prefetch: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 20
    # Its share of what queues may record, relative to the weights of the other bindings.
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    # Limit on the unfinished jobs of its team and class; beyond it, messages stay in the queue.
    open_jobs: Annotated[int, msgspec.Meta(ge=1)] = 500
    # Replies are published to this exchange with the message's `reply_to` as the routing key;
    # "" is the default exchange.
    reply_exchange: str = ""
    # Messages that can never run are published here with the reason in a header; "": they are
    # rejected, and the broker's own dead-letter policy applies.
    dead_letter_exchange: str = ""
    # Messages without `message_id` and with equal content count as the same message if their
    # `timestamp`s fall into the same window of this many seconds; without a timestamp, always.
    window_s: Annotated[int, msgspec.Meta(ge=1)] = 3600
    # Largest size of a decompressed message body, in bytes.
    body_limit: Annotated[int, msgspec.Meta(ge=1024, le=1024 * 1024)] = 64 * 1024

    def job_priority(self, message_priority: int | None) -> Priority:
        """The job priority for a message's AMQP priority; none counts as 0."""
        default = PRIORITIES[2]
        message_level = message_priority or 0
        levels = [(int(key), value) for key, value in self.priorities.items()]
        below = [entry for entry in levels if entry[0] <= message_level]
        return max(below)[1] if below else default


class Queues(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    bindings: list[Binding]
    # How long a reply is kept that cannot be delivered: it is unroutable, or its binding is gone.
    keep_answers_s: Annotated[float, msgspec.Meta(gt=0)] = 7 * 86400.0


def load(path: str, settings: Settings | None = None) -> Queues:
    """Reads the file; raises ConfigError with the faulty place. Teams are checked only if
    settings are given."""
    queues = read_toml(path, Queues)
    teams = None if settings is None else {team.name for team in settings.settings.teams}
    names: set[str] = set()
    for index, binding in enumerate(queues.bindings):
        place = f"{path}: $.bindings[{index}]"
        if binding.name in names:
            raise ConfigError(f"{place}.name: duplicate name {binding.name!r}")
        names.add(binding.name)
        if teams is not None and binding.team not in teams:
            raise ConfigError(f"{place}.team: unknown team {binding.team!r}")
        if not binding.brokers:
            raise ConfigError(f"{place}.brokers: expected at least one broker")
        for key in binding.priorities:
            if not key.isdigit() or not 0 <= int(key) <= 255:
                raise ConfigError(f"{place}.priorities: expected a key from 0 to 255, got {key!r}")
        for broker_index, broker in enumerate(binding.brokers):
            try:
                broker.address()
            except BrokerError as error:
                raise ConfigError(f"{place}.brokers[{broker_index}].{error}") from None
    return queues

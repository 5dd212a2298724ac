# kind: decisions
"""The processing steps of a message, as tables that a model check explores exhaustively.

`front` executes `CONSUME_STEPS` step by step. `answers` does not read `REPLY_STEPS`: its
code is written out in that order.

Durable state: the message at its broker, the job and its pending reply at the state service, and
replies at the broker. A controller that crashes forgets its progress and another one starts over;
a step may have taken effect without its result having been seen. Each step is therefore harmless
when repeated after any other one, and correctness depends on their order alone:

- `record` writes job and pending reply in one transaction if the job does not exist, else nothing.
- `ack` lets the broker delete the message.
- `answer` publishes the final status, `confirm` waits for the broker's confirm, `forget` deletes
  the pending reply. Readers of replies may discard those with a message id that they have seen.
"""

from collections.abc import Mapping
from typing import Literal

from ryegauge.queues.bindings import Delivery

Step = Literal["record", "ack", "answer", "confirm", "forget"]

# Steps of a consumer for one message, by delivery guarantee.
CONSUME_STEPS: Mapping[Delivery, tuple[Step, ...]] = {
    # After a crash before `ack` the message is redelivered and finds its job.
    "once": ("record", "ack"),
    "at_least_once": ("record", "ack"),
    # A crash before `record` loses the message. It never runs twice, even if the state service
    # loses the record of the job.
    "at_most_once": ("ack", "record"),
}

# Steps of the leader for a pending reply whose job has ended.
REPLY_STEPS: tuple[Step, ...] = ("answer", "confirm", "forget")

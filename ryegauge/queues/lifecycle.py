# kind: decisions
"""The life of a message, as tables that the model check explores. The front goes through
`TAKE` step by step; its `_answer` is written out in the order of `SETTLE`.

Durable things: the message with its broker, the job and the *debt* (an answer is owed) with
the state service, answers with the broker. A controller that ends forgets where it was and
another begins anew; every step may have been carried out although its own end was not seen.
Hence each step may be repeated after any other without harm, and the order is all there is:

- `record` writes job and debt in one transaction, if the job does not exist; else nothing.
- `ack` lets the broker forget the message.
- `answer` publishes the final state, `confirm` is the broker's word that it has it, `forget`
  deletes the debt. Who reads answers may drop those with an id that it has seen.
"""

from collections.abc import Mapping
from typing import Literal

from ryegauge.queues.bindings import Delivery

Step = Literal["record", "ack", "answer", "confirm", "forget"]

# What a consumer does with a message, in this order.
TAKE: Mapping[Delivery, tuple[Step, ...]] = {
    # A crash before `ack` brings the message back: it meets its job.
    "once": ("record", "ack"),
    "at_least_once": ("record", "ack"),
    # A crash before `record` loses the message, and it never runs twice, even if the state
    # service were to forget the job.
    "at_most_once": ("ack", "record"),
}

# What whoever leads does with a debt whose job is over.
SETTLE: tuple[Step, ...] = ("answer", "confirm", "forget")

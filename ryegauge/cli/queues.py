"""Commands for AMQP work queues: count and put messages, take answers."""

import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import trio

from ryegauge.cli.common import fail

if TYPE_CHECKING:
    from ryegauge.amqp.client import Session
    from ryegauge.amqp.connection import Event
    from ryegauge.queues.bindings import Binding

BROKER_TIMEOUT_S = 10.0
file_option = click.option(
    "--file",
    "file",
    default="deploy/queues.toml",
    show_default=True,
    type=click.Path(dir_okay=False),
    help="TOML file with the bindings.",
)


@click.group()
def queues() -> None:
    """Inspect AMQP work queues, put a message, take answers.

    Exit codes: 1 the broker refused or did not answer, 2 wrong usage or file, 3 no connection.
    """


def _load_binding(file: str, name: str) -> "Binding":
    try:
        from ryegauge.config import ConfigError
        from ryegauge.queues import bindings
    except ImportError as error:
        fail(f"queues need: pip install 'ryegauge[queues]' ({error})", 2)
    try:
        loaded = bindings.load(file).bindings
    except ConfigError as error:
        fail(str(error), 2)
    for binding in loaded:
        if binding.name == name:
            return binding
    fail(f"{file}: no binding {name!r}; expected one of {', '.join(b.name for b in loaded)}", 2)


def _run_on_channel(
    binding: "Binding",
    operation: Callable[["Session", int, trio.MemoryReceiveChannel[Any]], Awaitable[None]],
    timeout_s: float = BROKER_TIMEOUT_S,
) -> None:
    """Run an operation on a channel with publisher confirms and exit the process on errors.

    Connects to the first broker that answers, in random order. The operation gets the session, the
    number of the channel and the events of the channel, and has `timeout_s` seconds to end.
    """
    import ssl

    from ryegauge.amqp.client import BrokerError, open_session
    from ryegauge.amqp.connection import ChannelClosed, ChannelOpened, Closed, Done, Opened

    async def run() -> None:
        session, last_error = None, ""
        for broker in random.sample(binding.brokers, len(binding.brokers)):
            try:
                session = await open_session(broker)
                break
            except (OSError, ssl.SSLError, trio.TooSlowError, BrokerError) as error:
                last_error = f"{broker.url}: {error}"
        if session is None:
            fail(f"no connection: {last_error}", 3)
        send_events, receive_events = trio.open_memory_channel[Any](1000)
        channel = 0

        def on_event(event: "Event") -> None:
            nonlocal channel
            match event:
                case Opened():
                    channel = session.protocol.open_channel()
                case ChannelOpened():
                    session.protocol.select_confirms(channel)
                case Done(method="Confirm.Select"):
                    nursery.start_soon(run_operation)
                case ChannelClosed(code=code, text=text) | Closed(code=code, text=text) if code:
                    errors.append(f"{code} {text}")
                    nursery.cancel_scope.cancel()
                case _:
                    send_events.send_nowait(event)

        async def run_operation() -> None:
            with trio.move_on_after(timeout_s) as scope:
                await operation(session, channel, receive_events)
            if scope.cancelled_caught:
                errors.append(f"nothing received within {timeout_s:g} s")
            session.protocol.close()
            session.flush()
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

        errors: list[str] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run, on_event)
        if errors:
            fail(errors[0], 1)

    trio.run(run)


@queues.command()
@file_option
@click.argument("binding")
def count(file: str, binding: str) -> None:
    """Print the number of messages that wait for BINDING and of consumers of the queue."""
    selected = _load_binding(file, binding)

    async def operation(session: "Session", channel: int, events: Any) -> None:
        session.protocol.declare(channel, selected.queue, passive=True)
        session.flush()
        declared = await events.receive()
        click.echo(
            f"{selected.queue}: {declared.messages} messages, {declared.consumers} consumers"
        )

    _run_on_channel(selected, operation)


@queues.command()
@file_option
@click.option(
    "--id",
    "message_id",
    required=True,
    help="ID of the message: messages with the same id count as one, however often they are put.",
)
@click.option("--priority", type=click.IntRange(0, 255), default=0, show_default=True)
@click.option("--reply-to", help="Queue for the answer; without it there is no answer.")
@click.option("--type", "content_type", default="application/json", show_default=True)
@click.option("--declare", is_flag=True, help="First declare the queue and that for the answer.")
@click.argument("binding")
@click.argument("body", type=click.File("rb"))
def put(
    file: str,
    message_id: str,
    priority: int,
    reply_to: str | None,
    content_type: str,
    declare: bool,
    binding: str,
    body: Any,
) -> None:
    """Put the message in the file BODY (- for standard input) onto the queue of BINDING.

    The message is checked first as a controller would check it. Exit code 0 means that the broker
    has confirmed it.
    """
    selected = _load_binding(file, binding)
    from pamqp.commands import Basic

    from ryegauge.amqp.connection import Confirmed, Returned
    from ryegauge.queues.answers import PERSISTENT
    from ryegauge.queues.messages import Cancellation, Never, read

    data = body.read()
    properties = Basic.Properties(
        message_id=message_id,
        priority=priority,
        reply_to=reply_to,
        delivery_mode=PERSISTENT,
        content_type=content_type,
    )
    if isinstance(message := read(selected, properties, data), Never):
        fail(f"{body.name}: {message.reason}", 2)

    async def operation(session: "Session", channel: int, events: Any) -> None:
        for queue in (selected.queue, reply_to) if declare else ():
            if queue:
                session.protocol.declare(channel, queue)
        session.protocol.publish(channel, "", selected.queue, data, properties)
        session.flush()
        while True:
            match await events.receive():
                case Returned(code=code, text=text):
                    fail(f"{selected.queue}: {code} {text}", 1)
                case Confirmed(acknowledged=acknowledged):
                    if not acknowledged:
                        fail(f"{selected.queue}: the broker refused the message", 1)
                    break
        click.echo(message.uid if isinstance(message, Cancellation) else message.spec.uid)

    _run_on_channel(selected, operation)


@queues.command()
@file_option
@click.option(
    "--most", default=1, show_default=True, type=click.IntRange(1), help="Answers to wait for."
)
@click.option(
    "--wait",
    default=600.0,
    show_default=True,
    type=click.FloatRange(0, min_open=True),
    help="Seconds to wait for them.",
)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    help="Directory for the bodies, a file for each; default: print them.",
)
@click.argument("binding")
@click.argument("queue")
def take(file: str, most: int, wait: float, out: Path | None, binding: str, queue: str) -> None:
    """Take answers from QUEUE at the broker of BINDING.

    Each answer is acknowledged after it was printed or written.
    """
    selected = _load_binding(file, binding)

    async def operation(session: "Session", channel: int, events: Any) -> None:
        from ryegauge.amqp.connection import Delivery

        session.protocol.prefetch(channel, most)
        session.protocol.consume(channel, queue, "ryegauge-take")
        session.flush()
        taken = 0
        while taken < most:
            event = await events.receive()
            if not isinstance(event, Delivery):
                continue
            taken += 1
            if out is None:
                click.echo(event.body.decode("utf-8", "replace"))
            else:
                out.mkdir(parents=True, exist_ok=True)
                name = str(event.properties.message_id or taken).replace("/", "_")
                (out / f"{name}.json").write_bytes(event.body)
            session.protocol.ack(channel, event.tag)
            session.flush()

    _run_on_channel(selected, operation, wait)

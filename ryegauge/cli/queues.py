"""For those who put work onto queues: what waits there, a message put, answers taken."""

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
    """Look at AMQP work queues, put a message, take answers.

    Exit codes: 1 the broker refuses, 2 wrong usage or file, 3 no connection.
    """


def _binding(file: str, name: str) -> "Binding":
    try:
        from ryegauge.config import ConfigError
        from ryegauge.queues import bindings
    except ImportError as error:
        fail(f"queues need: pip install 'ryegauge[queues]' ({error})", 2)
    try:
        found = bindings.load(file).bindings
    except ConfigError as error:
        fail(str(error), 2)
    for binding in found:
        if binding.name == name:
            return binding
    fail(f"{file}: no binding {name!r}; expected one of {', '.join(b.name for b in found)}", 2)


def _with_channel(
    binding: "Binding",
    operation: Callable[["Session", int, trio.MemoryReceiveChannel[Any]], Awaitable[None]],
    timeout_s: float = BROKER_TIMEOUT_S,
) -> None:
    """One connection to the first broker that answers, with a channel that confirms."""
    import ssl

    from ryegauge.amqp.client import BrokerError, open_session
    from ryegauge.amqp.connection import ChannelClosed, ChannelOpened, Closed, Done, Opened

    async def run() -> None:
        session, why = None, ""
        for broker in random.sample(binding.brokers, len(binding.brokers)):
            try:
                session = await open_session(broker)
                break
            except (OSError, ssl.SSLError, trio.TooSlowError, BrokerError) as error:
                why = f"{broker.url}: {error}"
        if session is None:
            fail(f"no connection: {why}", 3)
        send, receive = trio.open_memory_channel[Any](1000)
        number = 0

        def on_event(event: "Event") -> None:
            nonlocal number
            match event:
                case Opened():
                    number = session.protocol.open_channel()
                case ChannelOpened():
                    session.protocol.select_confirms(number)
                case Done(method="Confirm.Select"):
                    nursery.start_soon(work)
                case ChannelClosed(code=code, text=text) | Closed(code=code, text=text) if code:
                    errors.append(f"{code} {text}")
                    nursery.cancel_scope.cancel()
                case _:
                    send.send_nowait(event)

        async def work() -> None:
            with trio.move_on_after(timeout_s) as scope:
                await operation(session, number, receive)
            if scope.cancelled_caught:
                errors.append(f"nothing came within {timeout_s:g} s")
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
    """Print how many messages wait for BINDING, and how many consumers the queue has."""
    selected = _binding(file, binding)

    async def operation(session: "Session", number: int, events: Any) -> None:
        session.protocol.declare(number, selected.queue, passive=True)
        session.flush()
        counted = await events.receive()
        click.echo(f"{selected.queue}: {counted.messages} messages, {counted.consumers} consumers")

    _with_channel(selected, operation)


@queues.command()
@file_option
@click.option(
    "--id",
    "message_id",
    required=True,
    help="The message's id: the same id is the same message, however often it is put.",
)
@click.option("--priority", type=click.IntRange(0, 255), default=0, show_default=True)
@click.option("--reply-to", help="Queue for the answer; none is given without.")
@click.option("--type", "content_type", default="application/json", show_default=True)
@click.option("--declare", is_flag=True, help="Make the queue, and that for the answer, first.")
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

    It is checked first as a controller would check it; exit code 0 means that the broker has
    confirmed it.
    """
    selected = _binding(file, binding)
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
    if isinstance(found := read(selected, properties, data), Never):
        fail(f"{body.name}: {found.reason}", 2)

    async def operation(session: "Session", number: int, events: Any) -> None:
        for queue in (selected.queue, reply_to) if declare else ():
            if queue:
                session.protocol.declare(number, queue)
        session.protocol.publish(number, "", selected.queue, data, properties)
        session.flush()
        while True:
            match await events.receive():
                case Returned(code=code, text=text):
                    fail(f"{selected.queue}: {code} {text}", 1)
                case Confirmed(good=good):
                    if not good:
                        fail("the broker did not take it", 1)
                    break
        click.echo(found.uid if isinstance(found, Cancellation) else found.spec.uid)

    _with_channel(selected, operation)


@queues.command()
@file_option
@click.option(
    "--most", default=1, show_default=True, type=click.IntRange(1), help="How many to wait for."
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
    """Take answers from QUEUE, at the broker of BINDING; each is acknowledged once it is
    printed or written."""
    selected = _binding(file, binding)

    async def operation(session: "Session", number: int, events: Any) -> None:
        from ryegauge.amqp.connection import Delivery

        session.protocol.prefetch(number, most)
        session.protocol.consume(number, queue, "ryegauge-take")
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
            session.protocol.ack(number, event.tag)
            session.flush()

    _with_channel(selected, operation, wait)

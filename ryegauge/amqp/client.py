"""Connections to a list of brokers on trio: TLS, heartbeats and reconnection.

A `Session` is one connection from opening to end; all work in progress ends with it.
`keep_connected` runs one session after another.
"""

import logging
import os
import random
import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated
from urllib.parse import unquote, urlsplit

import msgspec
import trio

from ryegauge.amqp.connection import Closed, Connection, Event, Opened

log = logging.getLogger(__name__)

READ_CHUNK_BYTES = 64 * 1024
# The pause before the next attempt doubles with each failure between these limits, with random
# jitter, so that controllers do not all reconnect at once to a broker that comes back.
MIN_RECONNECT_PAUSE_S = 0.5
MAX_RECONNECT_PAUSE_S = 30.0

Connect = Callable[["Broker"], Awaitable[trio.abc.Stream]]


class BrokerError(Exception):
    """The configuration of a broker is unusable; the message begins with the key at fault."""


class Broker(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address and credentials of a broker. Passwords are read from a file or the environment and
    never logged."""

    url: str  # amqp://host:port/vhost or amqps://...
    user: str = "guest"
    password_file: str | None = None
    password_env: str | None = None
    ca_file: str | None = None  # trusted CA certificates; default: those of the system
    cert_file: str | None = None  # client certificate and its key, if the broker requires one
    key_file: str | None = None
    heartbeat_s: Annotated[int, msgspec.Meta(ge=0, le=600)] = 10
    timeout_s: Annotated[float, msgspec.Meta(gt=0)] = 10.0

    def address(self) -> tuple[str, int, bool, str]:
        """Host, port, whether to use TLS, virtual host; raises BrokerError."""
        parts = urlsplit(self.url)
        if parts.scheme not in ("amqp", "amqps") or not parts.hostname:
            raise BrokerError(f"url: expected amqp://HOST:PORT/VHOST, got {self.url!r}")
        if parts.username or parts.password:
            raise BrokerError("url: must not contain credentials, which have keys of their own")
        try:
            port = parts.port
        except ValueError as error:
            raise BrokerError(f"url: {error}") from None
        tls = parts.scheme == "amqps"
        return parts.hostname, port or (5671 if tls else 5672), tls, unquote(parts.path[1:]) or "/"

    def password(self) -> str:
        """The password as configured at present, read again for every connection; "guest" if none
        is configured. Raises BrokerError."""
        if self.password_file is not None:
            try:
                return Path(self.password_file).read_text(encoding="utf-8").rstrip("\r\n")
            except OSError as error:
                raise BrokerError(
                    f"password_file: {self.password_file}: {error.strerror}"
                ) from None
        if self.password_env is not None:
            if self.password_env not in os.environ:
                raise BrokerError(f"password_env: {self.password_env} is not set")
            return os.environ[self.password_env]
        return "guest"

    def ssl_context(self) -> ssl.SSLContext:
        """A client context with the present contents of the key and certificate files. Raises
        BrokerError."""
        try:
            context = ssl.create_default_context(cafile=self.ca_file)
            if self.cert_file is not None:
                context.load_cert_chain(self.cert_file, self.key_file)
        except OSError as error:
            raise BrokerError(f"ca_file, cert_file or key_file: {error}") from None
        return context


async def connect_tcp(broker: Broker) -> trio.abc.Stream:
    """Opens a TCP connection to the broker, with TLS for amqps:// URLs."""
    host, port, tls, _ = broker.address()
    stream: trio.abc.Stream = await trio.open_tcp_stream(host, port)
    if tls:
        secure = trio.SSLStream(stream, broker.ssl_context(), server_hostname=host)
        try:
            await secure.do_handshake()
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise
        stream = secure
    return stream


class Session:
    """One open connection. Call operations of `protocol`, and then `flush` to send them."""

    def __init__(self, stream: trio.abc.Stream, protocol: Connection) -> None:
        self.protocol = protocol
        self.opened = False  # the login has succeeded
        self._stream = stream
        self._send_requested = trio.Event()

    def flush(self) -> None:
        """Makes `run` send the protocol's pending output, in order."""
        self._send_requested.set()

    async def run(self, on_event: Callable[[Event], None]) -> Closed:
        """Runs until the connection ends for any reason, which it returns. All events are passed
        to `on_event` one by one in the order of arrival."""
        closed: list[Closed] = []

        def deliver(events: list[Event]) -> None:
            for event in events:
                if isinstance(event, Closed):
                    closed.append(event)
                self.opened = self.opened or isinstance(event, Opened)
                on_event(event)
            if closed:
                nursery.cancel_scope.cancel()
            else:
                self.flush()

        async def receive() -> None:
            while True:
                try:
                    data = await self._stream.receive_some(READ_CHUNK_BYTES)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    data = b""
                if not data:
                    deliver(self.protocol.on_stream_end())
                    return
                deliver(self.protocol.receive(bytes(data), trio.current_time()))

        async def send() -> None:
            while True:
                data = self.protocol.data_to_send(trio.current_time())
                if not data:
                    self._send_requested = trio.Event()
                    await self._send_requested.wait()
                    continue
                try:
                    await self._stream.send_all(data)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    deliver(self.protocol.on_stream_end())
                    return

        async def send_heartbeats() -> None:
            while True:
                await trio.sleep(self.protocol.tick_interval_s)
                deliver(self.protocol.tick(trio.current_time()))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive)
            nursery.start_soon(send)
            nursery.start_soon(send_heartbeats)
        await self._close_stream()
        return closed[0] if closed else Closed(0, "cancelled")

    async def _close_stream(self) -> None:
        """Closes the stream after an attempt to send the remaining output (the close method)."""
        data = self.protocol.data_to_send(trio.current_time())
        with trio.move_on_after(1.0):
            try:
                if data:
                    await self._stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                log.debug("the broker closed the stream before the last data was sent")
        await trio.aclose_forcefully(self._stream)


async def open_session(broker: Broker, connect: Connect = connect_tcp) -> Session:
    """Connects to the broker. The login is part of `Session.run`, which reports `Opened`. Raises
    BrokerError, OSError, ssl.SSLError, trio.BrokenResourceError or trio.TooSlowError."""
    *_, vhost = broker.address()
    password = broker.password()
    with trio.fail_after(broker.timeout_s):
        stream = await connect(broker)
    protocol = Connection(
        broker.user, password, vhost, heartbeat_s=broker.heartbeat_s, now=trio.current_time()
    )
    return Session(stream, protocol)


async def keep_connected(
    brokers: list[Broker],
    serve: Callable[[Session], Callable[[Event], None]],
    rng: random.Random,
    connect: Connect = connect_tcp,
) -> None:
    """Runs one session after another, each with the next broker of the list, until cancelled.

    `serve` is called with each new session and returns its event handler.
    """
    failures, pause_s = 0, 0.0
    broker_index = rng.randrange(len(brokers))
    while True:
        broker = brokers[broker_index % len(brokers)]
        broker_index += 1
        failures += 1
        started_at = trio.current_time()
        try:
            session = await open_session(broker, connect)
            closed = await _run_with_login_timeout(session, serve(session), broker.timeout_s)
            reason = f"{closed.code} {closed.text}"
            # A session that opens and ends at once (the queue does not exist, say) counts as a
            # failure: otherwise it would be retried twice a second forever.
            was_stable = trio.current_time() - started_at > 4 * pause_s
            failures = 0 if session.opened and was_stable and closed.code else failures
        except (OSError, ssl.SSLError, trio.TooSlowError, trio.BrokenResourceError) as error:
            reason = f"no connection: {type(error).__name__}: {error}"
        except BrokerError as error:
            reason = str(error)
        pause_s = min(MAX_RECONNECT_PAUSE_S, MIN_RECONNECT_PAUSE_S * 2 ** min(failures, 10))
        pause_s *= rng.uniform(0.5, 1.0)
        log.warning("%s: %s; next attempt in %.1f s", broker.url, reason, pause_s)
        await trio.sleep(pause_s)


async def _run_with_login_timeout(
    session: Session, on_event: Callable[[Event], None], timeout_s: float
) -> Closed:
    """Runs the session; ends it if there is no login within the timeout, as with a broker that
    accepts connections and never answers."""
    result: list[Closed] = []
    async with trio.open_nursery() as nursery:

        async def run() -> None:
            result.append(await session.run(on_event))
            nursery.cancel_scope.cancel()

        nursery.start_soon(run)
        await trio.sleep(timeout_s)
        if not session.opened:
            nursery.cancel_scope.cancel()
    return result[0] if result else Closed(320, f"no login within {timeout_s:g} s")

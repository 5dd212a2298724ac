"""Brokers over TLS on loopback sockets, with certificates of our own making: who is trusted,
who is not, and keys that change while we run."""

import logging
import random
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio
import trustme

from ryegauge.amqp.client import Broker, Session, keep_connected, open_session
from ryegauge.amqp.connection import Closed, Event, Opened
from ryegauge.emulator.broker import Broker as StandIn

PASSWORD = "a secret that no log may hold"


def context(ca: trustme.CA, name: str = "127.0.0.1") -> ssl.SSLContext:
    made = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    ca.issue_cert(name).configure_cert(made)
    return made


@asynccontextmanager
async def broker_on(server: ssl.SSLContext) -> AsyncIterator[tuple[int, list[ssl.SSLContext]]]:
    """A stand-in that speaks TLS; its context may be exchanged while it runs."""
    contexts = [server]
    async with trio.open_nursery() as nursery:
        stand_in = StandIn(nursery, random.Random(1))

        async def serve(stream: trio.SocketStream) -> None:
            secure = trio.SSLStream(stream, contexts[-1], server_side=True)
            try:
                await secure.do_handshake()
                await stand_in.serve(secure)
            except (trio.BrokenResourceError, ssl.SSLError):
                await trio.aclose_forcefully(secure)

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield listeners[0].socket.getsockname()[1], contexts
        nursery.cancel_scope.cancel()


async def login(broker: Broker) -> Event:
    """The first thing that an attempt comes to."""
    with trio.fail_after(10):
        session = await open_session(broker)
        got: list[Event] = []
        async with trio.open_nursery() as nursery:

            def told(event: Event) -> None:
                got.append(event)
                nursery.cancel_scope.cancel()

            nursery.start_soon(session.run, told)
        return got[0]


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    trio.run(scenario)


@pytest.fixture
def ca(tmp_path: Path) -> trustme.CA:
    made = trustme.CA()
    made.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
    (tmp_path / "password").write_text(PASSWORD + "\n")
    return made


def broker(tmp_path: Path, port: int, **changes: object) -> Broker:
    fields: dict[str, object] = {
        "ca_file": str(tmp_path / "ca.pem"),
        "password_file": str(tmp_path / "password"),
        "timeout_s": 5.0,
        **changes,
    }
    return Broker(f"amqps://127.0.0.1:{port}/", **fields)  # type: ignore[arg-type]


def test_a_broker_that_our_authority_certifies_is_trusted(tmp_path: Path, ca: trustme.CA) -> None:
    async def scenario() -> None:
        async with broker_on(context(ca)) as (port, _):
            assert await login(broker(tmp_path, port)) == Opened()

    run(scenario)


@pytest.mark.parametrize("fault", ["another authority", "another name", "not TLS"])
def test_others_are_not_and_get_no_password(tmp_path: Path, ca: trustme.CA, fault: str) -> None:
    server = context(
        trustme.CA() if fault == "another authority" else ca,
        "10.9.9.9" if fault == "another name" else "127.0.0.1",
    )

    async def scenario() -> None:
        if fault == "not TLS":
            async with trio.open_nursery() as nursery:
                heard: list[bytes] = []

                async def serve(stream: trio.SocketStream) -> None:
                    heard.append(bytes(await stream.receive_some(1000)))
                    await stream.send_all(b"AMQP\0\0\x09\x01")

                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                port = listeners[0].socket.getsockname()[1]
                with pytest.raises(trio.BrokenResourceError):
                    await login(broker(tmp_path, port))
                assert PASSWORD.encode() not in b"".join(heard)
                nursery.cancel_scope.cancel()
            return
        async with broker_on(server) as (port, _):
            with pytest.raises(trio.BrokenResourceError) as failed:
                await login(broker(tmp_path, port))
            assert "certificate verify failed" in str(failed.value.__cause__)

    run(scenario)


def test_a_broker_that_asks_who_we_are(tmp_path: Path, ca: trustme.CA) -> None:
    server = context(ca)
    server.verify_mode = ssl.CERT_REQUIRED
    ca.configure_trust(server)
    own = ca.issue_cert("controller")
    own.private_key_pem.write_to_path(str(tmp_path / "key.pem"))
    own.cert_chain_pems[0].write_to_path(str(tmp_path / "cert.pem"))

    async def scenario() -> None:
        async with broker_on(server) as (port, _):
            keys = {"cert_file": str(tmp_path / "cert.pem"), "key_file": str(tmp_path / "key.pem")}
            assert await login(broker(tmp_path, port, **keys)) == Opened()
            # With TLS 1.3 a refusal comes after our side of the handshake is done.
            refused = await login(broker(tmp_path, port))
            assert isinstance(refused, Closed)

    run(scenario)


def test_keys_and_passwords_are_read_again_for_each_connection(
    tmp_path: Path, ca: trustme.CA, caplog: pytest.LogCaptureFixture
) -> None:
    """The broker's authority is replaced while we are connected: the next connection fails
    until our file has the new one, and no log ever holds the password."""
    caplog.set_level(logging.DEBUG)
    other = trustme.CA()

    async def scenario() -> None:
        async with broker_on(context(ca)) as (port, contexts), trio.open_nursery() as nursery:
            opened: list[Session] = []
            seen = trio.Event()

            def serve(session: Session) -> Callable[[Event], None]:
                def told(event: Event) -> None:
                    nonlocal seen
                    if event == Opened():
                        opened.append(session)
                        seen.set()

                return told

            async def wait() -> None:
                nonlocal seen
                with trio.fail_after(20):
                    await seen.wait()
                seen = trio.Event()

            address = broker(tmp_path, port)
            nursery.start_soon(keep_connected, [address], serve, random.Random(1))
            await wait()
            contexts.append(context(other))
            opened[-1].protocol.close()
            opened[-1].flush()
            while "no connection" not in caplog.text:
                await trio.sleep(0.01)
            other.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
            await wait()
            assert len(opened) == 2
            nursery.cancel_scope.cancel()

    run(scenario)
    assert PASSWORD not in caplog.text

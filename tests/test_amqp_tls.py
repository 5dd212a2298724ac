"""TLS connections to an emulated broker on loopback sockets: trusted and untrusted certificates,
client certificates, and a CA file that changes at run time."""

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
from ryegauge.emulator.broker import Broker as EmulatedBroker

PASSWORD = "a secret that must not be logged"


def server_context(ca: trustme.CA, name: str = "127.0.0.1") -> ssl.SSLContext:
    created = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    ca.issue_cert(name).configure_cert(created)
    return created


@asynccontextmanager
async def tls_broker(server: ssl.SSLContext) -> AsyncIterator[tuple[int, list[ssl.SSLContext]]]:
    """An emulated broker with TLS. Yields its port and the list of its contexts: new connections
    use the last one."""
    contexts = [server]
    async with trio.open_nursery() as nursery:
        emulated = EmulatedBroker(nursery, random.Random(1))

        async def serve(stream: trio.SocketStream) -> None:
            secure = trio.SSLStream(stream, contexts[-1], server_side=True)
            try:
                await secure.do_handshake()
                await emulated.serve(secure)
            except (trio.BrokenResourceError, ssl.SSLError):
                await trio.aclose_forcefully(secure)

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield listeners[0].socket.getsockname()[1], contexts
        nursery.cancel_scope.cancel()


async def first_event(broker_config: Broker) -> Event:
    """The first event of a new connection."""
    with trio.fail_after(10):
        session = await open_session(broker_config)
        events: list[Event] = []
        async with trio.open_nursery() as nursery:

            def on_event(event: Event) -> None:
                events.append(event)
                nursery.cancel_scope.cancel()

            nursery.start_soon(session.run, on_event)
        return events[0]


def run_in_trio(scenario: Callable[[], Awaitable[None]]) -> None:
    trio.run(scenario)


@pytest.fixture
def ca(tmp_path: Path) -> trustme.CA:
    created = trustme.CA()
    created.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
    (tmp_path / "password").write_text(PASSWORD + "\n")
    return created


def broker_config(tmp_path: Path, port: int, **changes: object) -> Broker:
    fields: dict[str, object] = {
        "ca_file": str(tmp_path / "ca.pem"),
        "password_file": str(tmp_path / "password"),
        "timeout_s": 5.0,
        **changes,
    }
    return Broker(f"amqps://127.0.0.1:{port}/", **fields)  # type: ignore[arg-type]


def test_broker_with_a_trusted_certificate_is_accepted(tmp_path: Path, ca: trustme.CA) -> None:
    async def scenario() -> None:
        async with tls_broker(server_context(ca)) as (port, _):
            assert await first_event(broker_config(tmp_path, port)) == Opened()

    run_in_trio(scenario)


@pytest.mark.parametrize("server_fault", ["untrusted authority", "wrong host name", "not TLS"])
def test_untrusted_brokers_get_no_password(
    tmp_path: Path, ca: trustme.CA, server_fault: str
) -> None:
    server = server_context(
        trustme.CA() if server_fault == "untrusted authority" else ca,
        "10.9.9.9" if server_fault == "wrong host name" else "127.0.0.1",
    )

    async def scenario() -> None:
        if server_fault == "not TLS":
            async with trio.open_nursery() as nursery:
                received: list[bytes] = []

                async def serve(stream: trio.SocketStream) -> None:
                    received.append(bytes(await stream.receive_some(1000)))
                    await stream.send_all(b"AMQP\0\0\x09\x01")

                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                port = listeners[0].socket.getsockname()[1]
                with pytest.raises(trio.BrokenResourceError):
                    await first_event(broker_config(tmp_path, port))
                assert PASSWORD.encode() not in b"".join(received)
                nursery.cancel_scope.cancel()
            return
        async with tls_broker(server) as (port, _):
            with pytest.raises(trio.BrokenResourceError) as raised:
                await first_event(broker_config(tmp_path, port))
            assert "certificate verify failed" in str(raised.value.__cause__)

    run_in_trio(scenario)


def test_client_certificate_is_sent_if_required(tmp_path: Path, ca: trustme.CA) -> None:
    server = server_context(ca)
    server.verify_mode = ssl.CERT_REQUIRED
    ca.configure_trust(server)
    own = ca.issue_cert("controller")
    own.private_key_pem.write_to_path(str(tmp_path / "key.pem"))
    own.cert_chain_pems[0].write_to_path(str(tmp_path / "cert.pem"))

    async def scenario() -> None:
        async with tls_broker(server) as (port, _):
            keys = {"cert_file": str(tmp_path / "cert.pem"), "key_file": str(tmp_path / "key.pem")}
            assert await first_event(broker_config(tmp_path, port, **keys)) == Opened()
            # With TLS 1.3 the refusal arrives after the client's handshake has completed.
            refused = await first_event(broker_config(tmp_path, port))
            assert isinstance(refused, Closed)

    run_in_trio(scenario)


def test_ca_file_is_read_again_and_password_is_not_logged(
    tmp_path: Path, ca: trustme.CA, caplog: pytest.LogCaptureFixture
) -> None:
    """The broker's CA is replaced at run time: reconnecting fails until the configured CA file
    contains the new one. The password is never logged."""
    caplog.set_level(logging.DEBUG)
    new_ca = trustme.CA()

    async def scenario() -> None:
        async with (
            tls_broker(server_context(ca)) as (port, contexts),
            trio.open_nursery() as nursery,
        ):
            sessions: list[Session] = []
            connected = trio.Event()

            def serve(session: Session) -> Callable[[Event], None]:
                def on_event(event: Event) -> None:
                    nonlocal connected
                    if event == Opened():
                        sessions.append(session)
                        connected.set()

                return on_event

            async def wait() -> None:
                nonlocal connected
                with trio.fail_after(20):
                    await connected.wait()
                connected = trio.Event()

            config = broker_config(tmp_path, port)
            nursery.start_soon(keep_connected, [config], serve, random.Random(1))
            await wait()
            contexts.append(server_context(new_ca))
            sessions[-1].protocol.close()
            sessions[-1].flush()
            while "no connection" not in caplog.text:
                await trio.sleep(0.01)
            new_ca.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
            await wait()
            assert len(sessions) == 2
            nursery.cancel_scope.cancel()

    run_in_trio(scenario)
    assert PASSWORD not in caplog.text

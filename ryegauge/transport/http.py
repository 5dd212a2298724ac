"""HTTP/1.1 with CBOR bodies: h11 over trio streams, for servers and clients."""

import errno
import io
import logging
import math
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import nullcontext
from functools import lru_cache
from typing import Any, NamedTuple, Protocol

import cbor2
import h11
import trio

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
CHUNK = 16 * 1024
# Connections are few once less than one in so many is left.
FEW_LEFT = 4


class Malformed(Exception):
    """A body that is not the CBOR that the protocol allows."""


class Unreachable(Exception):
    """No usable answer came; whether the request was executed is unknown."""


class ConnectionRefused(Unreachable):
    """The host answers; nobody listens at the port."""


class ConnectionReset(Unreachable):
    """The connection stood and ended without an answer that can be read."""


class ResponseTimeout(Unreachable):
    """The connection stood, and nothing came in time."""


class Reply(NamedTuple):
    status: int
    body: Any = None
    retry_after_s: float | None = None


Handler = Callable[[str, str, bytes], Awaitable[Reply]]


class HttpClient(Protocol):
    """Whatever requests can be made with: a Client, or a stand-in."""

    async def request(
        self, method: str, target: str, body: Any = None, *, timeout_s: float
    ) -> tuple[int, Any, float | None]: ...

    def close(self) -> None: ...


class Network(Protocol):
    """Where calls go to and come from. Real sockets, or a simulation of them."""

    def client(self, address: str, *, max_connections: int, idle_s: float) -> HttpClient: ...

    async def serve(
        self,
        address: str,
        handler: Handler,
        *,
        max_connections: int,
        idle_s: float,
        request_s: float,
        listening: Callable[[], None] = ...,
        first: Callable[[str], bool] = ...,
    ) -> None:
        """`listening` is called once the address is ours; `first` tells by its target whose
        connections are kept when there are too many."""
        ...


def split_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected HOST:PORT, got {text!r}")
    return host, int(port)


class TcpNetwork:
    def client(self, address: str, *, max_connections: int, idle_s: float) -> "Client":
        host, port = split_address(address)
        return Client(host, port, max_connections=max_connections, idle_s=idle_s)

    async def serve(
        self,
        address: str,
        handler: Handler,
        *,
        max_connections: int,
        idle_s: float,
        request_s: float,
        listening: Callable[[], None] = lambda: None,
        first: Callable[[str], bool] = lambda target: False,
    ) -> None:
        server = Server(
            handler,
            max_connections=max_connections,
            idle_s=idle_s,
            request_s=request_s,
            first=first,
        )
        await server.serve(*split_address(address), listening)


def decode(data: bytes) -> Any:
    stream = io.BytesIO(data)
    try:
        value = cbor2.CBORDecoder(stream).decode()
    except Exception as error:  # the decoder lets several kinds through on hostile input
        raise Malformed(str(error)) from None
    if stream.tell() != len(data) and stream.read(1):
        raise Malformed("more follows the first value")
    return value


encode = cbor2.dumps


async def answer(handler: Handler, method: str, target: str, body: bytes) -> Reply:
    """What a handler says, or what its failure means to the caller."""
    try:
        return await handler(method, target, body)
    except Malformed as error:
        return Reply(400, {"error": str(error)})
    except Exception:
        log.exception("a request failed")
        return Reply(503, {"error": "internal error"}, 2.0)


class Server:
    """Serves one address; a broken or slow connection costs only itself.

    When few connections are left, those whose requests do not go first are asked to close
    after each answer, and when none is left, the one of them that has been idle for longest
    makes way. (Left alone with a fleet of 984 machines, a controller had its sockets full of
    users' idle connections, and workers that found it were turned away until their leases had
    run out.)"""

    def __init__(
        self,
        handler: Handler,
        *,
        max_connections: int,
        idle_s: float,
        request_s: float,
        first: Callable[[str], bool] = lambda target: False,
    ) -> None:
        self._handler = handler
        self._free = max_connections
        self._few = max_connections // FEW_LEFT
        self._first = first
        self._idle: dict[trio.abc.Stream, trio.CancelScope] = {}  # idle for longest first
        self._idle_s = idle_s
        self._request_s = request_s

    async def serve(
        self, host: str, port: int, listening: Callable[[], None] = lambda: None
    ) -> None:
        listeners = await self._listen(host, port)
        listening()
        await trio.serve_listeners(self._connection, listeners)

    async def _listen(self, host: str, port: int) -> list[trio.SocketListener]:
        """A process that ended may be back within a fraction of a second, before its port is
        free: that is waited for, within bounds, instead of ending again and again."""
        until = trio.current_time() + self._request_s
        while True:
            try:
                return await trio.open_tcp_listeners(port, host=host, backlog=256)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or trio.current_time() >= until:
                    raise
            await trio.sleep(self._request_s / 100)

    async def _connection(self, stream: trio.SocketStream) -> None:
        if self._free <= 0 and not self._make_way():
            # Sockets are kept for the controller's own calls: a flood is shed here.
            await trio.aclose_forcefully(stream)
            return
        self._free -= 1
        try:
            await self._requests(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        except Exception:
            log.exception("a connection ended by an internal error")
        finally:
            self._free += 1
            await trio.aclose_forcefully(stream)

    def _make_way(self) -> bool:
        for stream, waiting in self._idle.items():
            del self._idle[stream]
            waiting.cancel()
            return True
        return False

    async def _requests(self, stream: trio.SocketStream) -> None:
        # One scope for all that a connection is waited for, with a deadline that moves: a scope
        # for each read and each answer was a tenth of what a check-in cost.
        with trio.CancelScope() as patience:
            await self._answer_all(stream, patience)

    async def _answer_all(self, stream: trio.SocketStream, patience: trio.CancelScope) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=CHUNK)
        first = False
        while True:
            request: h11.Request | None = None
            body: bytes | None = None
            patience.deadline = trio.current_time() + self._idle_s
            # Apart from the other scope, so that making way never cuts a request short.
            waiting = None if first else trio.CancelScope()
            if waiting is not None:
                self._idle[stream] = waiting
            try:
                with waiting or nullcontext():
                    request, body = await self._read(conn, stream, patience)
            except h11.RemoteProtocolError as error:
                if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    patience.deadline = trio.current_time() + self._request_s
                    await _send(conn, stream, Reply(error.error_status_hint, None), close=True)
                return
            finally:
                self._idle.pop(stream, None)
            if request is None:
                return
            if body is None:
                await _send(conn, stream, Reply(400, {"error": "body over 64 KiB"}), close=True)
                return
            patience.deadline = math.inf
            target = request.target.decode("ascii")
            first = self._first(target)
            reply = await answer(self._handler, request.method.decode("ascii"), target, body)
            patience.deadline = trio.current_time() + self._request_s
            await _send(conn, stream, reply, close=not first and self._free < self._few)
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _read(
        self, conn: h11.Connection, stream: trio.SocketStream, patience: trio.CancelScope
    ) -> tuple[h11.Request | None, bytes | None]:
        request: h11.Request | None = None
        parts: list[bytes] = []
        size = 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if conn.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    await stream.send_all(conn.send(go_on) or b"")
                conn.receive_data(await stream.receive_some(CHUNK))
            elif isinstance(event, h11.Request):
                request = event
                patience.deadline = trio.current_time() + self._request_s
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY_BYTES:
                    return request, None
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return request, b"".join(parts)
            else:
                return None, None


_END = h11.EndOfMessage()


@lru_cache(256)
def _head(
    status: int, length: int, plain: bool, retry_after_s: float | None, close: bool
) -> h11.Response:
    """The same few over and over: most answers to check-ins have the same length."""
    headers = [("content-length", str(length))]
    if length:
        kind = "text/plain; version=0.0.4; charset=utf-8" if plain else "application/cbor"
        headers.append(("content-type", kind))
    if retry_after_s is not None:
        headers.append(("retry-after", str(max(1, math.ceil(retry_after_s)))))
    if close:
        headers.append(("connection", "close"))
    return h11.Response(status_code=status, headers=headers)


async def _send(
    conn: h11.Connection, stream: trio.SocketStream, reply: Reply, close: bool = False
) -> None:
    # Octets go out as they are: no message between components is binary.
    plain = isinstance(reply.body, bytes)
    body = b"" if reply.body is None else reply.body if plain else encode(reply.body)
    out = conn.send(_head(reply.status, len(body), plain, reply.retry_after_s, close)) or b""
    if body:
        out += conn.send(h11.Data(data=body)) or b""
    out += conn.send(_END) or b""
    await stream.send_all(out)


class Client:
    """A pool of connections to one address. Every call has a deadline."""

    def __init__(self, host: str, port: int, *, max_connections: int, idle_s: float) -> None:
        self._host, self._port = host, port
        self._header = [("host", f"{host}:{port}"), ("content-type", "application/cbor")]
        self._idle: deque[tuple[trio.SocketStream, h11.Connection, float]] = deque()
        self._slots = trio.CapacityLimiter(max_connections)
        self._idle_s = idle_s

    async def request(
        self, method: str, target: str, body: Any = None, *, timeout_s: float
    ) -> tuple[int, Any, float | None]:
        """Returns (status, body, Retry-After). Raises Unreachable."""
        stood: list[bool] = []  # once there is a connection
        try:
            with trio.fail_after(timeout_s):
                async with self._slots:
                    return await self._exchange(method, target, body, stood)
        except trio.TooSlowError as error:
            kind = ResponseTimeout if stood else Unreachable
            raise kind(type(error).__name__) from None
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionReset(type(error).__name__) from None
        except ConnectionRefusedError as error:
            raise ConnectionRefused(str(error)) from None
        except (ConnectionResetError, h11.RemoteProtocolError, Malformed) as error:
            raise ConnectionReset(str(error)) from None
        except OSError as error:
            raise Unreachable(str(error)) from None

    def close(self) -> None:
        """Closes what is idle; calls under way keep their connection."""
        while self._idle:
            self._idle.popleft()[0].socket.close()

    async def _exchange(
        self, method: str, target: str, body: Any, stood: list[bool]
    ) -> tuple[int, Any, float | None]:
        payload = b"" if body is None else encode(body)
        while self._idle and self._idle[0][2] < trio.current_time():
            await trio.aclose_forcefully(self._idle.popleft()[0])
        if self._idle:
            stream, conn, _ = self._idle.pop()
        else:
            # The connection is opened by IP number, without look-ups or racing.
            sock = trio.socket.socket()
            try:
                sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
                await sock.connect((self._host, self._port))
            except BaseException:
                sock.close()
                raise
            stream, conn = trio.SocketStream(sock), h11.Connection(h11.CLIENT)
        stood.append(True)
        keep = False
        try:
            request = h11.Request(
                method=method,
                target=target,
                headers=[*self._header, ("content-length", str(len(payload)))],
            )
            out = conn.send(request) or b""
            if payload:
                out += conn.send(h11.Data(data=payload)) or b""
            out += conn.send(h11.EndOfMessage()) or b""
            await stream.send_all(out)
            response: h11.Response | None = None
            parts: list[bytes] = []
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    conn.receive_data(await stream.receive_some(4 * CHUNK))
                elif isinstance(event, h11.Response):
                    response = event
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise h11.RemoteProtocolError("closed before the response")
            assert response is not None
            data = b"".join(parts)
            content = decode(data) if data else None
            if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
                conn.start_next_cycle()
                self._idle.append((stream, conn, trio.current_time() + self._idle_s))
                keep = True
            return response.status_code, content, _retry_after(response)
        finally:
            if not keep:
                await trio.aclose_forcefully(stream)


def _retry_after(response: h11.Response) -> float | None:
    for name, value in response.headers:
        if name == b"retry-after":
            try:
                return float(value)
            except ValueError:
                return None
    return None

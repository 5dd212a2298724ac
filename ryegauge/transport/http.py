"""HTTP/1.1 servers and clients with CBOR bodies: h11 over trio streams."""

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
READ_SIZE_BYTES = 16 * 1024
# Connections without precedence are closed after each response while fewer than one in this
# many is free.
LOW_CONNECTIONS_DIVISOR = 4


class Malformed(Exception):
    """A message that is not valid CBOR, or not what the protocol allows."""


class Unreachable(Exception):
    """There is no usable response; whether the request was executed is unknown."""


class ConnectionRefused(Unreachable):
    """The host is up, but nothing listens at the port."""


class ConnectionReset(Unreachable):
    """The connection was established and ended without a readable response."""


class ResponseTimeout(Unreachable):
    """The connection was established, but no response arrived in time."""


class Reply(NamedTuple):
    """A handler's response. Bodies of bytes are sent as text, all others as CBOR."""

    status: int
    body: Any = None
    retry_after_s: float | None = None


# (method, target, body) -> response.
Handler = Callable[[str, str, bytes], Awaitable[Reply]]


class HttpClient(Protocol):
    """Interface of Client, which the simulated network implements too."""

    async def request(
        self, method: str, target: str, body: Any = None, *, timeout_s: float
    ) -> tuple[int, Any, float | None]:
        """Returns (status, body, Retry-After in seconds). Raises Unreachable."""
        ...

    def close(self) -> None:
        """Closes idle connections."""
        ...


class Network(Protocol):
    """Creates clients and servers, on real sockets or on a simulated network.

    Controllers of older versions run on the emulator's network as well, so the parameters of
    `client` and `serve` keep their names."""

    def client(self, address: str, *, max_connections: int, idle_s: float) -> HttpClient:
        """Returns a client for an address, HOST:PORT, without connecting."""
        ...

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
        """Serves an address, HOST:PORT, until cancelled.

        `listening` is called once the address is bound. `first` tells by a request's target
        whether its connection takes precedence when few connections are left. A connection is
        closed after `idle_s` without a request, or if receiving a request or sending a response
        takes longer than `request_s`."""
        ...


def split_address(text: str) -> tuple[str, int]:
    """Splits HOST:PORT; raises ValueError if it is none."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected HOST:PORT, got {text!r}")
    return host, int(port)


class TcpNetwork:
    """The Network of real TCP sockets."""

    def client(self, address: str, *, max_connections: int, idle_s: float) -> "Client":
        """See Network.client."""
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
        """See Network.serve."""
        server = Server(
            handler,
            max_connections=max_connections,
            idle_s=idle_s,
            request_s=request_s,
            first=first,
        )
        await server.serve(*split_address(address), listening)


def decode(data: bytes) -> Any:
    """Returns the one CBOR value in `data`; raises Malformed."""
    stream = io.BytesIO(data)
    try:
        value = cbor2.CBORDecoder(stream).decode()
    except Exception as error:  # on hostile input the decoder raises exceptions of many types
        raise Malformed(str(error)) from None
    if stream.tell() != len(data) and stream.read(1):
        raise Malformed("more follows the first value")
    return value


encode = cbor2.dumps


async def answer(handler: Handler, method: str, target: str, body: bytes) -> Reply:
    """Calls a handler; its exceptions become 400 (Malformed) or 503 (all others)."""
    try:
        return await handler(method, target, body)
    except Malformed as error:
        return Reply(400, {"error": str(error)})
    except Exception:
        log.exception("internal error while handling a request")
        return Reply(503, {"error": "internal error"}, 2.0)


class Server:
    """Serves one address; a broken or slow connection affects no other.

    When few connections are left, those without precedence are closed after each response, and
    when none is left, the one of them that has been idle for longest is closed for a new one.
    Without this rule, idle connections of users filled up the only controller that was left
    for 984 machines, and it rejected workers until their leases had expired."""

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
        self._free_connections = max_connections
        self._low_threshold = max_connections // LOW_CONNECTIONS_DIVISOR
        self._has_precedence = first
        # Idle connections without precedence, longest idle first.
        self._idle_connections: dict[trio.abc.Stream, trio.CancelScope] = {}
        self._idle_s = idle_s
        self._request_s = request_s

    async def serve(
        self, host: str, port: int, listening: Callable[[], None] = lambda: None
    ) -> None:
        """Serves until cancelled; `listening` is called once the address is bound.

        Raises OSError if the address cannot be bound."""
        listeners = await self._listen(host, port)
        listening()
        await trio.serve_listeners(self._handle_connection, listeners)

    async def _listen(self, host: str, port: int) -> list[trio.SocketListener]:
        """Retries for up to `request_s` while the port is in use: a process that is restarted
        within a fraction of a second finds the port of its predecessor still taken."""
        retry_until = trio.current_time() + self._request_s
        while True:
            try:
                return await trio.open_tcp_listeners(port, host=host, backlog=256)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or trio.current_time() >= retry_until:
                    raise
            await trio.sleep(self._request_s / 100)

    async def _handle_connection(self, stream: trio.SocketStream) -> None:
        if self._free_connections <= 0 and not self._close_longest_idle():
            # Sheds connections above the limit, which leaves sockets for the controller's calls.
            await trio.aclose_forcefully(stream)
            return
        self._free_connections -= 1
        try:
            await self._handle_requests(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        except Exception:
            log.exception("internal error: connection closed")
        finally:
            self._free_connections += 1
            await trio.aclose_forcefully(stream)

    def _close_longest_idle(self) -> bool:
        """Returns whether there was an idle connection."""
        for stream, idle_scope in self._idle_connections.items():
            del self._idle_connections[stream]
            idle_scope.cancel()
            return True
        return False

    async def _handle_requests(self, stream: trio.SocketStream) -> None:
        # One scope with a moving deadline covers all reads and writes of the connection: separate
        # scopes accounted for a tenth of the processor time of a check-in.
        with trio.CancelScope() as deadline_scope:
            await self._request_loop(stream, deadline_scope)

    async def _request_loop(
        self, stream: trio.SocketStream, deadline_scope: trio.CancelScope
    ) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=READ_SIZE_BYTES)
        precedence = False
        while True:
            request: h11.Request | None = None
            body: bytes | None = None
            deadline_scope.deadline = trio.current_time() + self._idle_s
            # A scope of its own, cancelled only while idle, so that no request is interrupted.
            idle_scope = None if precedence else trio.CancelScope()
            if idle_scope is not None:
                self._idle_connections[stream] = idle_scope
            try:
                with idle_scope or nullcontext():
                    request, body = await self._read_request(conn, stream, deadline_scope)
            except h11.RemoteProtocolError as error:
                if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    deadline_scope.deadline = trio.current_time() + self._request_s
                    await _send_response(
                        conn, stream, Reply(error.error_status_hint, None), close=True
                    )
                return
            finally:
                self._idle_connections.pop(stream, None)
            if request is None:
                return
            if body is None:
                await _send_response(
                    conn, stream, Reply(400, {"error": "body over 64 KiB"}), close=True
                )
                return
            deadline_scope.deadline = math.inf
            target = request.target.decode("ascii")
            precedence = self._has_precedence(target)
            reply = await answer(self._handler, request.method.decode("ascii"), target, body)
            deadline_scope.deadline = trio.current_time() + self._request_s
            await _send_response(
                conn,
                stream,
                reply,
                close=not precedence and self._free_connections < self._low_threshold,
            )
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _read_request(
        self, conn: h11.Connection, stream: trio.SocketStream, deadline_scope: trio.CancelScope
    ) -> tuple[h11.Request | None, bytes | None]:
        request: h11.Request | None = None
        parts: list[bytes] = []
        size = 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if conn.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(status_code=100, headers=[])
                    await stream.send_all(conn.send(continue_response) or b"")
                conn.receive_data(await stream.receive_some(READ_SIZE_BYTES))
            elif isinstance(event, h11.Request):
                request = event
                deadline_scope.deadline = trio.current_time() + self._request_s
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY_BYTES:
                    return request, None
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return request, b"".join(parts)
            else:
                return None, None


_END_OF_MESSAGE = h11.EndOfMessage()


@lru_cache(256)
def _response_head(
    status: int, length: int, is_text: bool, retry_after_s: float | None, close: bool
) -> h11.Response:
    """Cached, since most responses to check-ins have the same length."""
    headers = [("content-length", str(length))]
    if length:
        content_type = "text/plain; version=0.0.4; charset=utf-8" if is_text else "application/cbor"
        headers.append(("content-type", content_type))
    if retry_after_s is not None:
        headers.append(("retry-after", str(max(1, math.ceil(retry_after_s)))))
    if close:
        headers.append(("connection", "close"))
    return h11.Response(status_code=status, headers=headers)


async def _send_response(
    conn: h11.Connection, stream: trio.SocketStream, reply: Reply, close: bool = False
) -> None:
    # Bodies of bytes are plain text: no message between components is a CBOR byte string.
    is_text = isinstance(reply.body, bytes)
    body = b"" if reply.body is None else reply.body if is_text else encode(reply.body)
    out = (
        conn.send(_response_head(reply.status, len(body), is_text, reply.retry_after_s, close))
        or b""
    )
    if body:
        out += conn.send(h11.Data(data=body)) or b""
    out += conn.send(_END_OF_MESSAGE) or b""
    await stream.send_all(out)


class Client:
    """A pool of connections to one address. Every request has a deadline.

    `idle_s` is how long an unused connection is kept."""

    def __init__(self, host: str, port: int, *, max_connections: int, idle_s: float) -> None:
        self._host, self._port = host, port
        self._request_headers = [("host", f"{host}:{port}"), ("content-type", "application/cbor")]
        self._idle_connections: deque[tuple[trio.SocketStream, h11.Connection, float]] = deque()
        self._connection_limiter = trio.CapacityLimiter(max_connections)
        self._idle_s = idle_s

    async def request(
        self, method: str, target: str, body: Any = None, *, timeout_s: float
    ) -> tuple[int, Any, float | None]:
        """Returns (status, body, Retry-After in seconds). Raises Unreachable."""
        established: list[bool] = []  # not empty once there is a connection
        try:
            with trio.fail_after(timeout_s):
                async with self._connection_limiter:
                    return await self._exchange(method, target, body, established)
        except trio.TooSlowError as error:
            error_type = ResponseTimeout if established else Unreachable
            raise error_type(type(error).__name__) from None
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionReset(type(error).__name__) from None
        except ConnectionRefusedError as error:
            raise ConnectionRefused(str(error)) from None
        except (ConnectionResetError, h11.RemoteProtocolError, Malformed) as error:
            raise ConnectionReset(str(error)) from None
        except OSError as error:
            raise Unreachable(str(error)) from None

    def close(self) -> None:
        """Closes idle connections; requests in progress keep theirs."""
        while self._idle_connections:
            self._idle_connections.popleft()[0].socket.close()

    async def _exchange(
        self, method: str, target: str, body: Any, established: list[bool]
    ) -> tuple[int, Any, float | None]:
        payload = b"" if body is None else encode(body)
        while self._idle_connections and self._idle_connections[0][2] < trio.current_time():
            await trio.aclose_forcefully(self._idle_connections.popleft()[0])
        if self._idle_connections:
            stream, conn, _ = self._idle_connections.pop()
        else:
            # Addresses are IP addresses: no name resolution, no racing of several addresses.
            sock = trio.socket.socket()
            try:
                sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
                await sock.connect((self._host, self._port))
            except BaseException:
                sock.close()
                raise
            stream, conn = trio.SocketStream(sock), h11.Connection(h11.CLIENT)
        established.append(True)
        reusable = False
        try:
            request = h11.Request(
                method=method,
                target=target,
                headers=[*self._request_headers, ("content-length", str(len(payload)))],
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
                    conn.receive_data(await stream.receive_some(4 * READ_SIZE_BYTES))
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
                self._idle_connections.append((stream, conn, trio.current_time() + self._idle_s))
                reusable = True
            return response.status_code, content, _retry_after(response)
        finally:
            if not reusable:
                await trio.aclose_forcefully(stream)


def _retry_after(response: h11.Response) -> float | None:
    for name, value in response.headers:
        if name == b"retry-after":
            try:
                return float(value)
            except ValueError:
                return None
    return None

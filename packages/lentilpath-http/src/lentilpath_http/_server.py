"""An HTTP server that calls one handler for each complete request."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import socket
import ssl
from collections.abc import Awaitable, Callable

import h11

from lentilpath_http._budget import (
    ConnectionBudget,
    PieceCount,
    SharedLimits,
    create_budget,
)
from lentilpath_http._connection import STATUSES_WITHOUT_BODY, set_keepalive
from lentilpath_http._counted_connection import CountedConnection
from lentilpath_http._heads import check_head
from lentilpath_http._messages import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    MalformedMessage,
    MessageTooLarge,
    json_response,
)
from lentilpath_http._refusals import make_overload_refusal, make_refusal, send_refusal

SOCKET_BUFFER_BYTES = 65_536
"""Size of the kernel's buffers of a connection, in each direction; it would let them grow to
several megabytes. A body of 1 MiB arrives within 2 s at a round trip of 100 ms."""
MAX_LISTEN_BACKLOG = 1_024
"""Maximum number of connections that the kernel queues until the event loop accepts them."""
BACKLOG_SHARE = 4
"""The event loop accepts the whole queue at once, so its length is this part of the limit on
connections at most."""
MAX_DEADLINE_FACTOR = 4
"""A request of small pieces has up to so many times the time to arrive, as the server delays it."""
DISCONNECT_WATCH_DELAY_SECONDS = 0.01
MAX_LOGGED_CHARACTERS = 500
"""Length of an error in the log; it may repeat what a caller has sent."""

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer:
    """A listening server; closing it waits for requests in progress."""

    def __init__(self, handler: Handler, limits: HttpLimits, budget: ConnectionBudget) -> None:
        self._handler = handler
        self._limits = limits
        self._budget = budget
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        self._tls: ssl.SSLContext | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._idle: set[asyncio.Task[None]] = set()
        self._connections_without_request: set[asyncio.Task[None]] = set()
        """Open connections on which no byte of a request has arrived yet."""
        self._closing = False

    async def start(self, address: str, port: int, tls: ssl.SSLContext | None) -> None:
        """Listen on `address` and `port`."""
        self._tls = tls
        backlog = max(1, self._budget.limits.max_connections // BACKLOG_SHARE)
        self._server = await asyncio.get_running_loop().create_server(
            self._create_protocol, address, port, ssl=tls, backlog=min(MAX_LISTEN_BACKLOG, backlog)
        )
        for each in self._server.sockets:
            each.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            each.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        # Keeps the kernel's accept queue open after the server has closed its own socket.
        self._listener = self._server.sockets[0].dup()

    def get_port(self) -> int:
        """Return the port that the server listens on."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def close(self, grace_seconds: float) -> None:
        """Stop listening, finish requests in progress for at most `grace_seconds`, then close."""
        deadline = asyncio.get_running_loop().time() + grace_seconds
        self._closing = True
        listener, self._listener = self._listener, None
        if self._server is not None and listener is not None:
            await self._stop_listening(self._server, listener)
        # A request may already be in transit on a connection that is idle here. It is answered
        # with a `connection: close` header.
        await asyncio.sleep(min(self._limits.linger_seconds, grace_seconds))
        _cancel_all(self._idle - self._connections_without_request)
        # Callers that have just connected are about to send their first request.
        await self._wait_until_closed(deadline, self._limits.receive_timeout_seconds)
        _cancel_all(self._idle)
        await self._wait_until_closed(deadline)
        _cancel_all(self._connections)

    def break_connections(self) -> None:
        """Close all connections at once, as the end of a process does; keeps listening."""
        _cancel_all(self._connections)

    async def _stop_listening(self, server: asyncio.Server, listener: socket.socket) -> None:
        """Stop listening, and serve the connections that callers have already established."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(server.sockets[0].fileno())
        # Connections accepted by the event loop fail if the server closes before they are set up.
        await asyncio.sleep(0)
        server.close()
        accepted: list[socket.socket] = []
        with listener, contextlib.suppress(BlockingIOError):
            while True:
                connection, _ = listener.accept()
                connection.setblocking(False)
                accepted.append(connection)
        for connection in accepted:
            try:
                await loop.connect_accepted_socket(self._create_protocol, connection, ssl=self._tls)
            except OSError as error:
                # The caller has disconnected, or its TLS handshake failed.
                logging.info("connection accepted during shutdown failed: %r", error)

    def _create_protocol(self) -> CountedConnection:
        return CountedConnection(self._serve_connection, self._budget, self._limits.max_body_bytes)

    async def _wait_until_closed(self, deadline: float, limit_seconds: float = math.inf) -> None:
        if self._connections:
            left_seconds = max(0.0, deadline - asyncio.get_running_loop().time())
            await asyncio.wait(tuple(self._connections), timeout=min(left_seconds, limit_seconds))

    async def _serve_connection(
        self,
        connection: CountedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        connection.task = task
        self._connections.add(task)
        self._connections_without_request.add(task)
        set_keepalive(writer.get_extra_info("socket"))
        try:
            if not connection.is_refused:
                await self._serve_requests(connection, writer, task)
        except TimeoutError:
            writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass
        except Exception as error:
            # Such as a response that is no valid HTTP; other connections are not affected.
            logging.warning("connection failed: %s", repr(error)[:MAX_LOGGED_CHARACTERS])
        try:
            if connection.is_refused and connection.is_request_started:
                await send_refusal(
                    connection, writer, h11.Connection(h11.SERVER), make_overload_refusal()
                )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(task)
            self._idle.discard(task)
            self._connections_without_request.discard(task)
            writer.close()

    async def _serve_requests(
        self, connection: CountedConnection, writer: asyncio.StreamWriter, task: asyncio.Task[None]
    ) -> None:
        state = h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.max_head_bytes)
        while True:
            try:
                request = await self._receive_request(connection, writer, state, task)
            except (h11.RemoteProtocolError, MessageTooLarge, MalformedMessage) as error:
                refusal = error
                break
            if request is None:
                return
            connection.is_request_started = False
            connection.is_handling = True
            self._budget.end_wait(connection.holder)
            response = await self._run_handler(request, connection, state, task)
            await self._send_response(connection, writer, state, request, response)
            if self._closing or state.our_state is not h11.DONE:
                return
            state.start_next_cycle()
            connection.is_handling = False
            connection.hold_only(len(state.trailing_data[0]))
            self._budget.start_wait(connection.holder)
        connection.is_request_started = False
        await send_refusal(connection, writer, state, make_refusal(refusal))

    async def _run_handler(
        self,
        request: HttpRequest,
        connection: CountedConnection,
        state: h11.Connection,
        task: asyncio.Task[None],
    ) -> HttpResponse:
        """Return the handler's response; the handler is cancelled if the caller disconnects.

        An `OSError` raised by the handler closes the connection without a response.
        """
        watches: list[asyncio.Task[None]] = []

        def start_disconnect_watch() -> None:
            watch = asyncio.ensure_future(self._wait_for_disconnect(connection, state))
            watch.add_done_callback(lambda done: None if done.cancelled() else task.cancel())
            watches.append(watch)

        # Most handlers finish before this delay, which saves the cost of the watch task.
        watch_timer = asyncio.get_running_loop().call_later(
            DISCONNECT_WATCH_DELAY_SECONDS, start_disconnect_watch
        )
        try:
            return await self._handler(request)
        except OSError:
            raise
        except Exception as error:
            # The handler itself answers the errors it expects. After any other error it is unknown
            # here whether the request had an effect.
            message = f"internal failure: {type(error).__name__}"
            logging.warning("%s %s", message, repr(error)[:MAX_LOGGED_CHARACTERS])
            return json_response(
                500, {"error": "internal", "message": message, "outcome": "unknown"}
            )
        finally:
            watch_timer.cancel()
            for watch in watches:
                watch.cancel()
                await asyncio.gather(watch, return_exceptions=True)

    async def _wait_for_disconnect(
        self, connection: CountedConnection, state: h11.Connection
    ) -> None:
        # Bytes of a pipelined next request are buffered for it. Beyond the limit on a request head,
        # reading stops and further bytes stay in the kernel's buffer.
        pending_bytes = len(state.trailing_data[0])
        while True:
            if pending_bytes > self._limits.max_head_bytes:
                await asyncio.Event().wait()
            data = await connection.read()
            if not data:
                return
            pending_bytes += len(data)
            state.receive_data(data)

    async def _receive_request(
        self,
        connection: CountedConnection,
        writer: asyncio.StreamWriter,
        state: h11.Connection,
        task: asyncio.Task[None],
    ) -> HttpRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        pieces = PieceCount()
        wait_seconds = self._limits.idle_timeout_seconds
        started = state.trailing_data[0] != b""
        connection.is_request_started |= started
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + (self._limits.receive_timeout_seconds if started else wait_seconds)
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                if state.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(status_code=100, headers=[])
                    writer.write(state.send(continue_response) or b"")
                if not started:
                    self._idle.add(task)
                try:
                    async with asyncio.timeout_at(deadline):
                        data = await connection.read()
                finally:
                    self._idle.discard(task)
                if not started and data:
                    started = True
                    self._budget.start_wait(connection.holder)
                    self._connections_without_request.discard(task)
                    started_at = loop.time()
                    deadline = started_at + self._limits.receive_timeout_seconds
                pieces.add_bytes(len(data))
                if pieces.count():
                    deadline = await self._wait_for_turn(deadline, started_at)
                state.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                check_head(event, self._limits)
            elif isinstance(event, h11.Data):
                if pieces.count():
                    deadline = await self._wait_for_turn(deadline, started_at)
                body += event.data
                if len(body) > self._limits.max_body_bytes:
                    raise MessageTooLarge(f"body over {self._limits.max_body_bytes} bytes")
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return HttpRequest(
                    head.method.decode(),
                    head.target.decode("latin-1"),
                    tuple((key.decode(), value.decode("latin-1")) for key, value in head.headers),
                    bytes(body),
                )
            elif isinstance(event, h11.ConnectionClosed):
                return None
            else:
                return None

    async def _wait_for_turn(self, deadline: float, started_at: float) -> float:
        """Wait until more small pieces may be processed; return the deadline, later by that."""
        last = started_at + MAX_DEADLINE_FACTOR * self._limits.receive_timeout_seconds
        async with asyncio.timeout_at(last):
            return min(last, deadline + await self._budget.wait_for_turn())

    async def _send_response(
        self,
        connection: CountedConnection,
        writer: asyncio.StreamWriter,
        state: h11.Connection,
        request: HttpRequest,
        response: HttpResponse,
    ) -> None:
        headers = [
            (key.encode("latin-1"), value.encode("latin-1")) for key, value in response.headers
        ]
        bodiless = request.method == "HEAD" or response.status in STATUSES_WITHOUT_BODY
        if not bodiless:
            headers.append((b"content-length", str(len(response.body)).encode()))
        if self._closing:
            headers.append((b"connection", b"close"))
        data = state.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if response.body and not bodiless:
            data += state.send(h11.Data(data=response.body)) or b""
        data += state.send(h11.EndOfMessage()) or b""
        writer.write(data)
        unsent_bytes = writer.transport.get_write_buffer_size()
        if unsent_bytes:
            self._budget.start_wait(connection.holder)
            connection.hold_only(unsent_bytes)
            async with asyncio.timeout(self._limits.send_timeout_seconds):
                await writer.drain()


def _cancel_all(tasks: set[asyncio.Task[None]]) -> None:
    for task in tuple(tasks):
        task.cancel()


async def serve_http(
    handler: Handler,
    address: str,
    port: int,
    *,
    limits: HttpLimits | None = None,
    tls: ssl.SSLContext | None = None,
    budget: ConnectionBudget | None = None,
) -> HttpServer:
    """Start and return a server on `address` and `port`; port 0 selects a free port.

    Servers that are given the same `budget` share it; otherwise the server has one of its own.
    """
    limits = limits or HttpLimits()
    if budget is None:
        held_bytes = max(SharedLimits().max_held_bytes, 2 * limits.max_body_bytes)
        budget = create_budget(SharedLimits(limits.max_connections, held_bytes))
    server = HttpServer(handler, limits, budget)
    await server.start(address, port, tls)
    return server

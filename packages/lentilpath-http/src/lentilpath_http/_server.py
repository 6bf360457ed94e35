"""A server that hands each whole request to one handler."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Awaitable, Callable

import h11

from lentilpath_http._messages import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    MalformedMessage,
    MessageTooLarge,
    json_response,
)

READ_CHUNK_BYTES = 65_536

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer:
    """A listening server. Closing it lets each request in progress get its answer."""

    def __init__(self, handler: Handler, limits: HttpLimits) -> None:
        self._handler = handler
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._idle: set[asyncio.Task[None]] = set()
        self._closing = False

    async def start(self, address: str, port: int, tls: ssl.SSLContext | None) -> None:
        """Listen on `address` and `port`."""
        self._server = await asyncio.start_server(
            self._serve_connection, address, port, ssl=tls, backlog=1024
        )

    def get_port(self) -> int:
        """Return the port that the server listens on."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def close(self, grace_seconds: float) -> None:
        """Stop listening, finish requests in progress for at most `grace_seconds`, then close."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        for task in tuple(self._idle):
            task.cancel()
        if self._connections:
            await asyncio.wait(tuple(self._connections), timeout=grace_seconds)
        for task in tuple(self._connections):
            task.cancel()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._serve_requests(reader, writer, task)
        except (OSError, asyncio.CancelledError, TimeoutError):
            pass
        finally:
            self._connections.discard(task)
            self._idle.discard(task)
            writer.close()

    async def _serve_requests(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        task: asyncio.Task[None],
    ) -> None:
        state = h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.head_bytes)
        while True:
            try:
                request = await self._receive_request(reader, writer, state, task)
            except (h11.RemoteProtocolError, MessageTooLarge, MalformedMessage) as error:
                await self._refuse(writer, state, error)
                return
            if request is None:
                return
            response = await self._handler(request)
            await self._send_response(writer, state, response)
            if self._closing or state.our_state is not h11.DONE:
                return
            state.start_next_cycle()

    async def _receive_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        state: h11.Connection,
        task: asyncio.Task[None],
    ) -> HttpRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        wait_seconds = self._limits.idle_seconds
        started = state.trailing_data[0] != b""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + (self._limits.receive_seconds if started else wait_seconds)
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                if state.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    writer.write(state.send(go_on) or b"")
                if not started:
                    self._idle.add(task)
                try:
                    async with asyncio.timeout_at(deadline):
                        data = await reader.read(READ_CHUNK_BYTES)
                finally:
                    self._idle.discard(task)
                if not started and data:
                    started = True
                    deadline = loop.time() + self._limits.receive_seconds
                state.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                if len(event.headers) > self._limits.header_count:
                    raise MessageTooLarge(f"more than {self._limits.header_count} headers")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.body_bytes:
                    raise MessageTooLarge(f"body over {self._limits.body_bytes} bytes")
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

    async def _send_response(
        self, writer: asyncio.StreamWriter, state: h11.Connection, response: HttpResponse
    ) -> None:
        headers = list(response.headers)
        headers.append(("content-length", str(len(response.body))))
        if self._closing:
            headers.append(("connection", "close"))
        data = state.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if response.body:
            data += state.send(h11.Data(data=response.body)) or b""
        data += state.send(h11.EndOfMessage()) or b""
        writer.write(data)
        await writer.drain()

    async def _refuse(
        self, writer: asyncio.StreamWriter, state: h11.Connection, error: Exception
    ) -> None:
        status = 400
        code = "malformed-request"
        if isinstance(error, MessageTooLarge):
            status = 413
            code = "request-too-large"
        elif isinstance(error, h11.RemoteProtocolError):
            status = error.error_status_hint
        response = json_response(status, {"error": code, "message": str(error)})
        with contextlib.suppress(h11.LocalProtocolError):
            headers = [*response.headers, ("content-length", str(len(response.body)))]
            headers.append(("connection", "close"))
            data = state.send(h11.Response(status_code=status, headers=headers)) or b""
            data += state.send(h11.Data(data=response.body)) or b""
            data += state.send(h11.EndOfMessage()) or b""
            writer.write(data)
            await writer.drain()


async def serve_http(
    handler: Handler,
    address: str,
    port: int,
    *,
    limits: HttpLimits | None = None,
    tls: ssl.SSLContext | None = None,
) -> HttpServer:
    """Start a server on `address` and `port` (0 for a free port) and return it."""
    server = HttpServer(handler, limits or HttpLimits())
    await server.start(address, port, tls)
    return server

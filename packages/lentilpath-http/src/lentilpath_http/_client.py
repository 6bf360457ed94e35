"""A client of one HTTP server, which keeps idle connections open for the next request."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import h11

from lentilpath_http._messages import (
    HttpRequest,
    HttpResponse,
    MalformedMessage,
    MessageTooLarge,
    RequestNotSent,
    ResponseLost,
)

READ_CHUNK_BYTES = 65_536
MAX_IDLE_CONNECTIONS = 8


@dataclass(slots=True, eq=False)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    state: h11.Connection


class HttpClient:
    """Sends requests to one address.

    A request is sent at most once: a connection that fails under a request is never replaced
    behind the caller's back, because only the caller knows whether the request is idempotent.
    """

    def __init__(
        self, address: str, port: int, max_response_bytes: int, connect_seconds: float
    ) -> None:
        self.address = address
        self.port = port
        self._max_response_bytes = max_response_bytes
        self._connect_seconds = connect_seconds
        self._idle: list[_Connection] = []
        self.bytes_sent = 0
        self.bytes_received = 0

    async def send(self, request: HttpRequest, timeout: float) -> HttpResponse:
        """Send `request` and return the whole response.

        `timeout` is in seconds and covers everything. Raises `RequestNotSent` if nothing was
        sent, and `ResponseLost`, `MalformedMessage` or `MessageTooLarge` if the server may
        have acted on the request.
        """
        try:
            async with asyncio.timeout(timeout):
                connection = await self._take_connection()
        except (TimeoutError, OSError) as error:
            raise RequestNotSent(
                f"no connection to {self.address}:{self.port}: {error!r}"
            ) from error
        completed = False
        try:
            async with asyncio.timeout(timeout):
                response = await self._exchange(connection, request)
            completed = True
        except TimeoutError as error:
            raise ResponseLost(
                f"no answer from {self.address}:{self.port} within {timeout} s"
            ) from error
        except OSError as error:
            raise ResponseLost(f"{self.address}:{self.port} broke off: {error!r}") from error
        except h11.RemoteProtocolError as error:
            raise MalformedMessage(f"{self.address}:{self.port}: {error}") from error
        finally:
            self._give_back(connection, completed)
        return response

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.writer.close()
        self._idle.clear()

    async def _take_connection(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            # A server that closed an idle connection has left an end-of-file behind; sending on
            # such a connection would turn a request that never ran into one of unknown outcome.
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            connection.writer.close()
        async with asyncio.timeout(self._connect_seconds):
            reader, writer = await asyncio.open_connection(self.address, self.port)
        return _Connection(reader, writer, h11.Connection(h11.CLIENT))

    def _give_back(self, connection: _Connection, completed: bool) -> None:
        reusable = (
            completed
            and connection.state.our_state is h11.DONE
            and connection.state.their_state is h11.DONE
            and len(self._idle) < MAX_IDLE_CONNECTIONS
        )
        if not reusable:
            connection.writer.close()
            return
        connection.state.start_next_cycle()
        self._idle.append(connection)

    async def _exchange(self, connection: _Connection, request: HttpRequest) -> HttpResponse:
        headers = [("host", f"{self.address}:{self.port}"), *request.headers]
        headers.append(("content-length", str(len(request.body))))
        state = connection.state
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        data = state.send(head) or b""
        if request.body:
            data += state.send(h11.Data(data=request.body)) or b""
        data += state.send(h11.EndOfMessage()) or b""
        connection.writer.write(data)
        self.bytes_sent += len(data)
        await connection.writer.drain()
        return await self._receive(connection)

    async def _receive(self, connection: _Connection) -> HttpResponse:
        status = 0
        headers: tuple[tuple[str, str], ...] = ()
        body = bytearray()
        while True:
            event = connection.state.next_event()
            if event is h11.NEED_DATA:
                data = await connection.reader.read(READ_CHUNK_BYTES)
                self.bytes_received += len(data)
                connection.state.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = tuple(
                    (key.decode(), value.decode("latin-1")) for key, value in event.headers
                )
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._max_response_bytes:
                    raise MessageTooLarge(
                        f"response of {self.address}:{self.port} is over "
                        f"{self._max_response_bytes} bytes"
                    )
            elif isinstance(event, h11.EndOfMessage):
                return HttpResponse(status, headers, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise ResponseLost(f"{self.address}:{self.port} closed before its answer")


def create_client(
    address: str,
    port: int,
    *,
    max_response_bytes: int = 16_777_216,
    connect_seconds: float = 1.0,
) -> HttpClient:
    """Return a client of the server at `address` and `port`; it connects at the first request."""
    return HttpClient(address, port, max_response_bytes, connect_seconds)

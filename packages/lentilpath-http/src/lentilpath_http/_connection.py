"""One client connection, which carries one exchange at a time and never an answer of another."""

from __future__ import annotations

import asyncio
import socket
import ssl

import h11

from lentilpath_http._messages import (
    HttpError,
    HttpRequest,
    HttpResponse,
    MalformedMessage,
    MessageTooLarge,
    RequestNotSent,
    ResponseLost,
)

MAX_HEAD_BYTES = 32_768
MAX_INFORMATIONAL_RESPONSES = 8
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 3_000
"""How long the kernel waits for a sent byte to be acknowledged before it ends a connection."""
STATUS_WITHOUT_BODY = frozenset({204, 304})


class ClientConnection(asyncio.Protocol):
    """An open connection to a server.

    Bytes that arrive while no exchange is under way mean that the server and this end disagree on
    where an answer ends, so they end the connection.
    """

    def __init__(self, name: str, max_response_bytes: int) -> None:
        self.name = name
        self.bytes_sent = 0
        self.bytes_received = 0
        self._max_response_bytes = max_response_bytes
        self._state = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[HttpResponse] | None = None
        self._method = ""
        self._reset_answer()

    def _reset_answer(self) -> None:
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._body = bytearray()
        self._informational = 0

    def is_usable(self) -> bool:
        """Return whether the connection can carry an exchange now."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and self._answer is None
            and self._state.our_state is h11.IDLE
        )

    def close(self) -> None:
        """Close the connection; an exchange under way ends as `ResponseLost`."""
        if self._transport is not None:
            self._transport.abort()
        self._fail(ResponseLost(f"the connection to {self.name} was closed"))

    async def exchange(self, request: HttpRequest, timeout: float) -> HttpResponse:
        """Send `request` and return its whole answer; see `HttpClient.send` for errors.

        The connection is closed by every failure and by cancellation, because a late answer on it
        would be taken for the answer to the next request.
        """
        if not self.is_usable():
            raise RequestNotSent(f"the connection to {self.name} is not free")
        answer: asyncio.Future[HttpResponse] = asyncio.get_running_loop().create_future()
        data = self._encode(request)
        self._answer = answer
        self._method = request.method
        self._reset_answer()
        self.bytes_sent += len(data)
        assert self._transport is not None
        self._transport.write(data)
        try:
            async with asyncio.timeout(timeout):
                response = await answer
        except TimeoutError as error:
            raise ResponseLost(f"{self.name} did not answer in time") from error
        finally:
            self._answer = None
            if not self._start_next_cycle():
                self.close()
        return response

    def _start_next_cycle(self) -> bool:
        done = self._state.our_state is h11.DONE and self._state.their_state is h11.DONE
        if done:
            self._state.start_next_cycle()
        return done

    def _encode(self, request: HttpRequest) -> bytes:
        headers = [
            (key.encode("latin-1"), value.encode("latin-1"))
            for key, value in (("host", self.name), *request.headers)
            if key != "content-length"
        ]
        headers.append((b"content-length", str(len(request.body)).encode()))
        try:
            head = h11.Request(
                method=request.method, target=request.target.encode("latin-1"), headers=headers
            )
            data = self._state.send(head) or b""
            if request.body:
                data += self._state.send(h11.Data(data=request.body)) or b""
            data += self._state.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            self.close()
            raise RequestNotSent(f"request to {self.name} is malformed: {error}") from error
        return data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        connection = transport.get_extra_info("socket")
        if connection is not None:
            set_keepalive(connection)

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer; called by asyncio."""
        self.bytes_received += len(data)
        if self._answer is None or self._answer.done():
            self.close()
            return
        self._state.receive_data(data)
        self._take_events()

    def eof_received(self) -> None:
        """Take the end of the server's bytes; called by asyncio."""
        if self._answer is not None:
            self._state.receive_data(b"")
            self._take_events()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange under way; called by asyncio."""
        self._fail(ResponseLost(f"the connection to {self.name} broke off: {exc!r}"))

    def _fail(self, error: HttpError) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)

    def _take_events(self) -> None:
        try:
            while self._take_event():
                pass
        except h11.RemoteProtocolError as error:
            self._fail(MalformedMessage(f"{self.name}: {error}"))
        except HttpError as error:
            self._fail(error)

    def _take_event(self) -> bool:
        event = self._state.next_event()
        if isinstance(event, h11.Response):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._max_response_bytes:
                raise MessageTooLarge(f"answer of {self.name} is over {self._max_response_bytes}")
        elif isinstance(event, h11.EndOfMessage):
            self._finish()
            return False
        elif isinstance(event, h11.InformationalResponse):
            self._informational += 1
            if self._informational > MAX_INFORMATIONAL_RESPONSES:
                raise MalformedMessage(f"{self.name} sends no final answer")
        elif isinstance(event, h11.ConnectionClosed):
            raise ResponseLost(f"{self.name} closed before its answer")
        else:
            return False
        return True

    def _take_head(self, event: h11.Response) -> None:
        self._status = event.status_code
        self._headers = tuple(
            (key.decode("latin-1"), value.decode("latin-1")) for key, value in event.headers
        )
        names = {key for key, _ in self._headers}
        declared = "content-length" in names or "transfer-encoding" in names
        bodiless = self._method == "HEAD" or self._status in STATUS_WITHOUT_BODY
        # An answer that ends with its connection cannot be told from one that was cut.
        if not declared and not bodiless:
            raise MalformedMessage(f"{self.name} answered without declaring a length")

    def _finish(self) -> None:
        if self._state.trailing_data[0]:
            raise MalformedMessage(f"{self.name} sent more than its answer declared")
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(HttpResponse(self._status, self._headers, bytes(self._body)))


def set_keepalive(connection: socket.socket) -> None:
    """Let the kernel end a connection whose other end has vanished without a word."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


async def open_connection(
    address: str,
    port: int,
    *,
    max_response_bytes: int = 16_777_216,
    connect_seconds: float = 1.0,
    tls: ssl.SSLContext | None = None,
) -> ClientConnection:
    """Return a new connection; raises `RequestNotSent` if there is none in `connect_seconds`."""
    name = f"{address}:{port}"
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(connect_seconds):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(name, max_response_bytes), address, port, ssl=tls
            )
    except (TimeoutError, OSError) as error:
        raise RequestNotSent(f"no connection to {name}: {error!r}") from error
    return connection

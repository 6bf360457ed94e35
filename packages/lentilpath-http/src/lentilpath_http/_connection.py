"""A client connection that carries one request and response at a time, without pipelining."""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable

import h11

from lentilpath_http._messages import (
    HttpError,
    HttpRequest,
    HttpResponse,
    MalformedMessage,
    MessageTooLarge,
    RequestNotSent,
    ResponseLost,
    TransferBounds,
)

MAX_HEAD_BYTES = 32_768
MAX_INFORMATIONAL_RESPONSES = 8
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 3_000
"""Time that sent data may stay unacknowledged before the kernel closes the connection."""
FIRST_REDIRECTION_STATUS = 300
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class ClientConnection(asyncio.Protocol):
    """An open connection to a server.

    Bytes that arrive while no exchange is in progress close the connection: they show that client
    and server disagree about where a response ends.
    """

    def __init__(self, name: str, max_response_bytes: int) -> None:
        self.name = name
        self.bytes_sent = 0
        self.bytes_received = 0
        self._max_response_bytes = max_response_bytes
        self._state = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[HttpResponse] | None = None
        self._timeout: asyncio.Timeout | None = None
        self._transfer: TransferBounds | None = None
        self._report_progress: Callable[[], None] = lambda: None
        self._method = ""
        self._reset_response()

    def _reset_response(self) -> None:
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._body = bytearray()
        self._began_at: float | None = None
        """Loop time of the response's first byte."""
        self._informational_responses = 0

    def is_usable(self) -> bool:
        """Return whether the connection is open and idle."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and self._response is None
            and self._state.our_state is h11.IDLE
        )

    def close(self) -> None:
        """Close the connection; an exchange in progress fails with `ResponseLost`."""
        if self._transport is not None:
            self._transport.abort()
        self._fail(ResponseLost(f"the connection to {self.name} was closed"))

    async def exchange(
        self,
        request: HttpRequest,
        timeout: float,
        transfer: TransferBounds | None = None,
        report_progress: Callable[[], None] = lambda: None,
    ) -> HttpResponse:
        """Send `request` and return its complete response; see `HttpClient.send`.

        Any failure or cancellation closes the connection, because a late response would otherwise
        be matched to the next request.
        """
        if not self.is_usable():
            raise RequestNotSent(f"the connection to {self.name} is not free")
        future: asyncio.Future[HttpResponse] = asyncio.get_running_loop().create_future()
        data = self._encode(request)
        self._response = future
        self._method = request.method
        self._transfer = transfer
        self._report_progress = report_progress
        self._reset_response()
        received = self.bytes_received
        self.bytes_sent += len(data)
        assert self._transport is not None
        self._transport.write(data)
        try:
            async with asyncio.timeout(timeout) as self._timeout:
                response = await future
        except TimeoutError as error:
            if future.done() and not future.cancelled() and future.exception() is None:
                # The loop was late: the response is complete, and its timer was due as well.
                return future.result()
            arrived = self.bytes_received - received
            raise ResponseLost(
                f"{self.name} did not answer in time; {arrived} bytes of the answer arrived"
            ) from error
        finally:
            self._response = None
            self._timeout = None
            if not self._start_next_cycle():
                self.close()
        return response

    def _start_next_cycle(self) -> bool:
        done = self._state.our_state is h11.DONE and self._state.their_state is h11.DONE
        if done:
            self._state.start_next_cycle()
        return done

    def _encode(self, request: HttpRequest) -> bytes:
        try:
            headers = [
                (key.encode("latin-1"), value.encode("latin-1"))
                for key, value in (("host", self.name), *request.headers)
                if key != "content-length"
            ]
            headers.append((b"content-length", str(len(request.body)).encode()))
            head = h11.Request(
                method=request.method, target=request.target.encode("latin-1"), headers=headers
            )
            data = self._state.send(head) or b""
            if request.body:
                data += self._state.send(h11.Data(data=request.body)) or b""
            data += self._state.send(h11.EndOfMessage()) or b""
        except (h11.LocalProtocolError, UnicodeError) as error:
            self.close()
            raise RequestNotSent(f"request to {self.name} is malformed: {error}") from error
        return data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keepalive; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        connection = transport.get_extra_info("socket")
        if connection is not None:
            set_keepalive(connection)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of the response; called by asyncio."""
        self.bytes_received += len(data)
        if self._response is None or self._response.done():
            self.close()
            return
        self._extend_timeout()
        self._state.receive_data(data)
        self._process_events()

    def _extend_timeout(self) -> None:
        """Postpone the timeout of a transfer, of which some bytes have arrived."""
        if self._transfer is None or self._timeout is None or self._timeout.expired():
            return
        now = asyncio.get_running_loop().time()
        if self._began_at is None:
            self._began_at = now
        ends_at = self._began_at + self._transfer.total_seconds
        self._timeout.reschedule(min(now + self._transfer.silence_seconds, ends_at))

    def eof_received(self) -> None:
        """Process the end of the server's stream; called by asyncio."""
        if self._response is None:
            return
        has_answer_begun = self._state.their_state is not h11.SEND_RESPONSE
        if not has_answer_begun and not self._state.trailing_data[0]:
            self._fail(ResponseLost(f"{self.name} closed the connection before its answer"))
            return
        self._state.receive_data(b"")
        self._process_events()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress; called by asyncio."""
        self._fail(ResponseLost(f"the connection to {self.name} broke off: {exc!r}"))

    def _fail(self, error: HttpError) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)

    def _process_events(self) -> None:
        try:
            while self._process_event():
                pass
        except h11.RemoteProtocolError as error:
            self._fail(MalformedMessage(f"{self.name}: {error}"))
        except HttpError as error:
            self._fail(error)

    def _process_event(self) -> bool:
        event = self._state.next_event()
        if isinstance(event, h11.Response):
            self._process_head(event)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if self._status < FIRST_REDIRECTION_STATUS:
                self._report_progress()
            if len(self._body) > self._max_response_bytes:
                raise MessageTooLarge(f"answer of {self.name} is over {self._max_response_bytes}")
        elif isinstance(event, h11.EndOfMessage):
            self._finish_response()
            return False
        elif isinstance(event, h11.InformationalResponse):
            self._informational_responses += 1
            if self._informational_responses > MAX_INFORMATIONAL_RESPONSES:
                raise MalformedMessage(f"{self.name} sends no final answer")
        elif isinstance(event, h11.ConnectionClosed):
            raise ResponseLost(f"{self.name} closed before its answer")
        else:
            return False
        return True

    def _process_head(self, event: h11.Response) -> None:
        self._status = event.status_code
        self._headers = tuple(
            (key.decode("latin-1"), value.decode("latin-1")) for key, value in event.headers
        )
        names = {key for key, _ in self._headers}
        declared = "content-length" in names or "transfer-encoding" in names
        bodiless = self._method == "HEAD" or self._status in STATUSES_WITHOUT_BODY
        # A response delimited by the end of the connection cannot be told from a truncated one.
        if not declared and not bodiless:
            raise MalformedMessage(f"{self.name} answered without declaring a length")

    def _finish_response(self) -> None:
        if self._state.trailing_data[0]:
            raise MalformedMessage(f"{self.name} sent more than its answer declared")
        if self._response is not None and not self._response.done():
            self._response.set_result(HttpResponse(self._status, self._headers, bytes(self._body)))


def set_keepalive(connection: socket.socket) -> None:
    """Enable TCP keepalive and a user timeout, so that the kernel closes dead connections."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


async def open_connection(
    address: str,
    port: int,
    *,
    max_response_bytes: int = 16_777_216,
    connect_timeout_seconds: float = 1.0,
    tls: ssl.SSLContext | None = None,
) -> ClientConnection:
    """Return a new connection.

    Raises `RequestNotSent` if it fails or exceeds `connect_timeout_seconds`.
    """
    name = f"{address}:{port}"
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(connect_timeout_seconds):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(name, max_response_bytes), address, port, ssl=tls
            )
    except (TimeoutError, OSError, OverflowError, ValueError) as error:
        # The last two: a port over 65,535, or a name that is no host's name.
        raise RequestNotSent(f"no connection to {name}: {error!r}") from error
    return connection

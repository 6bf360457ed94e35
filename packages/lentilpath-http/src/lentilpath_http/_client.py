"""An HTTP client of one server, with a pool of idle connections."""

from __future__ import annotations

import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass

from lentilpath_http._connection import ClientConnection, open_connection
from lentilpath_http._messages import (
    HttpError,
    HttpRequest,
    HttpResponse,
    RequestNotSent,
    TransferBounds,
)

MAX_IDLE_CONNECTIONS = 8
MAX_RECENT_CONNECTIONS = 64
"""Idle connections that are kept while many requests follow one another."""
RECENT_SECONDS = 2.0
"""Connections beyond `MAX_IDLE_CONNECTIONS` are kept this long after their last request. Several
requests may end at the same moment, before the next ones are sent."""


@dataclass(frozen=True, slots=True)
class Identification:
    """How a client finds out whether the right server is at the other end of a connection."""

    request: HttpRequest
    """Has no effect at any server."""
    find_mismatch: Callable[[HttpResponse], Exception | None]
    """Returns why the server that answered is not the right one; `None` if it is."""
    transfer: TransferBounds | None = None
    """Bounds the time of the response; see `HttpClient.send`."""


def read_seconds() -> float:
    """Return the time of a clock that also counts while the machine is suspended, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HttpClient:
    """Sends requests to one address.

    A request is sent at most once: it is never retried on another connection after a failure,
    because only the caller knows whether the request is idempotent.
    """

    def __init__(
        self,
        address: str,
        port: int,
        max_response_bytes: int,
        connect_timeout_seconds: float,
        tls: ssl.SSLContext | None = None,
        identification: Identification | None = None,
    ) -> None:
        self.address = address
        self.port = port
        self._max_response_bytes = max_response_bytes
        self._connect_timeout_seconds = connect_timeout_seconds
        self._tls = tls
        self._identification = identification
        self._idle: list[tuple[ClientConnection, float]] = []
        """Idle connections, each with the time of its last response; the last one used at the end.
        """
        self.bytes_sent = 0
        self.bytes_received = 0

    def set_address(self, address: str, port: int) -> None:
        """Send further requests to another address; requests in progress are not affected."""
        if (address, port) == (self.address, self.port):
            return
        self.address = address
        self.port = port
        self.close()

    async def send(
        self,
        request: HttpRequest,
        timeout: float,
        transfer: TransferBounds | None = None,
        report_progress: Callable[[], None] = lambda: None,
        is_identifying: bool = False,
    ) -> HttpResponse:
        """Send `request` and return the complete response.

        `timeout` is in seconds and includes the time to connect. It ends with the last byte of the
        response, or, where `transfer` bounds the rest, with the first one. `report_progress` is
        called whenever a part of the body of a successful response has arrived. With
        `is_identifying` the request may reach any server, and its response identifies it. Raises
        `RequestNotSent` if nothing was sent, `ResponseLost`, `MalformedMessage` or
        `MessageTooLarge` if the server may have acted on the request, and what the client's
        identification says of another server.
        """
        deadline = read_seconds() + timeout
        peer = (self.address, self.port)
        connection = await self._acquire_connection(deadline, is_identifying)
        left_seconds = deadline - read_seconds()
        if left_seconds <= 0:
            # The process was paused while it connected, so the sender's reason may be out of date.
            self._keep(connection, peer, not is_identifying)
            raise RequestNotSent(f"no time was left after connecting to {self.address}")
        response = await self._exchange(
            connection, request, left_seconds, transfer, report_progress
        )
        self._keep(connection, peer, not is_identifying or self._find_mismatch(response) is None)
        return response

    async def _exchange(
        self,
        connection: ClientConnection,
        request: HttpRequest,
        timeout: float,
        transfer: TransferBounds | None,
        report_progress: Callable[[], None] = lambda: None,
    ) -> HttpResponse:
        sent = connection.bytes_sent
        received = connection.bytes_received
        try:
            return await connection.exchange(request, timeout, transfer, report_progress)
        except HttpError:
            # The fault that broke this connection has often broken the idle connections too. A
            # request sent on one of them would wait for its full timeout.
            self.close()
            raise
        finally:
            self.bytes_sent += connection.bytes_sent - sent
            self.bytes_received += connection.bytes_received - received

    def _keep(self, connection: ClientConnection, peer: tuple[str, int], is_right: bool) -> None:
        """Keep a connection for further requests, or close it."""
        now = read_seconds()
        has_room = peer == (self.address, self.port) and len(self._idle) < MAX_RECENT_CONNECTIONS
        if is_right and has_room and connection.is_usable():
            self._idle.append((connection, now))
        else:
            connection.close()
        while len(self._idle) > MAX_IDLE_CONNECTIONS and now >= self._idle[0][1] + RECENT_SECONDS:
            self._idle.pop(0)[0].close()

    def close(self) -> None:
        """Close all idle connections."""
        for connection, _ in self._idle:
            connection.close()
        self._idle.clear()

    async def _acquire_connection(self, deadline: float, is_identifying: bool) -> ClientConnection:
        while self._idle:
            connection, _ = self._idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        connection = await open_connection(
            self.address,
            self.port,
            max_response_bytes=self._max_response_bytes,
            connect_timeout_seconds=min(deadline - read_seconds(), self._connect_timeout_seconds),
            tls=self._tls,
        )
        if not is_identifying:
            await self._identify(connection, deadline - read_seconds())
        return connection

    async def _identify(self, connection: ClientConnection, timeout: float) -> None:
        """Raise an error, and close the connection, unless the right server has answered on it."""
        identification = self._identification
        if identification is None:
            return
        try:
            response = await self._exchange(
                connection, identification.request, timeout, identification.transfer
            )
            mismatch = self._find_mismatch(response)
            if mismatch is not None:
                raise mismatch
        except HttpError as error:
            connection.close()
            raise RequestNotSent(f"the server was not identified: {error}") from error
        except BaseException:
            connection.close()
            raise

    def _find_mismatch(self, response: HttpResponse) -> Exception | None:
        if self._identification is None:
            return None
        return self._identification.find_mismatch(response)


def create_client(
    address: str,
    port: int,
    *,
    max_response_bytes: int = 16_777_216,
    connect_timeout_seconds: float = 1.0,
    tls: ssl.SSLContext | None = None,
    identification: Identification | None = None,
) -> HttpClient:
    """Return a client of the server at `address` and `port`; it connects on the first request.

    With an `identification` no request is sent on a connection before the server at its other end
    has been identified.
    """
    return HttpClient(
        address, port, max_response_bytes, connect_timeout_seconds, tls, identification
    )

"""An HTTP client of one server, with a pool of idle connections."""

from __future__ import annotations

import ssl
import time
from collections.abc import Callable

from lentilpath_http._connection import ClientConnection, open_connection
from lentilpath_http._messages import (
    HttpError,
    HttpRequest,
    HttpResponse,
    RequestNotSent,
    TransferBounds,
)

MAX_IDLE_CONNECTIONS = 8


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
    ) -> None:
        self.address = address
        self.port = port
        self._max_response_bytes = max_response_bytes
        self._connect_timeout_seconds = connect_timeout_seconds
        self._tls = tls
        self._idle: list[ClientConnection] = []
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
    ) -> HttpResponse:
        """Send `request` and return the complete response.

        `timeout` is in seconds and includes the time to connect. It ends with the last byte of the
        response, or, where `transfer` bounds the rest, with the first one. `report_progress` is
        called whenever a part of the body of a successful response has arrived. Raises
        `RequestNotSent` if nothing was sent, and `ResponseLost`, `MalformedMessage` or
        `MessageTooLarge` if the server may have acted on the request.
        """
        deadline = read_seconds() + timeout
        peer = (self.address, self.port)
        connection = await self._acquire_connection(timeout)
        left_seconds = deadline - read_seconds()
        if left_seconds <= 0:
            # The process was paused while it connected, so the sender's reason may be out of date.
            connection.close()
            raise RequestNotSent(f"no time was left after connecting to {self.address}")
        sent = connection.bytes_sent
        received = connection.bytes_received
        try:
            response = await connection.exchange(request, left_seconds, transfer, report_progress)
        except HttpError:
            # The fault that broke this connection has often broken the idle connections too. A
            # request sent on one of them would wait for its full timeout.
            self.close()
            raise
        finally:
            self.bytes_sent += connection.bytes_sent - sent
            self.bytes_received += connection.bytes_received - received
        may_reuse = peer == (self.address, self.port) and len(self._idle) < MAX_IDLE_CONNECTIONS
        if may_reuse and connection.is_usable():
            self._idle.append(connection)
        else:
            connection.close()
        return response

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _acquire_connection(self, timeout: float) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return await open_connection(
            self.address,
            self.port,
            max_response_bytes=self._max_response_bytes,
            connect_timeout_seconds=min(timeout, self._connect_timeout_seconds),
            tls=self._tls,
        )


def create_client(
    address: str,
    port: int,
    *,
    max_response_bytes: int = 16_777_216,
    connect_timeout_seconds: float = 1.0,
    tls: ssl.SSLContext | None = None,
) -> HttpClient:
    """Return a client of the server at `address` and `port`; it connects on the first request."""
    return HttpClient(address, port, max_response_bytes, connect_timeout_seconds, tls)

"""Connections to runners of services over HTTP, with one request at a time on each.

A runner refuses a request before running it by status 503 with the header `x-outcome: not-run`,
and adds `x-leaving: 1` if it is leaving. `OPTIONS *` uses no slot and shows whether a connection
is alive. A runner may echo `x-request-id`; an id other than the one sent shows that the answer
belongs to another request.
"""

from __future__ import annotations

from lentilpath_core.errors import LentilpathError, OutcomeUnknown
from lentilpath_core.ids import Instant
from lentilpath_core.requests.messages import CallerRequest, ServiceAnswer
from lentilpath_core.settings import Address
from lentilpath_http import (
    ClientConnection,
    HttpError,
    HttpRequest,
    MalformedMessage,
    MessageTooLarge,
    RequestNotSent,
    open_connection,
)

HTTP_UNAVAILABLE = 503
MS_PER_SECOND = 1_000
MAX_ANSWER_BYTES = 4_194_304
PROBE_REQUEST = HttpRequest("OPTIONS", "*")


class RunnerRefused(LentilpathError):
    """The request did not run: the runner refused it, or it was never sent."""

    code = "runner-refused"

    def __init__(self, message: str, *, reached: bool, leaving: bool = False) -> None:
        super().__init__(message)
        self.reached = reached
        """Whether the request reached the runner and the runner refused it."""
        self.leaving = leaving


class MalformedAnswer(OutcomeUnknown):
    """The runner's answer was truncated, longer than declared, too large or to another request."""

    code = "answer-not-whole"


class RunnerConnection:
    """One HTTP connection to a runner."""

    def __init__(self, connection: ClientConnection, now: Instant) -> None:
        self._connection = connection
        self.verified_at = now
        """When the connection was opened or last delivered a complete answer."""

    @property
    def bytes_transferred(self) -> int:
        """Bytes sent and received so far."""
        return self._connection.bytes_sent + self._connection.bytes_received

    def is_usable(self) -> bool:
        """Return whether the connection can carry a request now."""
        return self._connection.is_usable()

    async def send(
        self, request: CallerRequest, remaining_ms: int, timeout: float
    ) -> ServiceAnswer:
        """Send `request` and return its complete answer.

        `timeout` is in seconds; `remaining_ms` is the time until the caller's deadline. Raises
        `RunnerRefused` if the request did not run, and `OutcomeUnknown` if it may have run.
        """
        headers = (
            *request.headers,
            ("x-request-id", request.request_id),
            ("x-customer", request.customer),
            ("x-priority", request.priority.value),
            ("x-deadline-ms", str(max(1, remaining_ms))),
        )
        message = HttpRequest(request.method, request.target, headers, request.body)
        try:
            response = await self._connection.exchange(message, timeout)
        except RequestNotSent as error:
            raise RunnerRefused(str(error), reached=False) from error
        except (MalformedMessage, MessageTooLarge) as error:
            raise MalformedAnswer(str(error)) from error
        except HttpError as error:
            raise OutcomeUnknown(str(error)) from error
        echoed = response.get_header("x-request-id")
        if echoed is not None and echoed != request.request_id:
            self.close()
            raise MalformedAnswer(f"{self._connection.name} answered request {echoed[:80]!r}")
        not_run = response.get_header("x-outcome") == "not-run"
        if response.status == HTTP_UNAVAILABLE and not_run:
            leaving = response.get_header("x-leaving") is not None
            raise RunnerRefused(
                f"{self._connection.name} refused the request", reached=True, leaving=leaving
            )
        return ServiceAnswer(response.status, response.headers, response.body)

    async def probe(self, timeout: float) -> bool:
        """Return whether the runner answers on this connection within `timeout` seconds."""
        try:
            await self._connection.exchange(PROBE_REQUEST, timeout)
        except HttpError:
            return False
        return True

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


async def connect_runner(address: Address, timeout: float, now: Instant) -> RunnerConnection:
    """Return a new connection; raises `RunnerRefused` if none is opened in `timeout` seconds."""
    try:
        connection = await open_connection(
            address.host,
            address.port,
            max_response_bytes=MAX_ANSWER_BYTES,
            connect_timeout_seconds=timeout,
        )
    except RequestNotSent as error:
        raise RunnerRefused(str(error), reached=False) from error
    return RunnerConnection(connection, now)

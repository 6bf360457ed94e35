"""Fault injection that is common to all stand-ins."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar
from weakref import WeakSet

import msgspec

from lentilpath_http import HttpRequest, HttpResponse, json_response

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
MS_PER_SECOND = 1_000


class ConnectionDropped(ConnectionError):
    """Makes the server close the connection without a response."""


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Fault switches that all stand-ins have. With the defaults no fault is injected."""

    down: bool = False
    """Respond to each request with status 503."""
    silent: bool = False
    """Read each request and never respond."""
    silence_open: int = 0
    """Increasing it stops responses on all connections that are open now; new ones work."""
    delay_ms: int = 0
    """Delay before each request is handled."""
    lose_answers: int = 0
    """For this many mutating requests, apply the change, then close without a response."""


F = TypeVar("F", bound=Faults)
RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]
Connection = asyncio.Task[Any]
"""The server task that serves one connection; cancelling it closes the connection."""


class FaultInjector(Generic[F]):
    """Sits between a stand-in's HTTP server and its routes and injects the enabled faults."""

    def __init__(
        self, faults: F, route_request: RequestHandler, mutating_paths: frozenset[str]
    ) -> None:
        self.faults = faults
        self._route_request = route_request
        self._mutating_paths = mutating_paths
        self._connections: WeakSet[Connection] = WeakSet()
        self._silenced: WeakSet[Connection] = WeakSet()

    async def handle_request(self, request: HttpRequest, connection: Connection) -> HttpResponse:
        """Route `request` and return the response, with the enabled faults applied.

        Raises `ConnectionDropped` if the response is to be lost.
        """
        self._connections.add(connection)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / MS_PER_SECOND)
        await self._hang_if_silent(connection)
        if self.faults.down:
            return json_response(HTTP_UNAVAILABLE, {"error": "down"})
        response = await self._route_request(request)
        await self._hang_if_silent(connection)
        if self.faults.lose_answers > 0 and request.get_path() in self._mutating_paths:
            self.replace_faults(lose_answers=self.faults.lose_answers - 1)
            raise ConnectionDropped("fault lose_answers: response dropped after the change")
        return response

    def replace_faults(self, **switches: Any) -> None:
        """Set the named switches.

        Raises `msgspec.ValidationError` for an unknown switch or a value of the wrong type.
        """
        merged = {**msgspec.structs.asdict(self.faults), **switches}
        faults = msgspec.convert(merged, type(self.faults))
        if faults.silence_open > self.faults.silence_open:
            self._silenced.update(self._connections)
        self.faults = faults

    def handle_faults_request(self, request: HttpRequest) -> HttpResponse:
        """Set the switches in the body of a `POST /faults` request and return all of them."""
        try:
            self.replace_faults(**msgspec.json.decode(request.body, type=dict[str, Any]))
        except (msgspec.DecodeError, msgspec.ValidationError, TypeError) as error:
            return json_response(HTTP_BAD_REQUEST, {"error": "faults", "message": str(error)})
        return json_response(HTTP_OK, msgspec.to_builtins(self.faults))

    async def _hang_if_silent(self, connection: Connection) -> None:
        if self.faults.silent or connection in self._silenced:
            await hang_until_cancelled()


def create_connection_handler(
    handle_request: Callable[[HttpRequest, Connection], Awaitable[HttpResponse]],
) -> RequestHandler:
    """Return a handler for `serve_http` that calls `handle_request` with the connection.

    The connection is closed without a response if `handle_request` raises `ConnectionDropped`.
    """

    def handle(request: HttpRequest) -> Awaitable[HttpResponse]:
        # The server calls this function in the task of the connection, but awaits the result in
        # another task, so the connection is determined here.
        connection = asyncio.current_task()
        assert connection is not None
        return _handle_or_drop_connection(handle_request, request, connection)

    return handle


async def _handle_or_drop_connection(
    handle_request: Callable[[HttpRequest, Connection], Awaitable[HttpResponse]],
    request: HttpRequest,
    connection: Connection,
) -> HttpResponse:
    try:
        return await handle_request(request, connection)
    except ConnectionDropped:
        connection.cancel()
        await hang_until_cancelled()
        raise


async def hang_until_cancelled() -> None:
    """Wait until the task is cancelled, which happens when the connection ends."""
    await asyncio.Event().wait()

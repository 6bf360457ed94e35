"""Faults that every stand-in can be told to show, and how it shows them."""

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


class BrokenOff(ConnectionError):
    """Ends a connection without an answer."""


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Switches that all stand-ins have; a stand-in without faults has the defaults."""

    down: bool = False
    """Refuse each request with status 503."""
    silent: bool = False
    """Take each request and never answer it."""
    silence_open: int = 0
    """Raise it, and the connections open at that moment go silent; new ones work."""
    delay_ms: int = 0
    """Wait this long before each request is looked at."""
    lose_answers: int = 0
    """Carry out this many changes, then close the connection without an answer."""


F = TypeVar("F", bound=Faults)
Route = Callable[[HttpRequest], Awaitable[HttpResponse]]
Connection = asyncio.Task[Any]
"""The server's task of one connection; the connection lasts as long as the task."""


class FaultGate(Generic[F]):
    """Stands between a stand-in's server and its routes, and shows the faults switched on."""

    def __init__(self, faults: F, answer: Route, changing_paths: frozenset[str]) -> None:
        self.faults = faults
        self._answer = answer
        self._changing_paths = changing_paths
        self._connections: WeakSet[Connection] = WeakSet()
        self._silenced: WeakSet[Connection] = WeakSet()

    async def pass_request(self, request: HttpRequest, connection: Connection) -> HttpResponse:
        """Answer `request`, or fail to, as the faults say."""
        self._connections.add(connection)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / MS_PER_SECOND)
        await self._fall_silent_if_told(connection)
        if self.faults.down:
            return json_response(HTTP_UNAVAILABLE, {"error": "down"})
        response = await self._answer(request)
        await self._fall_silent_if_told(connection)
        if self.faults.lose_answers > 0 and request.get_path() in self._changing_paths:
            self.replace_faults(lose_answers=self.faults.lose_answers - 1)
            raise BrokenOff("the answer is lost")
        return response

    def replace_faults(self, **switches: Any) -> None:
        """Set the named switches; raises `msgspec.ValidationError` for an unknown one."""
        merged = {**msgspec.structs.asdict(self.faults), **switches}
        faults = msgspec.convert(merged, type(self.faults))
        if faults.silence_open > self.faults.silence_open:
            self._silenced.update(self._connections)
        self.faults = faults

    def switch(self, request: HttpRequest) -> HttpResponse:
        """Answer a `POST /faults` request."""
        try:
            self.replace_faults(**msgspec.json.decode(request.body, type=dict[str, Any]))
        except (msgspec.DecodeError, msgspec.ValidationError, TypeError) as error:
            return json_response(HTTP_BAD_REQUEST, {"error": "faults", "message": str(error)})
        return json_response(HTTP_OK, msgspec.to_builtins(self.faults))

    async def _fall_silent_if_told(self, connection: Connection) -> None:
        if self.faults.silent or connection in self._silenced:
            await fall_silent()


def serve_connections(
    answer: Callable[[HttpRequest, Connection], Awaitable[HttpResponse]],
) -> Route:
    """Return a handler for `serve_http` that knows connections and can break them off."""

    def handle(request: HttpRequest) -> Awaitable[HttpResponse]:
        # The server calls this in the connection's own task, and awaits the result in another.
        connection = asyncio.current_task()
        assert connection is not None
        return _answer_or_break_off(answer, request, connection)

    return handle


async def _answer_or_break_off(
    answer: Callable[[HttpRequest, Connection], Awaitable[HttpResponse]],
    request: HttpRequest,
    connection: Connection,
) -> HttpResponse:
    try:
        return await answer(request, connection)
    except BrokenOff:
        connection.cancel()
        await fall_silent()
        raise


async def fall_silent() -> None:
    """Never return; the connection's end cancels it."""
    await asyncio.Event().wait()

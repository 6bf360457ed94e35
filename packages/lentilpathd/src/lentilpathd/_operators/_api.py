"""The administration API over HTTP with JSON bodies; see docs/API.md."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable

import msgspec

from lentilpath_core.errors import (
    Conflict,
    InvalidCommand,
    InvalidInput,
    LentilpathError,
    OutcomeUnknown,
    Unavailable,
    UnknownName,
)
from lentilpath_core.language import CHANGES, UnreadableCommand, parse_command
from lentilpath_http import HttpRequest, HttpResponse, json_response
from lentilpathd._clock import read_wall_time
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._operators._caller import Caller
from lentilpathd._operators._changes import Changes
from lentilpathd._operators._messages import MAX_ID_LENGTH, CommandRequest, CommandResponse
from lentilpathd._operators._reads import Reads, answer_read

API_VERSION = 1
ID_BYTES = 8
ERROR_STATUSES: tuple[tuple[type[LentilpathError], int], ...] = (
    (UnknownName, 404),
    (InvalidInput, 400),
    (Conflict, 409),
    (Unavailable, 503),
    (OutcomeUnknown, 504),
)
INTERNAL_ERROR_STATUS = 500

Route = Callable[[HttpRequest], Awaitable[HttpResponse]]


class Api:
    """Turns HTTP requests into commands, and failures into typed answers."""

    def __init__(self, reads: Reads, changes: Changes) -> None:
        self._reads = reads
        self._changes = changes
        self._routes: dict[tuple[str, str], Route] = {
            ("POST", "/v1/commands"): self._run_command,
            ("GET", "/v1/health"): self._show_health,
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        route = self._routes.get((request.method, request.get_path()))
        if route is None:
            known = ", ".join(f"{method} {path}" for method, path in self._routes)
            message = f"no {request.method} {request.get_path()}; there are {known}"
            return json_response(404, {"error": "unknown-route", "message": message})
        try:
            return await route(request)
        except LentilpathError as error:
            return make_error_response(error)
        except Exception as error:
            log_warning_event(Event.API_FAILED, path=request.get_path(), error=repr(error))
            message = "the host failed on this request; its log has the reason"
            return json_response(INTERNAL_ERROR_STATUS, {"error": "internal", "message": message})

    async def _run_command(self, request: HttpRequest) -> HttpResponse:
        message = parse_request(request.body)
        caller = Caller(request.get_header("x-lentilpath-operator") or "anonymous", "administrator")
        response = await self._carry_out(message, caller)
        return json_response(200, msgspec.to_builtins(response))

    async def _carry_out(self, message: CommandRequest, caller: Caller) -> CommandResponse:
        now = read_wall_time()
        command = parse_command(message.command, now)
        if not isinstance(command, CHANGES):
            return await answer_read(command, self._reads)
        if not message.id:
            message = msgspec.structs.replace(message, id=secrets.token_hex(ID_BYTES))
        response = await self._changes.carry_out(command, message, caller, now)
        log_event(
            Event.COMMAND_ACCEPTED,
            id=response.id,
            operator=caller.operator,
            kind=type(command).__name__,
            outcome=response.outcome,
        )
        return response

    async def _show_health(self, request: HttpRequest) -> HttpResponse:
        settings = self._reads.context.settings
        value = {"api": API_VERSION, "host": settings.host, "zone": settings.zone}
        return json_response(200, value)


def parse_request(body: bytes) -> CommandRequest:
    """Return the command request in `body`; raises `InvalidCommand`."""
    try:
        message = msgspec.json.decode(body, type=CommandRequest)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidCommand(
            f'the body is not a command: {error}; send {{"command": "jobs"}}, with id, dry_run, '
            "expect_version and wait_ms if wanted"
        ) from error
    usable = all(c.isalnum() or c in "-_." for c in message.id)
    if len(message.id) > MAX_ID_LENGTH or not usable:
        raise InvalidCommand(
            f"id {message.id[:80]!r} is unusable; give at most {MAX_ID_LENGTH} letters, digits or "
            "any of '-_.'"
        )
    return message


def make_error_response(error: LentilpathError) -> HttpResponse:
    """Return the typed answer for `error`."""
    status = next(
        (status for kind, status in ERROR_STATUSES if isinstance(error, kind)),
        INTERNAL_ERROR_STATUS,
    )
    value: dict[str, object] = {"error": error.code, "message": str(error)}
    if isinstance(error, UnreadableCommand):
        value["column"] = error.column
        value["suggestions"] = list(error.suggestions)
    return json_response(status, value)

"""The administration API over HTTP with JSON bodies; see docs/API.md."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable

import msgspec

from lentilpath_core.access import (
    ExpiredKey,
    Forbidden,
    Holder,
    MissingKey,
    UnknownKey,
    check_permission,
)
from lentilpath_core.audit import CommandRecord
from lentilpath_core.configuration import InvalidConfiguration
from lentilpath_core.errors import (
    Conflict,
    InvalidCommand,
    InvalidInput,
    LentilpathError,
    OutcomeUnknown,
    Unavailable,
    UnknownName,
)
from lentilpath_core.language import (
    CHANGES,
    SetPolicy,
    SetQuota,
    UnreadableCommand,
    parse_command,
)
from lentilpath_http import HttpRequest, HttpResponse, json_response
from lentilpathd._clock import read_wall_time
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._operators._access import identify_holder
from lentilpathd._operators._burn import BurnRecorder
from lentilpathd._operators._call import Call
from lentilpathd._operators._changes import Changes
from lentilpathd._operators._config_api import (
    NEEDS_ADMINISTRATOR,
    ConfigApi,
    ConfigRequest,
    parse_config_request,
)
from lentilpathd._operators._config_store import Edit, make_policy_edit, make_quota_edit
from lentilpathd._operators._messages import MAX_ID_LENGTH, CommandRequest, CommandResponse
from lentilpathd._operators._reads import Reads, answer_read, check_seals

API_VERSION = 1
ID_BYTES = 8
DEFAULT_BURN_HOURS = 72
MAX_BURN_HOURS = 90 * 24
MAX_RECORDED_COMMAND = 2_000
TRAIL_OUTCOMES = {"done": "answered", "dry-run": "dry-run"}
"""Outcomes of commands that are not in the trail through their own transaction."""
ERROR_STATUSES: tuple[tuple[type[LentilpathError], int], ...] = (
    (MissingKey, 401),
    (UnknownKey, 401),
    (ExpiredKey, 401),
    (Forbidden, 403),
    (UnknownName, 404),
    (InvalidInput, 400),
    (Conflict, 409),
    (Unavailable, 503),
    (OutcomeUnknown, 504),
)
INTERNAL_ERROR_STATUS = 500

ConfigChanger = Callable[[ConfigRequest, Holder], Awaitable[CommandResponse]]
Route = Callable[[HttpRequest], Awaitable[HttpResponse]]


class Api:
    """Turns HTTP requests into commands, and failures into typed answers."""

    def __init__(
        self, reads: Reads, changes: Changes, config: ConfigApi, burn: BurnRecorder
    ) -> None:
        self._reads = reads
        self._changes = changes
        self._config = config
        self._burn = burn
        self._routes: dict[tuple[str, str], Route] = {
            ("POST", "/v1/commands"): self._run_command,
            ("GET", "/v1/health"): self._show_health,
            ("GET", "/v1/report/burn"): self._report_burn,
            ("GET", "/v1/report/seals"): self._report_seals,
            ("GET", "/v1/config"): self._show_config,
            ("GET", "/v1/config/status"): self._show_config_status,
            ("GET", "/v1/config/history"): self._show_config_history,
            ("POST", "/v1/config/check"): self._check_config,
            ("POST", "/v1/config/diff"): self._diff_config,
            ("POST", "/v1/config/apply"): self._apply_config,
            ("POST", "/v1/config/rollback"): self._roll_config_back,
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
        if not message.id:
            message = msgspec.structs.replace(message, id=secrets.token_hex(ID_BYTES))
        now = read_wall_time()
        call = Call(message, self._identify(request), now)
        try:
            response = await self._carry_out(call)
        except LentilpathError as error:
            self._record(call, error.code, str(error).partition("\n")[0])
            raise
        if response.outcome in TRAIL_OUTCOMES and not response.id:
            self._record(call, TRAIL_OUTCOMES[response.outcome], response.message)
        return json_response(200, msgspec.to_builtins(response))

    async def _carry_out(self, call: Call) -> CommandResponse:
        command = parse_command(call.request.command, call.now)
        check_permission(command, call.holder)
        if not isinstance(command, CHANGES):
            return await answer_read(command, self._reads)
        if isinstance(command, SetQuota):
            return await self._change_config(make_quota_edit(command), call)
        if isinstance(command, SetPolicy):
            return await self._change_config(make_policy_edit(command), call)
        response = await self._changes.carry_out(command, call)
        log_event(
            Event.COMMAND_ACCEPTED,
            id=response.id,
            operator=call.holder.operator,
            kind=type(command).__name__,
            outcome=response.outcome,
        )
        return response

    def _record(self, call: Call, outcome: str, text: str) -> None:
        request = call.request
        host = self._reads.context.settings.host
        holder = call.holder
        command = request.command[:MAX_RECORDED_COMMAND]
        self._reads.trail.add(
            CommandRecord(
                request.id,
                holder.operator,
                holder.role.value,
                call.now,
                host,
                command,
                outcome,
                text,
            )
        )

    async def _change_config(self, edit: Edit, call: Call) -> CommandResponse:
        return await self._config.store.change(edit, call.request.command, call)

    def _identify(self, request: HttpRequest) -> Holder:
        return identify_holder(request, self._config.store.keeper, read_wall_time())

    async def _report_burn(self, request: HttpRequest) -> HttpResponse:
        self._identify(request)
        text = request.parse_query().get("hours", str(DEFAULT_BURN_HOURS))
        if not text.isdigit() or not 1 <= int(text) <= MAX_BURN_HOURS:
            raise InvalidInput(f"hours is {text!r}; give a number from 1 to {MAX_BURN_HOURS}")
        reports = await self._burn.report(int(text))
        return json_response(200, {"hours": int(text), "objectives": msgspec.to_builtins(reports)})

    async def _report_seals(self, request: HttpRequest) -> HttpResponse:
        self._identify(request)
        return _answer(await check_seals(self._reads))

    async def _show_config(self, request: HttpRequest) -> HttpResponse:
        check_permission(NEEDS_ADMINISTRATOR, self._identify(request))
        return _answer(self._config.show())

    async def _show_config_status(self, request: HttpRequest) -> HttpResponse:
        self._identify(request)
        return _answer(await self._config.show_status())

    async def _show_config_history(self, request: HttpRequest) -> HttpResponse:
        self._identify(request)
        return _answer(await self._config.list_history(request.parse_query().get("limit")))

    async def _check_config(self, request: HttpRequest) -> HttpResponse:
        self._identify(request)
        return _answer(await self._config.check(parse_config_request(request.body)))

    async def _diff_config(self, request: HttpRequest) -> HttpResponse:
        check_permission(NEEDS_ADMINISTRATOR, self._identify(request))
        return _answer(await self._config.diff(parse_config_request(request.body)))

    async def _apply_config(self, request: HttpRequest) -> HttpResponse:
        return await self._change_by(request, "config apply", self._config.apply)

    async def _roll_config_back(self, request: HttpRequest) -> HttpResponse:
        return await self._change_by(request, "config rollback", self._config.roll_back)

    async def _change_by(
        self, request: HttpRequest, text: str, change: ConfigChanger
    ) -> HttpResponse:
        holder = self._identify(request)
        message = parse_config_request(request.body)
        try:
            return _answer(await change(message, holder))
        except LentilpathError as error:
            refused = CommandRequest(text, message.id or secrets.token_hex(ID_BYTES))
            self._record(Call(refused, holder, read_wall_time()), error.code, str(error))
            raise

    async def _show_health(self, request: HttpRequest) -> HttpResponse:
        settings = self._reads.context.settings
        value = {"api": API_VERSION, "host": settings.host, "zone": settings.zone}
        return json_response(200, value)


def _answer(response: CommandResponse) -> HttpResponse:
    return json_response(200, msgspec.to_builtins(response))


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
    if isinstance(error, InvalidConfiguration):
        value["problems"] = list(error.problems)
    return json_response(status, value)

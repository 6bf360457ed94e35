"""The administration API over HTTP with JSON bodies; see docs/API.md."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable

import msgspec

from lentilpath_core.access import (
    ExpiredKey,
    Forbidden,
    MissingKey,
    Principal,
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
    CHANGE_COMMANDS,
    SetPolicy,
    SetQuota,
    UnreadableCommand,
    parse_command,
)
from lentilpath_http import HttpRequest, HttpResponse, json_response
from lentilpathd._clock import read_wall_time
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._operators._access import authenticate
from lentilpathd._operators._burn import BurnRecorder
from lentilpathd._operators._call import Call
from lentilpathd._operators._changes import Changes
from lentilpathd._operators._config_api import (
    ADMINISTRATOR_COMMAND,
    ConfigApi,
    ConfigRequest,
    parse_config_request,
)
from lentilpathd._operators._config_store import Edit, make_policy_edit, make_quota_edit
from lentilpathd._operators._messages import MAX_ID_LENGTH, CommandRequest, CommandResponse
from lentilpathd._operators._reads import ReadServices, answer_read, verify_seals

API_VERSION = 1
ID_BYTES = 8
DEFAULT_BURN_HOURS = 72
MAX_BURN_HOURS = 90 * 24
MAX_RECORDED_COMMAND_CHARS = 2_000
AUDIT_OUTCOMES = {"done": "answered", "dry-run": "dry-run"}
"""Audit outcome by response outcome, for commands that their own transaction does not record."""
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

ConfigChanger = Callable[[ConfigRequest, Principal], Awaitable[CommandResponse]]
Route = Callable[[HttpRequest], Awaitable[HttpResponse]]


class Api:
    """Routes HTTP requests and maps errors to statuses with error codes."""

    def __init__(
        self, reads: ReadServices, changes: Changes, config: ConfigApi, burn: BurnRecorder
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
            ("POST", "/v1/config/rollback"): self._roll_back_config,
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
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
        call = Call(message, self._authenticate(request), now)
        try:
            response = await self._execute(call)
        except LentilpathError as error:
            self._record_in_audit_trail(call, error.code, str(error).partition("\n")[0])
            raise
        if response.outcome in AUDIT_OUTCOMES and not response.id:
            self._record_in_audit_trail(call, AUDIT_OUTCOMES[response.outcome], response.message)
        return json_response(200, msgspec.to_builtins(response))

    async def _execute(self, call: Call) -> CommandResponse:
        command = parse_command(call.request.command, call.received_at)
        check_permission(command, call.principal)
        if not isinstance(command, CHANGE_COMMANDS):
            return await answer_read(command, self._reads)
        if isinstance(command, SetQuota):
            return await self._change_config(make_quota_edit(command), call)
        if isinstance(command, SetPolicy):
            return await self._change_config(make_policy_edit(command), call)
        response = await self._changes.execute(command, call)
        log_event(
            Event.COMMAND_ACCEPTED,
            id=response.id,
            operator=call.principal.operator,
            kind=type(command).__name__,
            outcome=response.outcome,
        )
        return response

    def _record_in_audit_trail(self, call: Call, outcome: str, text: str) -> None:
        request = call.request
        host = self._reads.context.settings.host
        principal = call.principal
        command = request.command[:MAX_RECORDED_COMMAND_CHARS]
        self._reads.trail.add(
            CommandRecord(
                request.id,
                principal.operator,
                principal.role.value,
                call.received_at,
                host,
                command,
                outcome,
                text,
            )
        )

    async def _change_config(self, edit: Edit, call: Call) -> CommandResponse:
        return await self._config.store.change(edit, call.request.command, call)

    def _authenticate(self, request: HttpRequest) -> Principal:
        return authenticate(request, self._config.store.keeper, read_wall_time())

    async def _report_burn(self, request: HttpRequest) -> HttpResponse:
        self._authenticate(request)
        text = request.parse_query().get("hours", str(DEFAULT_BURN_HOURS))
        if not text.isdigit() or not 1 <= int(text) <= MAX_BURN_HOURS:
            raise InvalidInput(f"hours is {text!r}; give a number from 1 to {MAX_BURN_HOURS}")
        reports = await self._burn.report(int(text))
        return json_response(200, {"hours": int(text), "objectives": msgspec.to_builtins(reports)})

    async def _report_seals(self, request: HttpRequest) -> HttpResponse:
        self._authenticate(request)
        return _make_response(await verify_seals(self._reads))

    async def _show_config(self, request: HttpRequest) -> HttpResponse:
        check_permission(ADMINISTRATOR_COMMAND, self._authenticate(request))
        return _make_response(self._config.show())

    async def _show_config_status(self, request: HttpRequest) -> HttpResponse:
        self._authenticate(request)
        return _make_response(await self._config.show_status())

    async def _show_config_history(self, request: HttpRequest) -> HttpResponse:
        self._authenticate(request)
        return _make_response(await self._config.list_history(request.parse_query().get("limit")))

    async def _check_config(self, request: HttpRequest) -> HttpResponse:
        self._authenticate(request)
        return _make_response(await self._config.check(parse_config_request(request.body)))

    async def _diff_config(self, request: HttpRequest) -> HttpResponse:
        check_permission(ADMINISTRATOR_COMMAND, self._authenticate(request))
        return _make_response(await self._config.diff(parse_config_request(request.body)))

    async def _apply_config(self, request: HttpRequest) -> HttpResponse:
        return await self._run_config_change(request, "config apply", self._config.apply)

    async def _roll_back_config(self, request: HttpRequest) -> HttpResponse:
        return await self._run_config_change(request, "config rollback", self._config.roll_back)

    async def _run_config_change(
        self, request: HttpRequest, text: str, change: ConfigChanger
    ) -> HttpResponse:
        principal = self._authenticate(request)
        message = parse_config_request(request.body)
        try:
            return _make_response(await change(message, principal))
        except LentilpathError as error:
            refused = CommandRequest(text, message.id or secrets.token_hex(ID_BYTES))
            self._record_in_audit_trail(
                Call(refused, principal, read_wall_time()), error.code, str(error)
            )
            raise

    async def _show_health(self, request: HttpRequest) -> HttpResponse:
        settings = self._reads.context.settings
        value = {"api": API_VERSION, "host": settings.host, "zone": settings.zone}
        return json_response(200, value)


def _make_response(response: CommandResponse) -> HttpResponse:
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
    """Return the response for `error`: its status, error code and message."""
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

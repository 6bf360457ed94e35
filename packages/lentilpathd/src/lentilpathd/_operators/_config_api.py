"""Configuration requests of the administration API."""

from __future__ import annotations

import secrets
from dataclasses import dataclass

import msgspec

from lentilpath_core.access import Principal, check_permission
from lentilpath_core.configuration import parse_document_text
from lentilpath_core.errors import InvalidInput
from lentilpath_core.ids import TeamId
from lentilpath_core.language import Cell, SetQuota, Table
from lentilpathd._clock import read_wall_time
from lentilpathd._operators._call import Call
from lentilpathd._operators._config_store import (
    ConfigStore,
    check_new_document,
    make_difference_table,
)
from lentilpathd._operators._messages import CommandRequest, CommandResponse

DEFAULT_HISTORY_ROWS = 20
MAX_HISTORY_ROWS = 1_000
ID_BYTES = 8
STATUS_COLUMNS = ("host", "zone", "version", "source", "in_force_ms", "confirmed_ms", "note")
MAX_CONFIRMATION_AGE_MS = 10_000
ADMINISTRATOR_COMMAND = SetQuota(TeamId(""), ())
"""Only passed to `check_permission`, to require the role that changes of quotas require."""


class ConfigRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of the `POST /v1/config/...` requests."""

    text: str = ""
    """Configuration document, JSON with comments; used by check, diff and apply."""
    version: int | None = None
    """Version to restore; used by rollback."""
    id: str = ""
    dry_run: bool = False
    expect_version: int | None = None


@dataclass(frozen=True, slots=True)
class ConfigApi:
    """Answers requests about the configuration."""

    store: ConfigStore

    def show(self) -> CommandResponse:
        """Return the version in force on this host and its document."""
        current = self.store.keeper.get_snapshot()
        rows = (("document", msgspec.json.encode(current.document).decode()),)
        message = f"version {current.version} by {current.operator or 'nobody'}: {current.text}"
        return CommandResponse(
            "done", message, Table(("what", "value"), rows), version=current.version
        )

    async def check(self, request: ConfigRequest) -> CommandResponse:
        """Validate a document against the version in force on this host, without the table."""
        current = self.store.keeper.get_snapshot()
        check_new_document(current.document, parse_document_text(request.text))
        return CommandResponse("done", "the configuration can be applied", version=current.version)

    async def diff(self, request: ConfigRequest) -> CommandResponse:
        """Return the differences between the latest accepted version and a document."""
        _, current = await self.store.read_current()
        document = parse_document_text(request.text)
        check_new_document(current.document, document)
        table = make_difference_table(current.document, document)
        message = f"{len(table.rows)} values differ from version {current.version}"
        return CommandResponse("done", message, table, version=current.version)

    async def apply(self, request: ConfigRequest, principal: Principal) -> CommandResponse:
        """Apply a document as the next version."""
        document = parse_document_text(request.text)
        call = make_call(request, principal, "config apply")
        return await self.store.change(lambda _: document, "config apply", call)

    async def roll_back(self, request: ConfigRequest, principal: Principal) -> CommandResponse:
        """Apply the document of an earlier version as the next version."""
        if request.version is None:
            raise InvalidInput('version is missing; send {"version": N}')
        document = await self.store.read_version(request.version)
        text = f"config rollback {request.version}"
        return await self.store.change(
            lambda _: document, text, make_call(request, principal, text)
        )

    async def list_history(self, limit_text: str | None) -> CommandResponse:
        """Return the latest versions, newest first."""
        limit = DEFAULT_HISTORY_ROWS if limit_text is None else _parse_limit(limit_text)
        return CommandResponse("done", table=await self.store.list_history(limit))

    async def show_status(self) -> CommandResponse:
        """Return the version in force on each host."""
        rows: list[tuple[Cell, ...]] = []
        statuses = await self.store.keeper.list_status()
        highest = max((status.version for _, _, status in statuses if status), default=0)
        for host, zone, status in statuses:
            if status is None:
                rows.append((host, zone, None, "-", None, None, "no answer"))
                continue
            note = "" if status.version == highest else f"behind version {highest}"
            if not 0 <= status.confirmed_ms <= MAX_CONFIRMATION_AGE_MS:
                note = f"{note}; cut off from the table".removeprefix("; ")
            rows.append(
                (
                    host,
                    zone,
                    status.version,
                    status.source,
                    status.in_force_ms,
                    status.confirmed_ms,
                    note,
                )
            )
        return CommandResponse("done", table=Table(STATUS_COLUMNS, tuple(rows)), version=highest)


def make_call(request: ConfigRequest, principal: Principal, text: str) -> Call:
    """Return the call of a change; raises `Forbidden` if its sender is not an administrator."""
    check_permission(ADMINISTRATOR_COMMAND, principal)
    command = CommandRequest(
        text,
        request.id or secrets.token_hex(ID_BYTES),
        request.dry_run,
        request.expect_version,
    )
    return Call(command, principal, read_wall_time())


def parse_config_request(body: bytes) -> ConfigRequest:
    """Return the request in `body`; raises `InvalidInput`."""
    try:
        return msgspec.json.decode(body, type=ConfigRequest)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidInput(
            f'the body is no configuration request: {error}; send {{"text": "…"}}'
        ) from error


def _parse_limit(text: str) -> int:
    if not text.isdigit() or not 1 <= int(text) <= MAX_HISTORY_ROWS:
        raise InvalidInput(f"limit is {text!r}; give a number from 1 to {MAX_HISTORY_ROWS}")
    return int(text)

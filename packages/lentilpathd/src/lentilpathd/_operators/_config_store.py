"""Validates new configuration versions, commits them to the table and sends them to all hosts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from lentilpath_core.audit import CommandRecord
from lentilpath_core.configuration import (
    CellConfiguration,
    ConfigChange,
    ConfigSnapshot,
    InvalidConfiguration,
    apply_patch,
    digest_document,
    drop_nulls,
    list_differences,
    make_patch,
    read_configuration,
)
from lentilpath_core.errors import Conflict, InvalidInput, UnknownName
from lentilpath_core.ids import ConfigVersion
from lentilpath_core.language import Cell, SetPolicy, SetQuota, Table, format_time
from lentilpathd._context import DaemonContext
from lentilpathd._operators._acceptance import Effect, RowsChanged, accept_command
from lentilpathd._operators._call import Call
from lentilpathd._operators._configuration import (
    CURRENT_ROW,
    HEAD_ROW,
    TABLE_TIMEOUT_SECONDS,
    ConfigurationKeeper,
    encode_head,
    encode_message,
    make_initial_config,
)
from lentilpathd._operators._messages import CommandResponse
from lentilpathd._ports import Row

MAX_COMMIT_ATTEMPTS = 5
RETAINED_VERSIONS = 10_000
ROWS_PER_SCAN = 500
VERSION_DIGITS = 12
VERSION_PREFIX = "config/version/"
DIFFERENCE_COLUMNS = ("path", "before", "after")
HISTORY_COLUMNS = ("version", "at", "operator", "change", "command", "digest")

Edit = Callable[[Any], Any]
"""Returns the new document, given the current one."""


@dataclass(frozen=True, slots=True)
class ConfigStore:
    """Reads and changes the configuration in the table."""

    context: DaemonContext
    keeper: ConfigurationKeeper

    async def read_current(self) -> tuple[Row, ConfigSnapshot]:
        """Return the `config/current` row and its configuration, version 0 if it is absent."""
        (row,) = await self.context.table.read((CURRENT_ROW,), TABLE_TIMEOUT_SECONDS)
        if row.value:
            return row, msgspec.json.decode(row.value, type=ConfigSnapshot)
        return row, make_initial_config()

    async def change(self, edit: Edit, text: str, call: Call) -> CommandResponse:
        """Commit the document that `edit` returns as the next version and put it in force.

        A dry run, or an edit without differences, writes nothing. Raises `InvalidConfiguration`
        if the document is invalid, and `Conflict` if another version was expected or if
        concurrent changes made all `MAX_COMMIT_ATTEMPTS` attempts fail.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            row, current = await self.read_current()
            _check_version(current, call.request.expect_version)
            document = drop_nulls(edit(current.document))
            check_new_document(current.document, document)
            differences = make_difference_table(current.document, document)
            if call.request.dry_run or not differences.rows:
                return _make_unwritten_response(call, current, differences)
            change = _make_change(current, document, text, call)
            try:
                accepted = await accept_command(
                    self.context.table,
                    self._make_record(change, call),
                    _make_effect(row, change, document),
                )
            except RowsChanged:
                continue
            if accepted.repeated:
                message = f"{accepted.record.message} (repeated: no second effect)"
                version = accepted.record.version
                return CommandResponse("done", message, id=call.request.id, version=version)
            return await self._put_in_force(change, differences, call)
        raise Conflict(
            f"the configuration was changed {MAX_COMMIT_ATTEMPTS} times in a row; try again"
        )

    async def list_history(self, limit: int) -> Table:
        """Return the last `limit` versions, newest first."""
        _, current = await self.read_current()
        changes = await self._read_changes(ConfigVersion(max(0, current.version - limit)))
        rows: list[tuple[Cell, ...]] = [
            (
                change.version,
                format_time(change.at),
                change.operator,
                change.text,
                change.command,
                change.digest[:16],
            )
            for change in reversed(changes)
        ]
        return Table(HISTORY_COLUMNS, tuple(rows))

    async def read_version(self, version: int) -> Any:
        """Return the document of an earlier version; raises `UnknownName` if it is not stored."""
        _, current = await self.read_current()
        if not 0 <= version <= current.version:
            raise UnknownName(f"no version {version}; the last one is {current.version}")
        changes = await self._read_changes(ConfigVersion(version))
        if len(changes) != current.version - version:
            oldest = current.version - len(changes)
            raise UnknownName(f"version {version} is no longer kept; the oldest is {oldest}")
        document = current.document
        for change in reversed(changes):
            document = apply_patch(document, change.undo)
        return document

    async def _read_changes(self, after: ConfigVersion) -> list[ConfigChange]:
        changes: list[ConfigChange] = []
        key = get_version_key(after)
        while True:
            rows = await self.context.table.scan(
                VERSION_PREFIX, key, ROWS_PER_SCAN, TABLE_TIMEOUT_SECONDS
            )
            changes.extend(msgspec.json.decode(row.value, type=ConfigChange) for row in rows)
            if len(rows) < ROWS_PER_SCAN:
                return changes
            key = rows[-1].key

    def _make_record(self, change: ConfigChange, call: Call) -> CommandRecord:
        return CommandRecord(
            call.request.id,
            call.principal.operator,
            call.principal.role.value,
            call.received_at,
            self.context.settings.host,
            call.request.command,
            "accepted",
            f"configuration version {change.version}",
            version=change.version,
        )

    async def _put_in_force(
        self, change: ConfigChange, differences: Table, call: Call
    ) -> CommandResponse:
        if not self.keeper.install_change(change, "accepted here"):
            await self.keeper.refresh()
        hosts = await self.keeper.broadcast_change(change)
        total = len(self.context.directory.list_entry_hosts()) + 1
        message = (
            f"version {change.version} is accepted and in force on {len(hosts)} of {total} hosts"
        )
        if len(hosts) < total:
            message += "; the others take it when they can be reached (`config status` shows them)"
        return CommandResponse(
            "done", message, differences, id=call.request.id, version=change.version
        )


def get_version_key(version: ConfigVersion) -> str:
    """Return the table key of one version; keys sort by version number."""
    return f"{VERSION_PREFIX}{version:0{VERSION_DIGITS}d}"


def make_difference_table(old: Any, new: Any) -> Table:
    """Return the differences between two documents."""
    return Table(DIFFERENCE_COLUMNS, tuple(list_differences(old, new)))


def check_new_document(old: Any, new: Any) -> CellConfiguration:
    """Return the configuration of document `new`, after validating it against document `old`.

    Raises `InvalidConfiguration` with the problems found. A price rule in `old` must not change,
    because lines were billed by it.
    """
    configuration = read_configuration(new)
    existing_rules = old.get("price_rules", {}) if isinstance(old, dict) else {}
    problems = tuple(
        f"price_rules.{name}: lines were billed by it, so its amounts stay; add a rule of another "
        "name and give that to the customers"
        for name, rule in new.get("price_rules", {}).items()
        if name in existing_rules and existing_rules[name] != rule
    )
    if problems:
        raise InvalidConfiguration(problems)
    return configuration


def make_quota_edit(command: SetQuota) -> Edit:
    """Return the edit of `set quota`."""
    return lambda document: apply_patch(
        document, {"teams": {command.team: {"quota": dict(command.values)}}}
    )


def make_policy_edit(command: SetPolicy) -> Edit:
    """Return the edit of `set policy`; raises `InvalidInput` if a value is a list or an object."""
    values = {key: _parse_value(text) for key, text in command.values}
    return lambda document: apply_patch(
        document, {"services": {command.service: {"requests": values}}}
    )


def _parse_value(text: str) -> Any:
    try:
        value = msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text
    if isinstance(value, dict | list):
        raise InvalidInput(f"{text!r} is no single value; use `lentilpath config apply` for it")
    return value


def _check_version(current: ConfigSnapshot, expected: int | None) -> None:
    if expected is None or expected == current.version:
        return
    raise Conflict(
        f"the configuration is at version {current.version}, not {expected}: changed by "
        f"{current.operator} at {format_time(current.at)} with {current.text!r}; look at "
        "`lentilpath config diff` and repeat with the present version"
    )


def _make_unwritten_response(
    call: Call, current: ConfigSnapshot, differences: Table
) -> CommandResponse:
    if not differences.rows:
        message = f"nothing differs from version {current.version}"
        return CommandResponse("done", message, version=current.version)
    message = f"would change {len(differences.rows)} values of version {current.version}"
    return CommandResponse("dry-run", message, differences, version=current.version)


def _make_change(current: ConfigSnapshot, document: Any, text: str, call: Call) -> ConfigChange:
    return ConfigChange(
        ConfigVersion(current.version + 1),
        digest_document(document),
        call.principal.operator,
        call.received_at,
        call.request.id,
        text,
        make_patch(current.document, document),
        make_patch(document, current.document),
    )


def _make_effect(row: Row, change: ConfigChange, document: Any) -> Effect:
    snapshot = ConfigSnapshot(
        change.version, change.digest, change.operator, change.at, change.text, document
    )
    outdated = change.version - RETAINED_VERSIONS
    return Effect(
        checks=((CURRENT_ROW, row.version),),
        puts=(
            (CURRENT_ROW, encode_message(snapshot)),
            (HEAD_ROW, encode_head(change.version, change.digest)),
            (get_version_key(change.version), encode_message(change)),
        ),
        deletes=(get_version_key(ConfigVersion(outdated)),) if outdated > 0 else (),
    )

"""Writes a command durably and exactly once before it is acknowledged, even if replies are lost.

One transaction writes the command's record, its line in the audit trail and its effect, on the
condition that no command with that id is recorded yet. The audit trail and the effect therefore
always agree, and repeating an id has no second effect, whichever host receives it.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass

from lentilpath_core.audit import (
    CommandRecord,
    decode_records,
    encode_records,
    get_audit_key,
    get_command_key,
)
from lentilpath_core.errors import Conflict, OutcomeUnknown, TableUnavailable
from lentilpath_core.ids import RowVersion, WriteId
from lentilpath_core.language import format_time
from lentilpathd._clock import read_instant
from lentilpathd._ports import ABSENT, Row, Table, Transaction

COMMIT_TIMEOUT_SECONDS = 2.0
RETRY_WINDOW_MS = 8_000
WRITE_ID_BYTES = 12


@dataclass(frozen=True, slots=True)
class Effect:
    """Row version checks and writes of a command, in addition to its record."""

    checks: tuple[tuple[str, RowVersion], ...] = ()
    puts: tuple[tuple[str, str], ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AcceptedCommand:
    """The record of a durable command, and whether an earlier call had already written it."""

    record: CommandRecord
    repeated: bool


class RowsChanged(Conflict):
    """A version check failed; `rows` holds the current rows whose checks failed."""

    def __init__(self, rows: tuple[Row, ...]) -> None:
        super().__init__("changed meanwhile: " + ", ".join(row.key for row in rows))
        self.rows = rows


async def accept_command(table: Table, record: CommandRecord, effect: Effect) -> AcceptedCommand:
    """Write `record` and `effect` atomically, unless a command with this id is already recorded.

    Raises `Conflict` if the id belongs to another command, `RowsChanged` if a checked row has
    another version, `TableUnavailable` if nothing was written, and `OutcomeUnknown` if the outcome
    of the write is still unknown after the retries; the caller may then retry with the same id.
    """
    transaction = _make_transaction(record, effect)
    deadline = read_instant() + RETRY_WINDOW_MS
    unclear: OutcomeUnknown | None = None
    while True:
        try:
            result = await table.commit(transaction, COMMIT_TIMEOUT_SECONDS)
        except OutcomeUnknown as error:
            # Retrying the same transaction is safe: it requires that the record's row is absent.
            # If the first attempt was applied, the retry conflicts and returns our own record.
            unclear = error
            if read_instant() > deadline:
                raise
            continue
        except TableUnavailable as error:
            if unclear is None:
                raise
            raise OutcomeUnknown(
                f"command {record.id}: {unclear}; then {error}; repeat it with the same id"
            ) from error
        if result.applied:
            return AcceptedCommand(record, repeated=False)
        return _resolve_conflict(record, result.conflicts, unclear is not None)


def _make_transaction(record: CommandRecord, effect: Effect) -> Transaction:
    checks = ((get_command_key(record.id), ABSENT), *effect.checks)
    puts = (
        (get_command_key(record.id), encode_records((record,))),
        (get_audit_key(record.at, record.id), encode_records((record,))),
        *effect.puts,
    )
    write_id = WriteId(secrets.token_hex(WRITE_ID_BYTES))
    return Transaction(write_id, checks, puts, effect.deletes)


def _resolve_conflict(
    record: CommandRecord, rows: tuple[Row, ...], had_unclear_attempt: bool
) -> AcceptedCommand:
    own_key = get_command_key(record.id)
    earlier = next((row for row in rows if row.key == own_key and row.version != ABSENT), None)
    if earlier is None:
        raise RowsChanged(rows)
    (recorded,) = decode_records(earlier.value)
    if recorded == record and had_unclear_attempt:
        return AcceptedCommand(record, repeated=False)
    check_same_command(recorded, record.command, record.operator)
    return AcceptedCommand(recorded, repeated=True)


def check_same_command(recorded: CommandRecord, command: str, operator: str) -> None:
    """Raise `Conflict` if the recorded command has another text or another operator."""
    if recorded.command == command and recorded.operator == operator:
        return
    raise Conflict(
        f"command id {recorded.id} was used by {recorded.operator} at "
        f"{format_time(recorded.at)} for {recorded.command!r}; give this command another id"
    )

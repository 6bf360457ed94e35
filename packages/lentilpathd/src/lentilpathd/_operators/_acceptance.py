"""Makes a command durable before it is acknowledged, once, whatever answers are lost.

One transaction writes the command's record, its line in the audit trail and its effect, if no
command of that id is recorded yet. So the trail and the effect cannot disagree, and a repeated id
has no second effect, through whichever host it comes.
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

COMMIT_SECONDS = 2.0
TOTAL_MS = 8_000
WRITE_ID_BYTES = 12


@dataclass(frozen=True, slots=True)
class Effect:
    """The rows that a command checks and changes besides its record."""

    checks: tuple[tuple[str, RowVersion], ...] = ()
    puts: tuple[tuple[str, str], ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Accepted:
    """The record of the command, and whether an earlier call had made it durable already."""

    record: CommandRecord
    repeated: bool


class RowsChanged(Conflict):
    """Checked rows had other versions; `rows` are those rows as they are now."""

    def __init__(self, rows: tuple[Row, ...]) -> None:
        super().__init__("changed meanwhile: " + ", ".join(row.key for row in rows))
        self.rows = rows


async def accept_command(table: Table, record: CommandRecord, effect: Effect) -> Accepted:
    """Write `record` and `effect` together, unless a command of this id is recorded already.

    Raises `Conflict` if the id belongs to another command, `RowsChanged` if a checked row has
    another version, `TableUnavailable` if nothing was written, and `OutcomeUnknown` if the table
    gave no clear answer in time; asking again with the same id is then safe.
    """
    transaction = _make_transaction(record, effect)
    deadline = read_instant() + TOTAL_MS
    unclear: OutcomeUnknown | None = None
    while True:
        try:
            result = await table.commit(transaction, COMMIT_SECONDS)
        except OutcomeUnknown as error:
            # The same transaction again: its check on the record's row makes a second effect
            # impossible, and its conflict then shows our own record.
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
            return Accepted(record, repeated=False)
        return _recognise(record, result.conflicts, unclear is not None)


def _make_transaction(record: CommandRecord, effect: Effect) -> Transaction:
    checks = ((get_command_key(record.id), ABSENT), *effect.checks)
    puts = (
        (get_command_key(record.id), encode_records((record,))),
        (get_audit_key(record.at, record.id), encode_records((record,))),
        *effect.puts,
    )
    write_id = WriteId(secrets.token_hex(WRITE_ID_BYTES))
    return Transaction(write_id, checks, puts, effect.deletes)


def _recognise(record: CommandRecord, rows: tuple[Row, ...], sent_before: bool) -> Accepted:
    own_key = get_command_key(record.id)
    earlier = next((row for row in rows if row.key == own_key and row.version != ABSENT), None)
    if earlier is None:
        raise RowsChanged(rows)
    (known,) = decode_records(earlier.value)
    if known == record and sent_before:
        return Accepted(record, repeated=False)
    check_same_command(known, record.command, record.operator)
    return Accepted(known, repeated=True)


def check_same_command(known: CommandRecord, command: str, operator: str) -> None:
    """Raise `Conflict` if the recorded command of this id is another one."""
    if known.command == command and known.operator == operator:
        return
    raise Conflict(
        f"command id {known.id} was used by {known.operator} at {format_time(known.at)} for "
        f"{known.command!r}; give this command another id"
    )

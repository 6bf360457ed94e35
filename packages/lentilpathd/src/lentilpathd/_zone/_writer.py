"""Writes the zone's journal one batch at a time, with retries after lost answers."""

from __future__ import annotations

import asyncio

import msgspec

from lentilpath_core.errors import OutcomeUnknown, TableUnavailable
from lentilpath_core.ids import WriteId
from lentilpath_core.leadership import get_epoch_key
from lentilpath_core.zone.control import JournalWrite
from lentilpath_core.zone.journal import decode_batch, encode_batch, get_batch_key
from lentilpathd._events import Event, log_warning_event
from lentilpathd._ports import ABSENT, CommitResult, Table, Transaction
from lentilpathd._zone._errors import Deposed
from lentilpathd._zone._term import Term

COMMIT_TIMEOUT_SECONDS = 2.0
FIRST_RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 1.0


async def write_batch(table: Table, term: Term, write: JournalWrite) -> None:
    """Write a batch to the table, retrying with exponential backoff while it is unavailable.

    Raises `Deposed` if another process leads the zone or has written the row. Retrying the same
    transaction after a lost answer is safe: it applies only while the batch's row is absent, and
    the row holds the id of its writer.
    """
    transaction = _make_transaction(term, write)
    delay = FIRST_RETRY_DELAY_SECONDS
    while True:
        try:
            result = await table.commit(transaction, COMMIT_TIMEOUT_SECONDS)
        except (OutcomeUnknown, TableUnavailable):
            await asyncio.sleep(delay)
            delay = min(delay * 2, MAX_RETRY_DELAY_SECONDS)
            continue
        if result.applied or _is_own_write(result, write):
            return
        log_warning_event(
            Event.BATCH_REJECTED, zone=term.zone, epoch=term.epoch, sequence=write.batch.sequence
        )
        raise Deposed(f"zone {term.zone}: epoch {term.epoch} is over")


def _make_transaction(term: Term, write: JournalWrite) -> Transaction:
    key = get_batch_key(term.zone, write.batch.sequence)
    return Transaction(
        write_id=WriteId(write.batch.writer),
        checks=((key, ABSENT), (get_epoch_key(term.zone), term.epoch_version)),
        puts=((key, encode_batch(write.batch)),),
        deletes=write.inbox_keys,
    )


def _is_own_write(result: CommitResult, write: JournalWrite) -> bool:
    key = get_batch_key(write.batch.zone, write.batch.sequence)
    for row in result.conflicts:
        if row.key != key or row.version == ABSENT:
            continue
        try:
            return decode_batch(row.value).writer == write.batch.writer
        except msgspec.DecodeError:
            return False
    return False

"""Stores snapshots of a zone and truncates its journal.

The batches that a snapshot replaces are archived as one object. The history of ended jobs and the
customers' usage are computed from these archives.
"""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import JournalSequence, WriteId, ZoneId
from lentilpath_core.leadership import get_epoch_key
from lentilpath_core.zone.journal import JournalBatch, get_batch_key, get_journal_prefix
from lentilpath_core.zone.state import ZoneState
from lentilpathd._ports import ObjectStore, Table, Transaction
from lentilpathd._zone._recovery import get_snapshot_object_key, get_snapshot_row_key
from lentilpathd._zone._term import Term

PLATFORM_TIMEOUT_SECONDS = 5.0
DELETE_PAGE_ROWS = 100

_encoder = msgspec.msgpack.Encoder()
_archive_decoder = msgspec.msgpack.Decoder(list[JournalBatch])


def encode_snapshot(state: ZoneState) -> bytes:
    """Return the encoded snapshot of `state`."""
    return _encoder.encode(state)


def get_archive_prefix(zone: ZoneId) -> str:
    """Return the key prefix of the archive objects of `zone`."""
    return f"archive/{zone}/"


def decode_archive(data: bytes) -> list[JournalBatch]:
    """Return the batches of one archive object."""
    return _archive_decoder.decode(data)


async def store_snapshot(
    table: Table,
    objects: ObjectStore,
    term: Term,
    sequence: JournalSequence,
    snapshot: bytes,
    batches: list[JournalBatch],
) -> None:
    """Archive `batches`, store `snapshot`, update the snapshot pointer and delete journal rows.

    Raises `Unavailable` or `OutcomeUnknown`. Every step is idempotent, and until the pointer row
    is updated the previous snapshot and its journal stay complete.
    """
    zone = term.zone
    if batches:
        first = batches[0].sequence
        archive_key = f"{get_archive_prefix(zone)}{first:012d}-{sequence:012d}"
        await objects.put_object(archive_key, _encoder.encode(batches), PLATFORM_TIMEOUT_SECONDS)
    await objects.put_object(
        get_snapshot_object_key(zone, sequence), snapshot, PLATFORM_TIMEOUT_SECONDS
    )
    previous = (await table.read((get_snapshot_row_key(zone),), PLATFORM_TIMEOUT_SECONDS))[0]
    result = await table.commit(
        Transaction(
            write_id=WriteId(f"snapshot-{zone}-{sequence}"),
            checks=(
                (get_epoch_key(zone), term.epoch_version),
                (get_snapshot_row_key(zone), previous.version),
            ),
            puts=((get_snapshot_row_key(zone), str(sequence)),),
        ),
        PLATFORM_TIMEOUT_SECONDS,
    )
    if not result.applied:
        return
    await _delete_journal_rows(table, term, sequence)
    if previous.value and previous.value != str(sequence):
        previous_key = get_snapshot_object_key(zone, JournalSequence(int(previous.value)))
        await objects.delete_object(previous_key, PLATFORM_TIMEOUT_SECONDS)


async def _delete_journal_rows(table: Table, term: Term, sequence: JournalSequence) -> None:
    last = get_batch_key(term.zone, sequence)
    while True:
        rows = await table.scan(
            get_journal_prefix(term.zone), "", DELETE_PAGE_ROWS, PLATFORM_TIMEOUT_SECONDS
        )
        keys = tuple(row.key for row in rows if row.key <= last)
        if not keys:
            return
        await table.commit(
            Transaction(
                write_id=WriteId(f"truncate-{term.zone}-{sequence}"),
                checks=((get_epoch_key(term.zone), term.epoch_version),),
                deletes=keys,
            ),
            PLATFORM_TIMEOUT_SECONDS,
        )

"""Rebuilds a zone's state from its last snapshot and the journal batches after it."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from lentilpath_core.errors import Unavailable
from lentilpath_core.ids import JournalSequence, ZoneId
from lentilpath_core.leadership import get_epoch_key
from lentilpath_core.zone.journal import (
    JournalBatch,
    decode_batch,
    get_batch_key,
    get_journal_prefix,
)
from lentilpath_core.zone.state import ZoneState, apply_batch, create_zone_state
from lentilpathd._authority import Authority
from lentilpathd._ports import ObjectStore, Table
from lentilpathd._zone._errors import Deposed

READ_TIMEOUT_SECONDS = 3.0
SCAN_ROWS = 100

_decoder = msgspec.msgpack.Decoder(ZoneState)


class BrokenJournal(Unavailable):
    """The journal or its snapshot is unreadable; the zone has no leader until this is repaired."""

    code = "broken-journal"


def get_snapshot_row_key(zone: ZoneId) -> str:
    """Return the key of the row that names the zone's last snapshot."""
    return f"snapshot/{zone}"


def get_snapshot_object_key(zone: ZoneId, sequence: JournalSequence) -> str:
    """Return the key of the snapshot object after batch `sequence`."""
    return f"snapshots/{zone}/{sequence:012d}"


async def check_epoch(table: Table, zone: ZoneId, authority: Authority) -> None:
    """Raise `Deposed` if another process has taken over the zone since `authority` was gained."""
    row = (await table.read((get_epoch_key(zone),), READ_TIMEOUT_SECONDS))[0]
    if row.version != authority.epoch_version:
        raise Deposed(f"zone {zone} was taken over after epoch {authority.epoch}")


@dataclass(frozen=True, slots=True)
class RecoveredZone:
    """The durable state of a zone."""

    state: ZoneState
    """The state replayed from the whole journal."""
    batches: list[JournalBatch]
    """The batches after the last snapshot; they are not archived yet."""


async def recover_zone(table: Table, objects: ObjectStore, zone: ZoneId) -> RecoveredZone:
    """Return the state of `zone` and its journal batches that are not archived.

    Call it only after `check_epoch`, after which no other process can append to the journal.
    Raises `Unavailable` if the platform is unreachable and `BrokenJournal` if the snapshot or a
    batch is missing or unreadable.
    """
    state = await _load_snapshot(table, objects, zone)
    batches: list[JournalBatch] = []
    after = get_batch_key(zone, state.sequence)
    while True:
        rows = await table.scan(get_journal_prefix(zone), after, SCAN_ROWS, READ_TIMEOUT_SECONDS)
        for row in rows:
            batches.append(_apply_row(state, row.key, row.value))
            after = row.key
        if len(rows) < SCAN_ROWS:
            return RecoveredZone(state, batches)


async def _load_snapshot(table: Table, objects: ObjectStore, zone: ZoneId) -> ZoneState:
    row = (await table.read((get_snapshot_row_key(zone),), READ_TIMEOUT_SECONDS))[0]
    if not row.value:
        return create_zone_state(zone)
    sequence = JournalSequence(int(row.value))
    data = await objects.get_object(get_snapshot_object_key(zone, sequence), READ_TIMEOUT_SECONDS)
    if data is None:
        raise BrokenJournal(f"zone {zone}: the object of snapshot {sequence} is missing")
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise BrokenJournal(f"zone {zone}: snapshot {sequence} is unreadable: {error}") from error


def _apply_row(state: ZoneState, key: str, value: str) -> JournalBatch:
    try:
        batch = decode_batch(value)
    except msgspec.DecodeError as error:
        raise BrokenJournal(f"{key} is unreadable: {error}") from error
    if batch.sequence != state.sequence + 1:
        raise BrokenJournal(f"{key} follows batch {state.sequence}; a batch in between is missing")
    apply_batch(state, batch)
    return batch

"""The durable audit trail of all commands: reads, refusals and changes.

The transaction that applies an accepted command also adds it to the audit trail. Other commands
are buffered for one second and written in batches, so that many reads cost one write. Old rows are
archived as a hash chain of objects, which keeps the table small and makes tampering detectable.
"""

from __future__ import annotations

import asyncio
import json
import secrets
from collections import deque
from dataclasses import dataclass

import msgspec

from lentilpath_core.audit import (
    FIRST_DIGEST,
    BrokenChain,
    CommandRecord,
    decode_records,
    encode_records,
    get_audit_key,
    get_audit_prefix,
    get_command_key,
    parse_audit_time,
    seal_lines,
    verify_sealed_object,
)
from lentilpath_core.errors import LentilpathError, OutcomeUnknown, Unavailable
from lentilpath_core.ids import JobId, RowVersion, WallTime, WriteId
from lentilpath_core.language import TABLE_COLUMNS, Submit, Table, format_time, parse_command
from lentilpathd._authority import Leadership
from lentilpathd._clock import read_wall_time
from lentilpathd._context import DaemonContext
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._operators._subjects import get_job_key
from lentilpathd._operators._zones import COUNT_JOB_TASKS, ZoneQueryService
from lentilpathd._ports import Row, Transaction

FLUSH_INTERVAL_SECONDS = 1.0
TABLE_TIMEOUT_SECONDS = 2.0
OBJECT_TIMEOUT_SECONDS = 10.0
MAX_BUFFERED_RECORDS = 10_000
RECORDS_PER_ROW = 200
MAX_ROW_SPAN_MS = 1_000
"""Time between the first and the last record of a row, after an outage too. A list that begins at
some time need not read rows that begin earlier than that."""
ROWS_PER_SCAN = 500
MAX_LISTED_ROWS = 5_000
TABLE_RETENTION_MS = 2 * 86_400_000
FLUSHES_PER_ARCHIVE_RUN = 60
ARCHIVE_ROW = "audit-archive"
ARCHIVE_PREFIX = "audit/"
WRITE_ID_BYTES = 12


class ArchiveState(msgspec.Struct, frozen=True):
    """Row `audit-archive`: the number of archived objects and the end of their hash chain."""

    objects: int = 0
    digest: str = FIRST_DIGEST


@dataclass(frozen=True, slots=True)
class ListedRecords:
    """Records of the trail, oldest first."""

    table: Table
    cut_at: WallTime | None = None
    """Time from which on records are missing, since the list would be too long; else `None`."""


class AuditTrail:
    """Writes, lists and archives audit records."""

    def __init__(
        self, context: DaemonContext, leadership: Leadership, zones: ZoneQueryService
    ) -> None:
        self._context = context
        self._zones = zones
        self._leadership = leadership
        self._buffer: deque[CommandRecord] = deque()
        self._dropped_records = 0
        self._batch: tuple[CommandRecord, ...] = ()
        """Records that are being written; their row stays the same until it is stored."""
        self._flush_lock = asyncio.Lock()

    def add(self, record: CommandRecord) -> None:
        """Buffer the record of a read, dry run or failed command; it is durable in about 1 s.

        Drops the oldest buffered record if `MAX_BUFFERED_RECORDS` records are buffered.
        """
        if len(self._buffer) >= MAX_BUFFERED_RECORDS:
            self._buffer.popleft()
            self._dropped_records += 1
        self._buffer.append(record)

    async def run(self) -> None:
        """Flush the buffer and archive old rows until cancelled."""
        flushes = 0
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            await self.flush()
            flushes += 1
            if flushes % FLUSHES_PER_ARCHIVE_RUN == 0 and self._is_archiving_host():
                await self._try_archive()

    async def flush(self) -> None:
        """Write the buffered records; records that cannot be written stay buffered."""
        if self._dropped_records:
            log_warning_event(Event.AUDIT_DROPPED, records=self._dropped_records)
            self._dropped_records = 0
        async with self._flush_lock:
            while self._batch or self._buffer:
                self._batch = self._batch or self._take_batch()
                name = f"{self._context.settings.host}-{self._batch[0].id}"
                first = min(record.at for record in self._batch)
                row = (get_audit_key(first, name), encode_records(self._batch))
                transaction = Transaction(_make_write_id(), puts=(row,))
                try:
                    await self._context.table.commit(transaction, TABLE_TIMEOUT_SECONDS)
                except (Unavailable, OutcomeUnknown):
                    # The same row is written again, so the write can be repeated safely.
                    return
                self._batch = ()

    def _take_batch(self) -> tuple[CommandRecord, ...]:
        batch: list[CommandRecord] = []
        # Half of the span on both sides, since the wall clock may have gone back.
        first = self._buffer[0].at
        while self._buffer and len(batch) < RECORDS_PER_ROW:
            if abs(self._buffer[0].at - first) > MAX_ROW_SPAN_MS // 2:
                break
            batch.append(self._buffer.popleft())
        return tuple(batch)

    async def list_records(self, since: WallTime) -> ListedRecords:
        """Return the records at or after `since`, oldest first, including archived records.

        About `MAX_LISTED_ROWS` rows of the table are read at most; the result says from which time
        on records are missing then. Raises `BrokenChain` if an archived object is missing.
        """
        records = await self._list_archived(since)
        after = get_audit_prefix(WallTime(max(0, since - MAX_ROW_SPAN_MS)))
        cut_at: WallTime | None = None
        scanned = 0
        while scanned < MAX_LISTED_ROWS:
            rows = await self._context.table.scan(
                "audit/", after, ROWS_PER_SCAN, TABLE_TIMEOUT_SECONDS
            )
            scanned += len(rows)
            records.extend(record for row in rows for record in decode_records(row.value))
            if len(rows) < ROWS_PER_SCAN:
                break
            after = rows[-1].key
        else:
            cut_at = parse_audit_time(after)
        ordered = sorted({record for record in records if record.at >= since}, key=_get_sort_key)
        rows_of_records = tuple(
            (
                format_time(record.at),
                record.operator,
                record.host,
                record.command,
                f"{record.outcome}: {record.message}" if record.message else record.outcome,
                record.id,
            )
            for record in ordered
        )
        return ListedRecords(Table(TABLE_COLUMNS["audit"], rows_of_records), cut_at)

    async def archive(self, now: WallTime) -> int:
        """Move rows older than `TABLE_RETENTION_MS` to an archive object; return their number."""
        rows = await self._context.table.scan("audit/", "", ROWS_PER_SCAN, TABLE_TIMEOUT_SECONDS)
        oldest_kept_key = get_audit_prefix(WallTime(now - TABLE_RETENTION_MS))
        old_rows = tuple(row for row in rows if row.key < oldest_kept_key)
        if not old_rows:
            return 0
        (state_row,) = await self._context.table.read((ARCHIVE_ROW,), TABLE_TIMEOUT_SECONDS)
        state = _read_archive_state(state_row)
        sealed = seal_lines((json.dumps([row.key, row.value]) for row in old_rows), state.digest)
        key = _make_object_key(state.objects + 1, old_rows, sealed.digest)
        await self._context.objects.put_object(key, sealed.data, OBJECT_TIMEOUT_SECONDS)
        next_state = ArchiveState(state.objects + 1, sealed.digest)
        commands = {
            record.id
            for row in old_rows
            for record in decode_records(row.value)
            if record.outcome == "accepted"
        }
        jobs = await self._list_ended_jobs(old_rows)
        transaction = Transaction(
            _make_write_id(),
            checks=((ARCHIVE_ROW, RowVersion(state_row.version)),),
            puts=((ARCHIVE_ROW, msgspec.json.encode(next_state).decode()),),
            deletes=(
                *(row.key for row in old_rows),
                *(get_command_key(name) for name in sorted(commands)),
                *(get_job_key(job) for job in jobs),
            ),
        )
        result = await self._context.table.commit(transaction, TABLE_TIMEOUT_SECONDS)
        if not result.applied:
            return 0
        log_event(Event.AUDIT_ARCHIVED, rows=len(old_rows), object=key)
        return len(old_rows)

    async def _list_ended_jobs(self, rows: tuple[Row, ...]) -> tuple[JobId, ...]:
        """Return the ended jobs that `rows` submitted, so that their names can be freed.

        Raises `NoLeader` if a zone does not answer; the rows are then archived in a later run.
        """
        ended: list[JobId] = []
        for record in (record for row in rows for record in decode_records(row.value)):
            if record.outcome != "accepted" or not record.zone:
                continue
            command = parse_command(record.command, record.at)
            if not isinstance(command, Submit):
                continue
            reply = await self._zones.ask(record.zone, COUNT_JOB_TASKS, command.spec.job)
            if reply.table.rows[0][0] == 0:
                ended.append(command.spec.job)
        return tuple(ended)

    def _is_archiving_host(self) -> bool:
        # Only one host archives, because concurrent archive transactions conflict.
        first = self._context.directory.list_zones()[0]
        settings = self._context.settings
        return settings.zone == first and self._leadership.get_authority() is not None

    async def _try_archive(self) -> None:
        try:
            await self.archive(read_wall_time())
        except LentilpathError as error:
            log_warning_event(Event.ARCHIVE_FAILED, error=str(error))

    async def _list_archived(self, since: WallTime) -> list[CommandRecord]:
        if since >= read_wall_time() - TABLE_RETENTION_MS:
            return []
        keys = await self._context.objects.list_objects(ARCHIVE_PREFIX, OBJECT_TIMEOUT_SECONDS)
        records: list[CommandRecord] = []
        for key in keys:
            _, last, digest = key.rsplit("-", 2)
            if int(last) < since:
                continue
            data = await self._context.objects.get_object(key, OBJECT_TIMEOUT_SECONDS)
            if data is None:
                raise BrokenChain(f"the archived object {key} is missing")
            for line in verify_sealed_object(data, digest).lines:
                records.extend(decode_records(json.loads(line)[1]))
        return records


def _read_archive_state(row: Row) -> ArchiveState:
    return msgspec.json.decode(row.value, type=ArchiveState) if row.value else ArchiveState()


def _make_object_key(number: int, rows: tuple[Row, ...], digest: str) -> str:
    times = [record.at for row in rows for record in decode_records(row.value)]
    return f"{ARCHIVE_PREFIX}{number:08d}-{min(times)}-{max(times)}-{digest}"


def _make_write_id() -> WriteId:
    return WriteId(secrets.token_hex(WRITE_ID_BYTES))


def _get_sort_key(record: CommandRecord) -> tuple[int, str]:
    return (record.at, record.id)

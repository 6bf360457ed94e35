"""Maintains the usage ledger of the zone that this host leads, and seals billing periods.

The journal is read from the table rather than received from the zone's driver, and the stored
ledger records the last batch it includes. No batch is therefore missed or counted twice when the
leader changes.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import secrets
from collections import defaultdict
from collections.abc import Iterator

import msgspec

from lentilpath_core.audit import FIRST_DIGEST, seal_lines
from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import CustomerId, JobId, JournalSequence, RowVersion, WallTime, WriteId
from lentilpath_core.usage import (
    FindPriceRule,
    Ledger,
    UsageLine,
    apply_batch,
    can_seal_period,
    create_ledger,
    format_period,
    iterate_open_lines,
    prune_ledger,
    seal_period_by_task,
)
from lentilpath_core.zone.journal import (
    JobAccepted,
    JournalBatch,
    decode_batch,
    get_batch_key,
    get_journal_prefix,
)
from lentilpathd._clock import read_wall_time
from lentilpathd._context import DaemonContext
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._operators._accounts import (
    OBJECT_TIMEOUT_SECONDS,
    TABLE_TIMEOUT_SECONDS,
    ManifestEntry,
    UsageState,
    decode_usage_state,
    get_ledger_object_key,
    get_lines_object_key,
    get_manifest_object_key,
    get_period_key,
    get_usage_state_key,
)
from lentilpathd._operators._burn import BurnRecorder
from lentilpathd._operators._zone import ZoneAccess
from lentilpathd._ports import Transaction
from lentilpathd._zone._snapshots import decode_archive, get_archive_prefix

STEP_INTERVAL_SECONDS = 5.0
BATCHES_PER_SCAN = 500
TASKS_PER_YIELD = 100
"""Number of tasks billed before yielding to the event loop."""
WRITE_ID_BYTES = 12


class Accountant:
    """Computes and seals the usage of this host's zone while this host leads it."""

    def __init__(
        self,
        context: DaemonContext,
        zone: ZoneAccess | None,
        find_rule: FindPriceRule,
        burn: BurnRecorder,
    ) -> None:
        self._context = context
        self._zone = zone
        self._find_rule = find_rule
        self._burn = burn
        self._last_recorded_sequence = JournalSequence(0)
        self._ledger: Ledger | None = None
        self._state: UsageState | None = None
        self._row_version = RowVersion(0)
        self._step_lock = asyncio.Lock()

    async def run(self) -> None:
        """Read the journal and seal periods until cancelled."""
        while True:
            await asyncio.sleep(STEP_INTERVAL_SECONDS)
            try:
                await self.step(read_wall_time())
            except LentilpathError as error:
                log_warning_event(Event.USAGE_FAILED, error=str(error))

    async def step(self, now: WallTime) -> None:
        """Apply new journal batches and seal all periods that can be sealed.

        Discards the ledger and does nothing else if this host does not lead the zone.
        """
        async with self._step_lock:
            if self._zone is None or self._zone.get_state() is None:
                self._ledger = None
                return
            try:
                await self._follow_journal(now)
                assert self._ledger is not None
                while can_seal_period(self._ledger, now):
                    await self._seal_period()
            except BaseException:
                # The ledger may be partly updated; the next step reloads it from storage.
                self._ledger = None
                raise

    async def list_open_lines(self, customer: CustomerId | None) -> tuple[UsageLine, ...]:
        """Return the unsealed usage lines of `customer`, or of all customers if `None`."""
        now = read_wall_time()
        await self.step(now)
        async with self._step_lock:
            if self._ledger is None:
                return ()
            return await _collect_lines(
                iterate_open_lines(self._ledger, self._find_rule, now, customer)
            )

    async def _follow_journal(self, now: WallTime) -> None:
        if self._ledger is None:
            self._ledger = await self._load_ledger(now)
            await self._apply_archived_batches(self._ledger)
        ledger = self._ledger
        prefix = get_journal_prefix(ledger.zone)
        while True:
            after = get_batch_key(ledger.zone, ledger.sequence)
            rows = await self._context.table.scan(
                prefix, after, BATCHES_PER_SCAN, TABLE_TIMEOUT_SECONDS
            )
            batches = [decode_batch(row.value) for row in rows]
            if batches and batches[0].sequence > ledger.sequence + 1:
                await self._apply_archived_batches(ledger)
            missing_before = ledger.missing_batches
            for batch in batches:
                self._apply_batch(ledger, batch)
            if ledger.missing_batches > missing_before:
                count = ledger.missing_batches - missing_before
                log_warning_event(Event.USAGE_BATCHES_MISSING, zone=ledger.zone, batches=count)
            if len(rows) < BATCHES_PER_SCAN:
                return

    async def _apply_archived_batches(self, ledger: Ledger) -> None:
        # The zone archives old journal rows to the object store, possibly before this reader has
        # applied them.
        keys = await self._context.objects.list_objects(
            get_archive_prefix(ledger.zone), OBJECT_TIMEOUT_SECONDS
        )
        for key in sorted(keys):
            if int(key.rpartition("-")[2]) <= ledger.sequence:
                continue
            data = await self._context.objects.get_object(key, OBJECT_TIMEOUT_SECONDS)
            for batch in decode_archive(data) if data is not None else ():
                self._apply_batch(ledger, batch)

    def _apply_batch(self, ledger: Ledger, batch: JournalBatch) -> None:
        apply_batch(ledger, batch)
        self._record_burn(batch)

    def _record_burn(self, batch: JournalBatch) -> None:
        # Batches are applied again after the ledger is reloaded; record each of them only once.
        state = self._zone.get_state() if self._zone is not None else None
        if state is not None and batch.sequence > self._last_recorded_sequence:
            self._last_recorded_sequence = batch.sequence
            self._burn.record_batch(batch, state)

    async def _load_ledger(self, now: WallTime) -> Ledger:
        zone = self._context.settings.zone
        (row,) = await self._context.table.read((get_usage_state_key(zone),), TABLE_TIMEOUT_SECONDS)
        self._row_version = row.version
        self._state = decode_usage_state(row)
        if self._state is None:
            return create_ledger(zone, await self._find_first_job_time(now))
        data = await self._context.objects.get_object(self._state.ledger, OBJECT_TIMEOUT_SECONDS)
        if data is None:
            raise LentilpathError(
                f"the ledger {self._state.ledger} is gone from the object store; restore it, or "
                f"delete the row {get_usage_state_key(zone)} to count the journal anew"
            )
        return msgspec.json.decode(data, type=Ledger)

    async def _find_first_job_time(self, now: WallTime) -> WallTime:
        # A zone without sealed usage starts at the period of its first job, so that no line has
        # to be billed late.
        prefix = get_journal_prefix(self._context.settings.zone)
        rows = await self._context.table.scan(prefix, "", BATCHES_PER_SCAN, TABLE_TIMEOUT_SECONDS)
        accepted = [
            event.accepted_at
            for row in rows
            for event in decode_batch(row.value).events
            if isinstance(event, JobAccepted)
        ]
        return min([now, *accepted])

    async def _seal_period(self) -> None:
        ledger = self._ledger
        assert ledger is not None
        period_name = format_period(ledger.period)
        lines = await _collect_lines(seal_period_by_task(ledger, self._find_rule))
        prune_ledger(ledger, self._is_open)
        previous = self._state
        if not lines and previous is not None and previous.sequence == ledger.sequence:
            return
        puts: list[tuple[str, str]] = []
        manifests = previous.manifests if previous is not None else 0
        digest = previous.digest if previous is not None else FIRST_DIGEST
        if lines:
            digest = await self._put_lines(period_name, lines, digest)
            manifests += 1
            puts.append((get_period_key(ledger.zone, period_name), digest))
        state = UsageState(
            ledger.sequence, ledger.period, manifests, digest, await self._put_ledger(ledger)
        )
        key = get_usage_state_key(ledger.zone)
        puts.append((key, msgspec.json.encode(state).decode()))
        transaction = Transaction(
            WriteId(secrets.token_hex(WRITE_ID_BYTES)),
            checks=((key, self._row_version),),
            puts=tuple(puts),
        )
        result = await self._context.table.commit(transaction, TABLE_TIMEOUT_SECONDS)
        if not result.applied:
            raise LentilpathError(f"{key} was sealed by another host; reading it again")
        log_event(Event.USAGE_SEALED, zone=ledger.zone, period=period_name, lines=len(lines))
        (row,) = await self._context.table.read((key,), TABLE_TIMEOUT_SECONDS)
        if decode_usage_state(row) != state:
            raise LentilpathError(f"{key} was sealed by another host; reading it again")
        self._row_version = row.version
        self._state = state
        if previous is not None:
            await self._context.objects.delete_object(previous.ledger, OBJECT_TIMEOUT_SECONDS)

    async def _put_lines(self, period_name: str, lines: tuple[UsageLine, ...], digest: str) -> str:
        zone = self._context.settings.zone
        by_customer: dict[CustomerId, list[UsageLine]] = defaultdict(list)
        for line in lines:
            by_customer[line.customer].append(line)
        entries: list[ManifestEntry] = []
        for customer, customer_lines in sorted(by_customer.items()):
            texts = sorted(msgspec.json.encode(line).decode() for line in customer_lines)
            sealed = seal_lines(texts, digest)
            key = get_lines_object_key(zone, sealed.digest)
            await self._context.objects.put_object(key, sealed.data, OBJECT_TIMEOUT_SECONDS)
            held_ms = sum(line.held_ms for line in customer_lines)
            charge_units = sum(line.charge_units for line in customer_lines)
            entries.append(
                ManifestEntry(customer, sealed.digest, len(customer_lines), held_ms, charge_units)
            )
        header = json.dumps({"zone": zone, "period": period_name})
        manifest = seal_lines((header, *(msgspec.json.encode(e).decode() for e in entries)), digest)
        key = get_manifest_object_key(zone, manifest.digest)
        await self._context.objects.put_object(key, manifest.data, OBJECT_TIMEOUT_SECONDS)
        return manifest.digest

    async def _put_ledger(self, ledger: Ledger) -> str:
        data = msgspec.json.encode(ledger)
        key = get_ledger_object_key(ledger.zone, hashlib.sha256(data).hexdigest())
        await self._context.objects.put_object(key, data, OBJECT_TIMEOUT_SECONDS)
        return key

    def _is_open(self, job: JobId) -> bool:
        state = self._zone.get_state() if self._zone is not None else None
        record = state.jobs.get(job) if state is not None else None
        return record is not None and record.open_tasks > 0


async def _collect_lines(line_batches: Iterator[list[UsageLine]]) -> tuple[UsageLine, ...]:
    lines: list[UsageLine] = []
    for number, line_batch in enumerate(line_batches, 1):
        lines.extend(line_batch)
        if number % TASKS_PER_YIELD == 0:
            await asyncio.sleep(0)
    return tuple(lines)

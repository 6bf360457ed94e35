"""Keeps the ledger of the zone that this host leads, and seals its periods.

The journal is read from the table, not taken from the zone's driver, so that nothing is missed or
counted twice when the leader changes: the stored ledger names the last batch that it holds.
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
    FindRule,
    Ledger,
    UsageLine,
    create_ledger,
    forget_settled,
    is_period_over,
    iterate_open_lines,
    iterate_seal,
    name_period,
    take_batch,
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
    OBJECT_SECONDS,
    TABLE_SECONDS,
    ManifestEntry,
    UsageState,
    get_ledger_object,
    get_lines_object,
    get_manifest_object,
    get_period_key,
    get_state_key,
    read_state,
)
from lentilpathd._operators._burn import BurnRecorder
from lentilpathd._operators._zone import ZoneAccess
from lentilpathd._ports import Transaction
from lentilpathd._zone._snapshots import decode_archive, get_archive_prefix

STEP_SECONDS = 5.0
BATCHES_PER_SCAN = 500
TASKS_PER_TURN = 100
"""Tasks that are billed before other work of the process gets its turn."""
WRITE_ID_BYTES = 12


class Accountant:
    """The usage of this host's zone, while this host leads it."""

    def __init__(
        self,
        context: DaemonContext,
        zone: ZoneAccess | None,
        find_rule: FindRule,
        burn: BurnRecorder,
    ) -> None:
        self._context = context
        self._zone = zone
        self._find_rule = find_rule
        self._burn = burn
        self._counted = JournalSequence(0)
        self._ledger: Ledger | None = None
        self._state: UsageState | None = None
        self._row_version = RowVersion(0)
        self._busy = asyncio.Lock()

    async def run(self) -> None:
        """Follow the journal and seal periods until cancelled."""
        while True:
            await asyncio.sleep(STEP_SECONDS)
            try:
                await self.step(read_wall_time())
            except LentilpathError as error:
                log_warning_event(Event.USAGE_FAILED, error=str(error))

    async def step(self, now: WallTime) -> None:
        """Take in new batches and seal what can be sealed; does nothing if another host leads."""
        async with self._busy:
            if self._zone is None or self._zone.get_state() is None:
                self._ledger = None
                return
            try:
                await self._follow_journal(now)
                assert self._ledger is not None
                while is_period_over(self._ledger, now):
                    await self._seal()
            except BaseException:
                # Whatever was half done here is done again from what the table says.
                self._ledger = None
                raise

    async def list_open_lines(self, customer: CustomerId | None) -> tuple[UsageLine, ...]:
        """Return the lines that are not sealed yet, of one customer or of all."""
        now = read_wall_time()
        await self.step(now)
        async with self._busy:
            if self._ledger is None:
                return ()
            return await _collect(iterate_open_lines(self._ledger, self._find_rule, now, customer))

    async def _follow_journal(self, now: WallTime) -> None:
        if self._ledger is None:
            self._ledger = await self._load(now)
            await self._take_archived(self._ledger)
        ledger = self._ledger
        prefix = get_journal_prefix(ledger.zone)
        while True:
            after = get_batch_key(ledger.zone, ledger.sequence)
            rows = await self._context.table.scan(prefix, after, BATCHES_PER_SCAN, TABLE_SECONDS)
            batches = [decode_batch(row.value) for row in rows]
            if batches and batches[0].sequence > ledger.sequence + 1:
                await self._take_archived(ledger)
            missing = ledger.missing_batches
            for batch in batches:
                self._take(ledger, batch)
            if ledger.missing_batches > missing:
                count = ledger.missing_batches - missing
                log_warning_event(Event.USAGE_BATCHES_MISSING, zone=ledger.zone, batches=count)
            if len(rows) < BATCHES_PER_SCAN:
                return

    async def _take_archived(self, ledger: Ledger) -> None:
        # The zone moves old rows of its journal into objects, perhaps before they were read here.
        keys = await self._context.objects.list_objects(
            get_archive_prefix(ledger.zone), OBJECT_SECONDS
        )
        for key in sorted(keys):
            if int(key.rpartition("-")[2]) <= ledger.sequence:
                continue
            data = await self._context.objects.get_object(key, OBJECT_SECONDS)
            for batch in decode_archive(data) if data is not None else ():
                self._take(ledger, batch)

    def _take(self, ledger: Ledger, batch: JournalBatch) -> None:
        take_batch(ledger, batch)
        self._count_for_burn(batch)

    def _count_for_burn(self, batch: JournalBatch) -> None:
        # A ledger that is read again brings batches again, which are counted once.
        state = self._zone.get_state() if self._zone is not None else None
        if state is not None and batch.sequence > self._counted:
            self._counted = batch.sequence
            self._burn.take_batch(batch, state)

    async def _load(self, now: WallTime) -> Ledger:
        zone = self._context.settings.zone
        (row,) = await self._context.table.read((get_state_key(zone),), TABLE_SECONDS)
        self._row_version = row.version
        self._state = read_state(row)
        if self._state is None:
            return create_ledger(zone, await self._find_first_job_time(now))
        data = await self._context.objects.get_object(self._state.ledger, OBJECT_SECONDS)
        if data is None:
            raise LentilpathError(
                f"the ledger {self._state.ledger} is gone from the object store; restore it, or "
                f"delete the row {get_state_key(zone)} to count the journal anew"
            )
        return msgspec.json.decode(data, type=Ledger)

    async def _find_first_job_time(self, now: WallTime) -> WallTime:
        # A zone whose usage was never sealed starts with the period of its first job, so that no
        # line has to stand as a late one.
        prefix = get_journal_prefix(self._context.settings.zone)
        rows = await self._context.table.scan(prefix, "", BATCHES_PER_SCAN, TABLE_SECONDS)
        accepted = [
            event.accepted_at
            for row in rows
            for event in decode_batch(row.value).events
            if isinstance(event, JobAccepted)
        ]
        return min([now, *accepted])

    async def _seal(self) -> None:
        ledger = self._ledger
        assert ledger is not None
        period_name = name_period(ledger.period)
        lines = await _collect(iterate_seal(ledger, self._find_rule))
        forget_settled(ledger, self._is_open)
        known = self._state
        if not lines and known is not None and known.sequence == ledger.sequence:
            return
        puts: list[tuple[str, str]] = []
        manifests = known.manifests if known is not None else 0
        digest = known.digest if known is not None else FIRST_DIGEST
        if lines:
            digest = await self._put_lines(period_name, lines, digest)
            manifests += 1
            puts.append((get_period_key(ledger.zone, period_name), digest))
        state = UsageState(
            ledger.sequence, ledger.period, manifests, digest, await self._put_ledger(ledger)
        )
        key = get_state_key(ledger.zone)
        puts.append((key, msgspec.json.encode(state).decode()))
        transaction = Transaction(
            WriteId(secrets.token_hex(WRITE_ID_BYTES)),
            checks=((key, self._row_version),),
            puts=tuple(puts),
        )
        result = await self._context.table.commit(transaction, TABLE_SECONDS)
        if not result.applied:
            raise LentilpathError(f"{key} was sealed by another host; reading it again")
        log_event(Event.USAGE_SEALED, zone=ledger.zone, period=period_name, lines=len(lines))
        (row,) = await self._context.table.read((key,), TABLE_SECONDS)
        if read_state(row) != state:
            raise LentilpathError(f"{key} was sealed by another host; reading it again")
        self._row_version = row.version
        self._state = state
        if known is not None:
            await self._context.objects.delete_object(known.ledger, OBJECT_SECONDS)

    async def _put_lines(self, period_name: str, lines: tuple[UsageLine, ...], digest: str) -> str:
        zone = self._context.settings.zone
        by_customer: dict[CustomerId, list[UsageLine]] = defaultdict(list)
        for line in lines:
            by_customer[line.customer].append(line)
        entries: list[ManifestEntry] = []
        for customer, own in sorted(by_customer.items()):
            texts = sorted(msgspec.json.encode(line).decode() for line in own)
            sealed = seal_lines(texts, digest)
            key = get_lines_object(zone, sealed.digest)
            await self._context.objects.put_object(key, sealed.data, OBJECT_SECONDS)
            held_ms = sum(line.held_ms for line in own)
            charge_units = sum(line.charge_units for line in own)
            entries.append(ManifestEntry(customer, sealed.digest, len(own), held_ms, charge_units))
        head = json.dumps({"zone": zone, "period": period_name})
        manifest = seal_lines((head, *(msgspec.json.encode(e).decode() for e in entries)), digest)
        key = get_manifest_object(zone, manifest.digest)
        await self._context.objects.put_object(key, manifest.data, OBJECT_SECONDS)
        return manifest.digest

    async def _put_ledger(self, ledger: Ledger) -> str:
        data = msgspec.json.encode(ledger)
        key = get_ledger_object(ledger.zone, hashlib.sha256(data).hexdigest())
        await self._context.objects.put_object(key, data, OBJECT_SECONDS)
        return key

    def _is_open(self, job: JobId) -> bool:
        state = self._zone.get_state() if self._zone is not None else None
        record = state.jobs.get(job) if state is not None else None
        return record is not None and record.open_tasks > 0


async def _collect(parts: Iterator[list[UsageLine]]) -> tuple[UsageLine, ...]:
    lines: list[UsageLine] = []
    for number, part in enumerate(parts, 1):
        lines.extend(part)
        if number % TASKS_PER_TURN == 0:
            await asyncio.sleep(0)
    return tuple(lines)

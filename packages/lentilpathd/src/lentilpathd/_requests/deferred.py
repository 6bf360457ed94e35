"""Records deferred requests in the table and delivers them to runners."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Awaitable, Callable

import msgspec

from lentilpath_core.errors import LentilpathError, OutcomeUnknown, TableUnavailable, Unavailable
from lentilpath_core.ids import Incarnation, Instant, RequestId, RowVersion, WriteId, ZoneId
from lentilpath_core.requests.deferred import (
    DeferredRecord,
    DeferredState,
    OrphanDecision,
    decide_orphan,
    decode_deferred,
    encode_deferred,
    get_done_row,
    get_waiting_prefix,
    get_waiting_row,
)
from lentilpath_core.requests.keys import (
    KeyRecord,
    KeyState,
    compute_fingerprint,
    decode_key_record,
    encode_key_record,
    get_key_row,
)
from lentilpath_core.requests.messages import (
    CallerRequest,
    FailureReason,
    Outcome,
    Priority,
    RequestFailed,
    ServiceAnswer,
)
from lentilpath_core.requests.policy import RequestPolicy
from lentilpathd._authority import Leadership
from lentilpathd._clock import read_instant, read_wall_time
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._ports import ABSENT, ObjectStore, Row, Table, Transaction
from lentilpathd._requests.rows import (
    RETRY_AFTER_MS,
    TABLE_TIMEOUT_SECONDS,
    TableCircuitBreaker,
    commit_with_retry,
    store_answer,
)

SCAN_INTERVAL_SECONDS = 1.0
SCAN_ROWS = 100
MAX_CONCURRENT_DELIVERIES = 32
"""Deferred requests that this host delivers concurrently."""
RETRY_DELAY_SECONDS = 0.5
MS_PER_SECOND = 1_000

SendRequest = Callable[[CallerRequest], Awaitable[ServiceAnswer]]


class DeferredRequests:
    """Accepts deferred requests and delivers them, also those whose accepting host is gone."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        breaker: TableCircuitBreaker,
        zone: ZoneId,
        incarnation: Incarnation,
        leadership: Leadership,
        policy: RequestPolicy,
        send_request: SendRequest,
    ) -> None:
        self._table = table
        self._objects = objects
        self._breaker = breaker
        self._zone = zone
        self._incarnation = incarnation
        self._leadership = leadership
        self._policy = policy
        self._send_request = send_request
        self._deliveries: dict[str, asyncio.Task[None]] = {}
        self._unchanged_since: dict[str, tuple[RowVersion, Instant]] = {}
        """By row key, the version of a waiting row and when it was first seen."""
        self._wake = asyncio.Event()
        self._accepted: set[str] = set()
        """Ids of requests that were accepted here and whose delivery has not started."""
        self._stopping = False

    async def accept(self, request: CallerRequest) -> str:
        """Record `request` durably and return its id; raises `RequestFailed`."""
        if not self._breaker.allow_call(read_instant()):
            raise _make_table_failure("the table is out of reach")
        record = self._make_record(request)
        transaction = self._make_acceptance(request, record)
        try:
            result = await commit_with_retry(self._table, transaction)
        except TableUnavailable as error:
            self._breaker.record_result(False, read_instant())
            raise _make_table_failure(str(error)) from error
        except OutcomeUnknown as error:
            self._breaker.record_result(False, read_instant())
            raise RequestFailed(
                FailureReason.OUTCOME_UNKNOWN,
                f"whether it was accepted is shown by /deferred/{record.deferred} later: {error}",
                RETRY_AFTER_MS,
            ) from error
        except BaseException:
            self._breaker.abandon_call()
            raise
        self._breaker.record_result(True, read_instant())
        if not result.applied:
            return _find_existing_deferred(result.conflicts, request)
        self._accepted.add(record.deferred)
        self._wake.set()
        return record.deferred

    async def find(self, deferred: str) -> DeferredRecord | None:
        """Return the record of a deferred request, or `None`; raises `RequestFailed`."""
        rows = (get_done_row(deferred), get_waiting_row(deferred))
        try:
            # A request that ends moves from its waiting row to its done row, possibly between two
            # reads, so the waiting row is not read first. If neither is there, both are read again.
            found = await self._table.read(rows, TABLE_TIMEOUT_SECONDS)
            if all(row.version == ABSENT for row in found):
                found = await self._table.read(rows, TABLE_TIMEOUT_SECONDS)
        except Unavailable as error:
            raise _make_table_failure(str(error)) from error
        for row in found:
            if row.version != ABSENT:
                return decode_deferred(row.value)
        return None

    async def run(self) -> None:
        """Deliver accepted and orphaned requests until cancelled."""
        while not self._stopping:
            try:
                await self._deliver_accepted()
                await self._deliver_orphans()
            except Unavailable as error:
                log_warning_event(Event.KEY_RECORD_FAILED, error=str(error))
            await self._sleep()
        await asyncio.Event().wait()

    async def stop(self, timeout: float) -> None:
        """Start no more deliveries and wait up to `timeout` seconds for those in progress."""
        self._stopping = True
        self._wake.set()
        if self._deliveries:
            await asyncio.wait(tuple(self._deliveries.values()), timeout=timeout)

    def abort(self) -> None:
        """Cancel all deliveries in progress; called when `Requests.run` ends."""
        for task in self._deliveries.values():
            task.cancel()

    async def _sleep(self) -> None:
        try:
            async with asyncio.timeout(SCAN_INTERVAL_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    async def _deliver_accepted(self) -> None:
        names = tuple(self._accepted)[: MAX_CONCURRENT_DELIVERIES - len(self._deliveries)]
        if not names:
            return
        rows = await self._table.read(
            tuple(get_waiting_row(name) for name in names), TABLE_TIMEOUT_SECONDS
        )
        for name, row in zip(names, rows, strict=True):
            self._accepted.discard(name)
            if row.version != ABSENT:
                self._start_delivery(decode_deferred(row.value), row.version)

    async def _deliver_orphans(self) -> None:
        if not self._is_responsible_for_orphans():
            return
        rows = await self._table.scan(
            get_waiting_prefix(self._zone), "", SCAN_ROWS, TABLE_TIMEOUT_SECONDS
        )
        now = read_instant()
        seen: dict[str, tuple[RowVersion, Instant]] = {}
        for row in rows:
            known = self._unchanged_since.get(row.key)
            seen[row.key] = known if known and known[0] == row.version else (row.version, now)
            self._handle_orphan(row, seen[row.key][1], now)
        self._unchanged_since = seen

    def _is_responsible_for_orphans(self) -> bool:
        # The zone's leader delivers orphans; without a known leader each host does. Several hosts
        # may do so at once, because each step is a conditional write.
        authority = self._leadership.get_authority()
        return authority is not None or self._leadership.get_leader(self._zone) is None

    def _handle_orphan(self, row: Row, unchanged_since: Instant, now: Instant) -> None:
        record = decode_deferred(row.value)
        if (
            record.deferred in self._deliveries
            or len(self._deliveries) >= MAX_CONCURRENT_DELIVERIES
        ):
            return
        decision = decide_orphan(record, unchanged_since, now, self._policy.max_run_ms)
        if decision is OrphanDecision.SEND:
            self._start_delivery(record, row.version)
        elif decision is OrphanDecision.REPORT_UNKNOWN:
            ended = msgspec.structs.replace(record, state=DeferredState.UNKNOWN)
            self._spawn(record.deferred, self._record_outcome(ended, row.version))

    def _start_delivery(self, record: DeferredRecord, version: RowVersion) -> None:
        if not self._stopping:
            self._spawn(record.deferred, self._deliver(record, version))

    def _spawn(self, deferred: str, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._deliveries[deferred] = task
        task.add_done_callback(lambda done: self._on_delivery_done(deferred, done))

    def _on_delivery_done(self, deferred: str, done: asyncio.Task[None]) -> None:
        del self._deliveries[deferred]
        if not done.cancelled() and (error := done.exception()) is not None:
            # The waiting row is still there, so a later scan starts the delivery again.
            log_warning_event(Event.KEY_RECORD_FAILED, deferred=deferred, error=repr(error))
        self._wake.set()

    async def _deliver(self, record: DeferredRecord, version: RowVersion) -> None:
        while True:
            claimed = await self._claim(record, version)
            if claimed is None:
                return
            record, version, claimed_at = claimed
            if read_instant() - claimed_at > self._policy.max_run_ms // 2:
                continue
            ended = await self._send(record)
            if ended.state is not DeferredState.ACCEPTED:
                await self._record_outcome(ended, version)
                return
            if self._stopping:
                await self._release_claim(ended, version)
                return
            record = ended
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _claim(
        self, record: DeferredRecord, version: RowVersion
    ) -> tuple[DeferredRecord, RowVersion, Instant] | None:
        """Mark the row as being sent by this host; return `None` if another host claimed it."""
        claimed_at = read_instant()
        claim = msgspec.structs.replace(
            record,
            state=DeferredState.SENDING,
            token=uuid.uuid4().hex,
            attempts=record.attempts + 1,
        )
        row = get_waiting_row(record.deferred)
        transaction = Transaction(
            WriteId(claim.token), ((row, version),), ((row, encode_deferred(claim)),)
        )
        result = await commit_with_retry(self._table, transaction)
        if not result.applied:
            return None
        found = (await self._table.read((row,), TABLE_TIMEOUT_SECONDS))[0]
        if found.value != encode_deferred(claim):
            return None
        return claim, found.version, claimed_at

    async def _send(self, record: DeferredRecord) -> DeferredRecord:
        """Send the request once and return its record with the outcome."""
        request = CallerRequest(
            RequestId(record.token),
            record.customer,
            record.service,
            record.method,
            record.target,
            record.headers,
            record.body,
            Priority.NORMAL,
            Instant(read_instant() + self._policy.max_run_ms // 2),
        )
        try:
            answer = await self._send_request(request)
        except RequestFailed as failure:
            repeat = failure.reason.outcome is Outcome.NOT_RUN or record.may_repeat()
            state = DeferredState.ACCEPTED if repeat else DeferredState.UNKNOWN
            return msgspec.structs.replace(record, state=state)
        stored = await store_answer(answer, self._objects, record.token)
        return msgspec.structs.replace(record, state=DeferredState.DELIVERED, answer=stored)

    async def _record_outcome(self, ended: DeferredRecord, version: RowVersion) -> None:
        """Record how the request ended, retrying until the table accepts the write."""
        waiting = get_waiting_row(ended.deferred)
        done = get_done_row(ended.deferred)
        transaction = Transaction(
            WriteId(uuid.uuid4().hex),
            ((waiting, version),),
            ((done, encode_deferred(ended)),),
            (waiting,),
        )
        while True:
            try:
                await commit_with_retry(self._table, transaction)
                break
            except LentilpathError as error:
                log_warning_event(
                    Event.KEY_RECORD_FAILED, deferred=ended.deferred, error=str(error)
                )
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        if ended.state is DeferredState.UNKNOWN:
            log_warning_event(Event.DEFERRED_UNKNOWN, deferred=ended.deferred)
        else:
            log_event(Event.DEFERRED_DELIVERED, deferred=ended.deferred)

    async def _release_claim(self, record: DeferredRecord, version: RowVersion) -> None:
        row = get_waiting_row(record.deferred)
        transaction = Transaction(
            WriteId(uuid.uuid4().hex), ((row, version),), ((row, encode_deferred(record)),)
        )
        await commit_with_retry(self._table, transaction)

    def _make_record(self, request: CallerRequest) -> DeferredRecord:
        return DeferredRecord(
            f"{self._zone}/{uuid.uuid4().hex}",
            DeferredState.ACCEPTED,
            request.customer,
            request.service,
            request.method,
            request.target,
            request.headers,
            request.body,
            read_wall_time(),
            self._incarnation,
        )

    def _make_acceptance(self, request: CallerRequest, record: DeferredRecord) -> Transaction:
        row = get_waiting_row(record.deferred)
        checks: tuple[tuple[str, RowVersion], ...] = ((row, ABSENT),)
        puts: tuple[tuple[str, str], ...] = ((row, encode_deferred(record)),)
        if request.idempotency_key is not None:
            key_row = get_key_row(request.customer, request.service, request.idempotency_key)
            key_record = KeyRecord(
                KeyState.DEFERRED,
                record.deferred,
                compute_fingerprint(request),
                self._incarnation,
                read_wall_time(),
                deferred=record.deferred,
            )
            checks = (*checks, (key_row, ABSENT))
            puts = (*puts, (key_row, encode_key_record(key_record)))
        return Transaction(WriteId(uuid.uuid4().hex), checks, puts)


def _find_existing_deferred(conflicts: tuple[Row, ...], request: CallerRequest) -> str:
    for row in conflicts:
        record = decode_key_record(row.value)
        if record.fingerprint != compute_fingerprint(request):
            raise RequestFailed(
                FailureReason.KEY_REUSED, "the key was used for another request; give a new one"
            )
        if record.state is KeyState.DEFERRED:
            return record.deferred
    raise RequestFailed(
        FailureReason.KEY_REUSED,
        "the key was used for the same request without respond-async; ask without it",
    )


def _make_table_failure(message: str) -> RequestFailed:
    return RequestFailed(
        FailureReason.TABLE_UNAVAILABLE,
        f"this was not accepted, since it cannot be recorded: {message}",
        RETRY_AFTER_MS,
    )

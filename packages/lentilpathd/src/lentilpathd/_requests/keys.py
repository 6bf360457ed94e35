"""Runs a request with an idempotency key once and replays its answer to repetitions."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Awaitable, Callable

from lentilpath_core.errors import LentilpathError, OutcomeUnknown, TableUnavailable, Unavailable
from lentilpath_core.ids import Incarnation, WriteId
from lentilpath_core.requests.keys import (
    KeyDecision,
    KeyRecord,
    KeyState,
    compute_fingerprint,
    decide_key,
    decode_key_record,
    encode_key_record,
    get_key_row,
)
from lentilpath_core.requests.messages import (
    CallerRequest,
    FailureReason,
    Outcome,
    RequestFailed,
    ServiceAnswer,
)
from lentilpath_core.requests.policy import RequestPolicy
from lentilpathd._clock import read_instant, read_wall_time
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._ports import ABSENT, ObjectStore, Row, Table, Transaction
from lentilpathd._requests.rows import (
    RETRY_AFTER_MS,
    TABLE_TIMEOUT_SECONDS,
    TableCircuitBreaker,
    commit_with_retry,
    load_answer,
    store_answer,
)

MS_PER_SECOND = 1_000
FIRST_WRITE_RETRY_SECONDS = 0.1
MAX_WRITE_RETRY_SECONDS = 2.0

SendRequest = Callable[[CallerRequest], Awaitable[ServiceAnswer]]


class IdempotencyHandler:
    """Handles requests with idempotency keys, whose records are kept in the table."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        breaker: TableCircuitBreaker,
        incarnation: Incarnation,
        policy: RequestPolicy,
    ) -> None:
        self._table = table
        self._objects = objects
        self._breaker = breaker
        self._incarnation = incarnation
        self._policy = policy
        self._record_writes: set[asyncio.Task[None]] = set()
        self._requests_by_row: dict[str, tuple[str, asyncio.Task[ServiceAnswer]]] = {}

    async def handle(self, request: CallerRequest, send: SendRequest) -> ServiceAnswer:
        """Return the answer to the first request with this key; raises `RequestFailed`."""
        assert request.idempotency_key is not None
        row = get_key_row(request.customer, request.service, request.idempotency_key)
        fingerprint = compute_fingerprint(request)
        ongoing = self._requests_by_row.get(row)
        if ongoing is None:
            # The request runs to its end even if this caller disconnects, because a repetition
            # may ask for its answer.
            task = asyncio.create_task(self._claim_and_send(request, row, fingerprint, send))
            ongoing = (fingerprint, task)
            self._requests_by_row[row] = ongoing
            task.add_done_callback(lambda done: self._remove_ended(row, done))
        if ongoing[0] != fingerprint:
            raise _make_key_reused_failure()
        remaining_ms = max(0, request.deadline - read_instant())
        try:
            async with asyncio.timeout(remaining_ms / MS_PER_SECOND):
                return await asyncio.shield(ongoing[1])
        except TimeoutError as error:
            raise RequestFailed(
                FailureReason.KEY_IN_PROGRESS,
                "the first request with this key has no answer yet; ask again with the same key",
                RETRY_AFTER_MS,
            ) from error

    async def wait_until_idle(self, timeout: float) -> None:
        """Wait until all answers are recorded, for at most `timeout` seconds."""
        pending = {*self._record_writes, *(work for _, work in self._requests_by_row.values())}
        if pending:
            await asyncio.wait(pending, timeout=timeout)

    def _remove_ended(self, row: str, task: asyncio.Task[ServiceAnswer]) -> None:
        del self._requests_by_row[row]
        if not task.cancelled():
            # If all callers have disconnected nobody awaits the task. Reading its exception keeps
            # asyncio from logging it as never retrieved.
            task.exception()

    def abort(self) -> None:
        """Cancel all requests and record writes in progress; called when `Requests.run` ends."""
        for task in (*self._record_writes, *(work for _, work in self._requests_by_row.values())):
            task.cancel()

    async def _claim_and_send(
        self, request: CallerRequest, row: str, fingerprint: str, send: SendRequest
    ) -> ServiceAnswer:
        token = uuid.uuid4().hex
        record = KeyRecord(
            KeyState.STARTED, token, fingerprint, self._incarnation, read_wall_time()
        )
        existing = await self._claim(row, record)
        while existing is not None:
            answer = await self._resolve_existing(request, existing, record)
            if answer is not None:
                return answer
            await asyncio.sleep(self._policy.key_poll_ms / MS_PER_SECOND)
            existing = await self._reread_record(row, record)
        return await self._send_claimed(request, row, record, send)

    async def _claim(self, row: str, record: KeyRecord) -> KeyRecord | None:
        """Write `record` if the row is absent and return `None`, or return the existing record."""
        if not self._breaker.allow_call(read_instant()):
            raise _make_table_failure("the table is out of reach")
        transaction = Transaction(
            WriteId(record.token), ((row, ABSENT),), ((row, encode_key_record(record)),)
        )
        try:
            result = await commit_with_retry(self._table, transaction)
        except TableUnavailable as error:
            self._record_table_failure(error)
            raise _make_table_failure(str(error)) from error
        except OutcomeUnknown as error:
            self._record_table_failure(error)
            self._start_write(self._delete_claim(row, record))
            raise _make_table_failure(str(error)) from error
        except BaseException:
            self._breaker.abandon_call()
            raise
        self._record_table_success()
        if result.applied:
            return None
        return decode_key_record(result.conflicts[0].value)

    async def _reread_record(self, row: str, record: KeyRecord) -> KeyRecord | None:
        try:
            found = (await self._table.read((row,), TABLE_TIMEOUT_SECONDS))[0]
        except Unavailable as error:
            raise RequestFailed(
                FailureReason.KEY_IN_PROGRESS,
                f"the first request with this key was under way, and now: {error}",
                RETRY_AFTER_MS,
            ) from error
        if found.version == ABSENT:
            # The first request did not run and its record was deleted, so this one takes its place.
            return await self._claim(row, record)
        return decode_key_record(found.value)

    async def _resolve_existing(
        self, request: CallerRequest, existing: KeyRecord, own: KeyRecord
    ) -> ServiceAnswer | None:
        """Return the answer in `existing`, or `None` if the first request is still running."""
        abandoned_ms = 2 * self._policy.max_deadline_ms + self._policy.max_run_ms
        decision = decide_key(existing, own.token, own.fingerprint, read_wall_time(), abandoned_ms)
        if decision is KeyDecision.REPLAY:
            assert existing.answer is not None
            return await self._replay(existing)
        if decision is KeyDecision.REUSED:
            raise _make_key_reused_failure()
        if decision is KeyDecision.POINT_TO_DEFERRED:
            return _make_deferred_answer(existing.deferred)
        if decision in (KeyDecision.UNKNOWN, KeyDecision.ABANDONED):
            raise RequestFailed(
                FailureReason.OUTCOME_UNKNOWN, "the first request with this key may have run"
            )
        if read_instant() >= request.deadline:
            raise RequestFailed(
                FailureReason.KEY_IN_PROGRESS,
                "the first request with this key has no answer yet; ask again with the same key",
                RETRY_AFTER_MS,
            )
        return None

    async def _replay(self, existing: KeyRecord) -> ServiceAnswer:
        assert existing.answer is not None
        try:
            return await load_answer(existing.answer, self._objects)
        except Unavailable as error:
            raise RequestFailed(
                FailureReason.KEY_IN_PROGRESS, f"its answer cannot be read: {error}", RETRY_AFTER_MS
            ) from error

    async def _send_claimed(
        self, request: CallerRequest, row: str, record: KeyRecord, send: SendRequest
    ) -> ServiceAnswer:
        try:
            answer = await send(request)
        except RequestFailed as failure:
            if failure.reason.outcome is Outcome.NOT_RUN:
                self._start_write(self._delete_claim(row, record))
            else:
                self._start_write(self._record_outcome(row, record, None))
            raise
        self._start_write(self._record_outcome(row, record, answer))
        return answer

    def _start_write(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._record_writes.add(task)
        task.add_done_callback(self._record_writes.discard)

    async def _record_outcome(
        self, row: str, record: KeyRecord, answer: ServiceAnswer | None
    ) -> None:
        """Record how the request ended, retrying until the table accepts the write."""
        delay_seconds = FIRST_WRITE_RETRY_SECONDS
        while True:
            try:
                stored = None
                if answer is not None:
                    stored = await store_answer(answer, self._objects, record.token)
                state = KeyState.UNKNOWN if stored is None else KeyState.ANSWERED
                ended = KeyRecord(
                    state,
                    record.token,
                    record.fingerprint,
                    record.holder,
                    read_wall_time(),
                    stored,
                )
                await self._update_record(row, record, encode_key_record(ended))
                return
            except LentilpathError as error:
                log_warning_event(Event.KEY_RECORD_FAILED, row=row, error=str(error))
            await asyncio.sleep(delay_seconds)
            delay_seconds = min(2 * delay_seconds, MAX_WRITE_RETRY_SECONDS)

    async def _delete_claim(self, row: str, record: KeyRecord) -> None:
        """Delete the record of a request that did not run."""
        delay_seconds = FIRST_WRITE_RETRY_SECONDS
        while True:
            try:
                await self._update_record(row, record, None)
                return
            except LentilpathError as error:
                log_warning_event(Event.KEY_RECORD_FAILED, row=row, error=str(error))
            await asyncio.sleep(delay_seconds)
            delay_seconds = min(2 * delay_seconds, MAX_WRITE_RETRY_SECONDS)

    async def _update_record(self, row: str, record: KeyRecord, value: str | None) -> None:
        # The check of the version keeps a delayed write from changing the record of a later
        # request with the same key.
        found: Row = (await self._table.read((row,), TABLE_TIMEOUT_SECONDS))[0]
        if found.version == ABSENT or decode_key_record(found.value).token != record.token:
            return
        transaction = Transaction(
            WriteId(uuid.uuid4().hex),
            ((row, found.version),),
            () if value is None else ((row, value),),
            (row,) if value is None else (),
        )
        await commit_with_retry(self._table, transaction)

    def _record_table_failure(self, error: LentilpathError) -> None:
        if not self._breaker.is_open():
            log_warning_event(Event.KEYS_REFUSED, error=str(error))
        self._breaker.record_result(False, read_instant())

    def _record_table_success(self) -> None:
        if self._breaker.is_open():
            log_event(Event.KEYS_ACCEPTED_AGAIN)
        self._breaker.record_result(True, read_instant())


def _make_table_failure(message: str) -> RequestFailed:
    return RequestFailed(
        FailureReason.TABLE_UNAVAILABLE,
        f"this sending was not run, since its key could not be recorded: {message}",
        RETRY_AFTER_MS,
    )


def _make_key_reused_failure() -> RequestFailed:
    return RequestFailed(
        FailureReason.KEY_REUSED, "the key was used for another request; give a new one"
    )


def _make_deferred_answer(deferred: str) -> ServiceAnswer:
    return ServiceAnswer(202, (("location", f"/deferred/{deferred}"),), b"")

"""Runs a keyed request once, and gives its repetitions the first one's answer."""

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
    TableGate,
    commit_surely,
    load_answer,
    store_answer,
)

MS_PER_SECOND = 1_000
FIRST_RECORD_RETRY_SECONDS = 0.1
MAX_RECORD_RETRY_SECONDS = 2.0

Run = Callable[[CallerRequest], Awaitable[ServiceAnswer]]


class KeyKeeper:
    """Keeps the records of idempotency keys in the table."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        gate: TableGate,
        incarnation: Incarnation,
        policy: RequestPolicy,
    ) -> None:
        self._table = table
        self._objects = objects
        self._gate = gate
        self._incarnation = incarnation
        self._policy = policy
        self._records: set[asyncio.Task[None]] = set()
        self._runs: dict[str, tuple[str, asyncio.Task[ServiceAnswer]]] = {}

    async def handle(self, request: CallerRequest, run: Run) -> ServiceAnswer:
        """Return the answer to the first request with this key; raises `RequestFailed`."""
        assert request.key is not None
        row = get_key_row(request.customer, request.service, request.key)
        fingerprint = compute_fingerprint(request)
        known = self._runs.get(row)
        if known is None:
            # Once begun it ends by itself, since a repetition will ask for its answer even if
            # this caller has gone.
            work = asyncio.create_task(self._claim_and_run(request, row, fingerprint, run))
            known = (fingerprint, work)
            self._runs[row] = known
            work.add_done_callback(lambda done: self._forget(row, done))
        if known[0] != fingerprint:
            raise _make_reused_failure()
        remaining_ms = max(0, request.deadline - read_instant())
        try:
            async with asyncio.timeout(remaining_ms / MS_PER_SECOND):
                return await asyncio.shield(known[1])
        except TimeoutError as error:
            raise RequestFailed(
                FailureReason.KEY_IN_PROGRESS,
                "the first request with this key has no answer yet; ask again with the same key",
                RETRY_AFTER_MS,
            ) from error

    async def wait_until_idle(self, timeout: float) -> None:
        """Wait until all answers are recorded, for at most `timeout` seconds."""
        pending = {*self._records, *(work for _, work in self._runs.values())}
        if pending:
            await asyncio.wait(pending, timeout=timeout)

    def _forget(self, row: str, work: asyncio.Task[ServiceAnswer]) -> None:
        del self._runs[row]
        if not work.cancelled():
            # Its callers may all have gone; then nobody else looks at the failure.
            work.exception()

    def abort(self) -> None:
        """Give up all runs and records under way; part of the end of the process."""
        for task in (*self._records, *(work for _, work in self._runs.values())):
            task.cancel()

    async def _claim_and_run(
        self, request: CallerRequest, row: str, fingerprint: str, run: Run
    ) -> ServiceAnswer:
        token = uuid.uuid4().hex
        record = KeyRecord(
            KeyState.STARTED, token, fingerprint, self._incarnation, read_wall_time()
        )
        met = await self._claim(row, record)
        while met is not None:
            answer = await self._follow(request, met, record)
            if answer is not None:
                return answer
            await asyncio.sleep(self._policy.key_poll_ms / MS_PER_SECOND)
            met = await self._look_again(row, record)
        return await self._run_claimed(request, row, record, run)

    async def _claim(self, row: str, record: KeyRecord) -> KeyRecord | None:
        """Write `record` if there is none; return the one that was met, or `None`."""
        if not self._gate.enter(read_instant()):
            raise _make_table_failure("the table is out of reach")
        transaction = Transaction(
            WriteId(record.token), ((row, ABSENT),), ((row, encode_key_record(record)),)
        )
        try:
            result = await commit_surely(self._table, transaction)
        except TableUnavailable as error:
            self._close_gate(error)
            raise _make_table_failure(str(error)) from error
        except OutcomeUnknown as error:
            self._close_gate(error)
            self._start_record(self._withdraw(row, record))
            raise _make_table_failure(str(error)) from error
        except BaseException:
            self._gate.record(True, read_instant())
            raise
        self._open_gate()
        if result.applied:
            return None
        return decode_key_record(result.conflicts[0].value)

    async def _look_again(self, row: str, record: KeyRecord) -> KeyRecord | None:
        try:
            found = (await self._table.read((row,), TABLE_TIMEOUT_SECONDS))[0]
        except Unavailable as error:
            raise RequestFailed(
                FailureReason.KEY_IN_PROGRESS,
                f"the first request with this key was under way, and now: {error}",
                RETRY_AFTER_MS,
            ) from error
        if found.version == ABSENT:
            # The first one did not run, and its record is gone: this sending is the first now.
            return await self._claim(row, record)
        return decode_key_record(found.value)

    async def _follow(
        self, request: CallerRequest, met: KeyRecord, own: KeyRecord
    ) -> ServiceAnswer | None:
        """Return the answer in `met`, or `None` to look again later."""
        abandoned_ms = 2 * self._policy.max_deadline_ms + self._policy.max_run_ms
        decision = decide_key(met, own.token, own.fingerprint, read_wall_time(), abandoned_ms)
        if decision is KeyDecision.REPLAY:
            assert met.answer is not None
            return await self._replay(met)
        if decision is KeyDecision.REUSED:
            raise _make_reused_failure()
        if decision is KeyDecision.POINT_TO_DEFERRED:
            return _make_pointer(met.deferred)
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

    async def _replay(self, met: KeyRecord) -> ServiceAnswer:
        assert met.answer is not None
        try:
            return await load_answer(met.answer, self._objects)
        except Unavailable as error:
            raise RequestFailed(
                FailureReason.KEY_IN_PROGRESS, f"its answer cannot be read: {error}", RETRY_AFTER_MS
            ) from error

    async def _run_claimed(
        self, request: CallerRequest, row: str, record: KeyRecord, run: Run
    ) -> ServiceAnswer:
        try:
            answer = await run(request)
        except RequestFailed as failure:
            if failure.reason.outcome is Outcome.NOT_RUN:
                self._start_record(self._withdraw(row, record))
            else:
                self._start_record(self._write(row, record, None))
            raise
        self._start_record(self._write(row, record, answer))
        return answer

    def _start_record(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._records.add(task)
        task.add_done_callback(self._records.discard)

    async def _write(self, row: str, record: KeyRecord, answer: ServiceAnswer | None) -> None:
        """Record how the sending ended, however long the table is away."""
        delay_seconds = FIRST_RECORD_RETRY_SECONDS
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
                await self._change(row, record, encode_key_record(ended))
                return
            except LentilpathError as error:
                log_warning_event(Event.KEY_RECORD_FAILED, row=row, error=str(error))
            await asyncio.sleep(delay_seconds)
            delay_seconds = min(2 * delay_seconds, MAX_RECORD_RETRY_SECONDS)

    async def _withdraw(self, row: str, record: KeyRecord) -> None:
        """Remove the record of a sending that did not run."""
        delay_seconds = FIRST_RECORD_RETRY_SECONDS
        while True:
            try:
                await self._change(row, record, None)
                return
            except LentilpathError as error:
                log_warning_event(Event.KEY_RECORD_FAILED, row=row, error=str(error))
            await asyncio.sleep(delay_seconds)
            delay_seconds = min(2 * delay_seconds, MAX_RECORD_RETRY_SECONDS)

    async def _change(self, row: str, record: KeyRecord, value: str | None) -> None:
        # The condition on the version keeps a write that is applied late from touching the record
        # of a later sending.
        found: Row = (await self._table.read((row,), TABLE_TIMEOUT_SECONDS))[0]
        if found.version == ABSENT or decode_key_record(found.value).token != record.token:
            return
        transaction = Transaction(
            WriteId(uuid.uuid4().hex),
            ((row, found.version),),
            () if value is None else ((row, value),),
            (row,) if value is None else (),
        )
        await commit_surely(self._table, transaction)

    def _close_gate(self, error: LentilpathError) -> None:
        if not self._gate.is_closed():
            log_warning_event(Event.KEYS_REFUSED, error=str(error))
        self._gate.record(False, read_instant())

    def _open_gate(self) -> None:
        if self._gate.is_closed():
            log_event(Event.KEYS_TAKEN_AGAIN)
        self._gate.record(True, read_instant())


def _make_table_failure(message: str) -> RequestFailed:
    return RequestFailed(
        FailureReason.TABLE_UNAVAILABLE,
        f"this sending was not run, since its key could not be recorded: {message}",
        RETRY_AFTER_MS,
    )


def _make_reused_failure() -> RequestFailed:
    return RequestFailed(
        FailureReason.KEY_REUSED, "the key was used for another request; give a new one"
    )


def _make_pointer(deferred: str) -> ServiceAnswer:
    return ServiceAnswer(202, (("location", f"/deferred/{deferred}"),), b"")

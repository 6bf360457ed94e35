"""Callers' operations: submit a job, get its state, cancel it, count pending jobs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from lentilpath_core.errors import (
    LentilpathError,
    OutcomeUnknown,
    TableUnavailable,
)
from lentilpath_core.ids import CustomerId, Instant, JobId
from lentilpath_core.pool import (
    NO_CUSTOMER,
    JobRecord,
    JobState,
    QueuePolicy,
    check_owner,
    estimate_job_bytes,
    keep_policy,
)
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._metrics import Metric
from lentilpathd._pool._call_limits import (
    MAX_CALL_BYTES,
    MAX_CALLS,
    CallLimit,
    RecentJobs,
    TooManyCalls,
)
from lentilpathd._pool._context import PoolContext
from lentilpathd._pool._held_calls import HeldCall, make_call
from lentilpathd._pool._holding import CallHolder
from lentilpathd._pool._leader_notices import LeaderNotices
from lentilpathd._pool._leader_query import LeaderQuery
from lentilpathd._pool._messages import (
    STATE_TOPIC,
    StateReply,
    StateRequest,
)
from lentilpathd._pool._ports import PartitionRow, PartitionTransaction
from lentilpathd._pool._records import (
    JOBS_TABLE,
    POOL_PARTITION,
    POOL_TABLE,
    decode_final,
    decode_job,
    encode_record,
    get_cancel_key,
    get_job_partitions,
    make_final_key,
)
from lentilpathd._pool._refusals import (
    Refusal,
    RefusalReason,
    SubmissionAnswer,
    SubmissionResult,
    find_refusal,
    report_refusal,
    spread_retry_ms,
)
from lentilpathd._pool._settling import PartitionHealth, Stored, settle_write
from lentilpathd._ports import ABSENT

READ_TIMEOUT_SECONDS = 0.8
"""About a quarter of a caller's usual deadline of 3 s, so that a failure is reported in time for a
retry."""
STATE_TIMEOUT_SECONDS = 0.4
"""Half the timeout of the table read that follows if the leader does not answer."""


class Jobs:
    """Serves callers from the table and from the leader's state."""

    def __init__(self, context: PoolContext) -> None:
        self._context = context
        self._partition_health = PartitionHealth()
        self._holder = CallHolder(context.table.can_write, context.metrics)
        self._notices = LeaderNotices(context)
        self._calls = CallLimit(MAX_CALLS, MAX_CALL_BYTES)
        self._excess_queries = CallLimit(MAX_CALLS)
        """Queries of the leader about submissions beyond the limit."""
        self._recent_jobs = RecentJobs()

    async def submit(
        self, record: JobRecord, policy: QueuePolicy, deadline_ms: int
    ) -> SubmissionAnswer:
        """Accept a job by storing it. Repeating a submission does not store the job twice."""
        started_at = read_instant()
        row = (record.job, encode_record(keep_policy(record, policy)))
        try:
            with self._calls.admit(len(row[1])):
                answer = await self._submit(record, row, policy, deadline_ms)
        except TooManyCalls:
            answer = await self._refuse_excess(record)
        labels = (record.queue, answer.result.value)
        self._context.metrics.count(Metric.JOB_ANSWERED, *labels)
        self._context.metrics.record_time(
            Metric.JOB_ANSWER_TIME, read_instant() - started_at, *labels
        )
        return answer

    async def _submit(
        self, record: JobRecord, row: tuple[str, bytes], policy: QueuePolicy, deadline_ms: int
    ) -> SubmissionAnswer:
        now = read_instant()
        refusal = self._check_memory(record, now) or find_refusal(
            self._context, record, policy, now
        )
        if refusal is not None:
            refused = await self._refuse(record, refusal)
            if refused is not None:
                return refused
        transactions = tuple(
            PartitionTransaction(JOBS_TABLE, part, checks=((record.job, ABSENT),), puts=(row,))
            for part in get_job_partitions(record.job)
        )
        call = make_call(record.job, policy.priority, now, deadline_ms, transactions)
        query = LeaderQuery(self._query_state, record.job, call.get_query_until())
        try:
            return await self._store(record, call, transactions, query)
        except TableUnavailable as error:
            return await self._answer_unsent(record, error, query)
        finally:
            query.cancel()

    def _check_memory(self, record: JobRecord, now: Instant) -> Refusal | None:
        """Return why the job is to be refused if the leader has no memory for it, or `None`."""
        loads = self._context.heartbeat_sender.get_loads(now)
        held_bytes = loads.held_bytes if loads is not None else 0
        if self._recent_jobs.admit(estimate_job_bytes(record), held_bytes, now):
            return None
        answer = SubmissionAnswer(SubmissionResult.REFUSED, spread_retry_ms(record.job))
        return Refusal(RefusalReason.MEMORY, answer, None)

    async def _refuse_excess(self, record: JobRecord) -> SubmissionAnswer:
        """Answer a submission beyond the limit; it is refused if the leader does not know it."""
        answer = SubmissionAnswer(SubmissionResult.REFUSED, spread_retry_ms(record.job))
        try:
            with self._excess_queries.admit():
                refused = await self._refuse(record, Refusal(RefusalReason.BUSY, answer, None))
        except TooManyCalls as error:
            log_event(Event.JOB_UNCLEAR, job=record.job, error=str(error))
            refused = None
        return refused or SubmissionAnswer(SubmissionResult.UNCLEAR)

    async def _refuse(self, record: JobRecord, refusal: Refusal) -> SubmissionAnswer | None:
        """Refuse a job that is not to be stored, or return `None` if it is to be stored after all.

        An earlier submission whose answer was lost may have stored it, in which case a refusal
        would be wrong. The leader knows; without its answer no job is refused.
        """
        reply = await self._query_state(record.job)
        is_marked = self._context.unclear_jobs.has(record.job, read_instant())
        if reply is None and not refusal.is_final and not is_marked:
            return None
        if reply is None or reply.is_unclear or is_marked:
            log_event(Event.JOB_UNCLEAR, job=record.job, error=refusal.reason.value)
            return SubmissionAnswer(SubmissionResult.UNCLEAR)
        if reply.state and reply.customer in (NO_CUSTOMER, record.customer):
            log_event(Event.JOB_STORED, job=record.job, repeated=True, state=reply.state)
            return SubmissionAnswer(SubmissionResult.ACCEPTED)
        report_refusal(self._context, record, refusal)
        return refusal.answer

    async def _store(
        self,
        record: JobRecord,
        call: HeldCall,
        transactions: tuple[PartitionTransaction, ...],
        query: LeaderQuery,
    ) -> SubmissionAnswer:
        """Store a job; raises `TableUnavailable` if nothing was sent to the table."""
        try:
            transaction, commit = await self._write_when_answered(
                call,
                transactions,
                lambda error: self._report_unclear(record.job, error),
                query.start,
            )
        except OutcomeUnknown:
            return SubmissionAnswer(SubmissionResult.UNCLEAR)
        # An existing row belongs to this job: this submission or an earlier one stored it.
        for existing in commit.conflicts:
            if existing.key == record.job:
                check_owner(_read_owner(existing), record.customer)
        if commit.applied:
            if record.customer and transaction is not transactions[0]:
                await self._check_known_owner(record)
            self._notices.notify_stored(transaction, commit.version)
        log_event(
            Event.JOB_STORED,
            job=record.job,
            queue=record.queue,
            repeated=not commit.applied,
            version=commit.version,
        )
        return SubmissionAnswer(SubmissionResult.ACCEPTED)

    async def _write_when_answered(
        self,
        call: HeldCall,
        transactions: tuple[PartitionTransaction, ...],
        report_unclear: Callable[[Exception], None],
        report_held: Callable[[], object] = lambda: None,
    ) -> Stored:
        """Write one of the transactions, once a path to the table answers.

        Raises `TableUnavailable` if nothing was sent, and `OutcomeUnknown`; see `settle_write`.
        """
        table = self._context.table
        while True:
            if not table.can_write(call.partitions):
                report_held()
                if not await self._holder.wait(call):
                    raise TableUnavailable("the table does not answer in time for this call")
            try:
                return await settle_write(
                    table,
                    self._partition_health,
                    transactions,
                    call.get_settle_until(),
                    report_unclear,
                )
            except TableUnavailable:
                # Nothing was sent. If all paths are unresponsive by now, the call is held.
                if table.can_write(call.partitions):
                    raise

    async def _check_known_owner(self, record: JobRecord) -> None:
        """Raise `NotPermitted` if the leader knows the job as another customer's.

        The condition of a write sees only the rows of its own partition, and the job may be stored
        in its usual one.
        """
        reply = await self._query_state(record.job)
        if reply is not None and reply.state:
            check_owner(reply.customer, record.customer)

    def _report_unclear(self, job: JobId, error: Exception) -> None:
        if not self._context.unclear_jobs.has(job, read_instant()):
            self.mark_unclear(job)
        log_event(Event.JOB_UNCLEAR, job=job, error=str(error))

    async def _answer_unsent(
        self, record: JobRecord, error: TableUnavailable, query: LeaderQuery
    ) -> SubmissionAnswer:
        """Answer a submission whose write was not sent to the table.

        An earlier submission may have stored the same job, in which case a refusal would be wrong.
        The leader knows whether it did; without the leader's answer the result is `UNCLEAR`. It is
        asked while the call is held, so that its answer is there in time. Raises `NotPermitted` if
        the stored job belongs to another customer.
        """
        job = record.job
        reply = await query.get_reply()
        is_marked = self._context.unclear_jobs.has(job, read_instant())
        if reply is None or reply.is_unclear or is_marked:
            log_event(Event.JOB_UNCLEAR, job=job, error=str(error))
            return SubmissionAnswer(SubmissionResult.UNCLEAR)
        if reply.state:
            check_owner(reply.customer, record.customer)
            log_event(Event.JOB_STORED, job=job, repeated=True, state=reply.state)
            return SubmissionAnswer(SubmissionResult.ACCEPTED)
        log_event(Event.JOB_NOT_STORED, job=job, error=str(error))
        return SubmissionAnswer(SubmissionResult.REFUSED, spread_retry_ms(job))

    def mark_unclear(self, job: JobId) -> None:
        """Record that the job may be stored and notify the leader, so that no host refuses it."""
        self._notices.mark_unclear(job)

    def notify_new_leader(self) -> None:
        """Tell a leader that has just taken over which jobs may be stored; see `LeaderNotices`."""
        self._notices.notify_new_leader()

    async def get_state(self, job: JobId, caller: CustomerId = NO_CUSTOMER) -> JobState | None:
        """Return the state of a job of `caller`, or `None` if there is no such job.

        Raises `NotPermitted` if the job belongs to another customer, and `Unavailable` or
        `OutcomeUnknown` if the state cannot be determined now.
        """
        with self._calls.admit():
            return await self._find_state(job, caller)

    async def _find_state(self, job: JobId, caller: CustomerId) -> JobState | None:
        reply = await self._query_state(job)
        if reply is None or not reply.state:
            reply = await self._read_stored_state(job)
        if not reply.state:
            return None
        check_owner(reply.customer, caller)
        return JobState(reply.state)

    async def _query_state(self, job: JobId) -> StateReply | None:
        """Return the leader's view of a job, or `None` if the leader does not answer."""
        if self._context.is_leading():
            own = self._context.get_local_job_state(job)
            is_unclear = self._context.unclear_jobs.has(job, read_instant())
            customer = self._context.get_local_job_customer(job)
            return StateReply(own.value if own is not None else "", is_unclear, customer)
        leader = self._context.heartbeat_sender.get_leader()
        if leader is None or leader == self._context.settings.host:
            return None
        try:
            return await self._context.bus.ask(
                leader, STATE_TOPIC, StateRequest(job), StateReply, STATE_TIMEOUT_SECONDS
            )
        except LentilpathError as error:
            log_event(Event.LEADER_SILENT, leader=leader, error=str(error))
            return None

    async def _read_stored_state(self, job: JobId) -> StateReply:
        table = self._context.table
        key = make_final_key(job)
        read = await table.read_partition(
            POOL_TABLE, POOL_PARTITION, key, key + "0", READ_TIMEOUT_SECONDS
        )
        for row in read.rows:
            if row.key == key:
                final = decode_final(row.value)
                return StateReply(final.state.value, customer=final.customer)
        stored = await self._read_job_row(job)
        if stored is None:
            return StateReply("")
        return StateReply(JobState.QUEUED.value, customer=_read_owner(stored))

    async def _read_job_row(self, job: JobId) -> PartitionRow | None:
        reads = await asyncio.gather(
            *(
                self._context.table.read_partition(
                    JOBS_TABLE, part, job, job + "0", READ_TIMEOUT_SECONDS
                )
                for part in get_job_partitions(job)
            ),
            return_exceptions=True,
        )
        failures = [read for read in reads if isinstance(read, BaseException)]
        found = [row for read in reads if not isinstance(read, BaseException) for row in read.rows]
        for row in found:
            if row.key == job:
                return row
        if failures:
            raise failures[0]
        return None

    async def cancel(
        self, job: JobId, deadline_ms: int, caller: CustomerId = NO_CUSTOMER, urgency: int = 0
    ) -> bool:
        """Cancel a job of `caller`, from a queue of priority `urgency`; return whether it exists.

        Raises `NotPermitted` if the job belongs to another customer, `Unavailable` if the
        cancellation is certainly not stored, and `OutcomeUnknown` if it may be.
        """
        with self._calls.admit():
            return await self._cancel(job, deadline_ms, caller, urgency)

    async def _cancel(self, job: JobId, deadline_ms: int, caller: CustomerId, urgency: int) -> bool:
        now = read_instant()
        if not await self._is_known(job, caller):
            return False
        row = (get_cancel_key(job), b"1")
        transactions = tuple(
            PartitionTransaction(JOBS_TABLE, part, puts=(row,)) for part in get_job_partitions(job)
        )
        transaction, commit = await self._write_when_answered(
            make_call(job, urgency, now, deadline_ms, transactions),
            transactions,
            lambda error: log_event(Event.CANCEL_UNCLEAR, job=job, error=str(error)),
        )
        self._notices.notify_stored(transaction, commit.version)
        log_event(Event.JOB_CANCELLED, job=job)
        return True

    async def _is_known(self, job: JobId, caller: CustomerId) -> bool:
        try:
            return await self._find_state(job, caller) is not None
        except OutcomeUnknown as error:
            raise TableUnavailable(f"the state of {job} could not be read: {error}") from error

    def count_pending(self, queue: str) -> int | None:
        """Return how many accepted jobs of a queue have not started, or `None` if not known now."""
        loads = self._context.heartbeat_sender.get_loads(read_instant())
        return loads.pending.get(queue, 0) if loads is not None else None


def _read_owner(row: PartitionRow) -> CustomerId:
    """Return the customer of a stored job; a job whose row cannot be decoded is open to all."""
    try:
        return decode_job(row.value).customer
    except msgspec.DecodeError as error:
        log_warning_event(Event.COMMAND_REFUSED, key=row.key, error=str(error))
        return NO_CUSTOMER

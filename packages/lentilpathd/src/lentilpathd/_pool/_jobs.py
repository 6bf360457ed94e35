"""Callers' operations: submit a job, get its state, cancel it, count pending jobs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum

import msgspec

from lentilpath_core.errors import (
    LentilpathError,
    OutcomeUnknown,
    QuotaTooSmall,
    TableUnavailable,
)
from lentilpath_core.ids import CustomerId, Instant, JobId, RowVersion
from lentilpath_core.pool import (
    NO_CUSTOMER,
    CustomerPolicy,
    JobRecord,
    JobState,
    QueueLoad,
    QueuePolicy,
    check_job_fits_quota,
    check_owner,
    decide_admission,
    decide_share_admission,
)
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._metrics import Metric
from lentilpathd._pool._context import PoolContext
from lentilpathd._pool._messages import (
    NOTICE_TOPIC,
    STATE_TOPIC,
    UNCLEAR_TOPIC,
    Empty,
    JobNotice,
    StateReply,
    StateRequest,
    UnclearNotice,
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
from lentilpathd._pool._settling import PartitionHealth, settle_write
from lentilpathd._ports import ABSENT

READ_TIMEOUT_SECONDS = 0.8
"""About a quarter of a caller's usual deadline of 3 s, so that a failure is reported in time for a
retry."""
STATE_TIMEOUT_SECONDS = 0.4
"""Half the timeout of the table read that follows if the leader does not answer."""
TABLE_UNAVAILABLE_RETRY_MS = 1_000
"""Retry-after of a refused request while the table does not answer."""
SETTLE_DEADLINE_SHARE = 0.9
"""Share of a caller's deadline spent on a write of unknown outcome, since many callers must not
resubmit a job that may have been accepted. The rest is for the way of the answer."""
NOTICE_TIMEOUT_SECONDS = 0.4
"""Longer than the job feed's pause; beyond it the feed delivers the job sooner."""


class SubmissionResult(Enum):
    """Outcome of a submission."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """Not stored; the job never runs unless it is submitted again."""
    OVER_QUOTA = "over-quota"
    """Not stored; a task or gang alone exceeds the customer's quota, so that it can never run."""
    UNCLEAR = "unclear"
    """The job may be stored; repeating the same submission resolves it."""


@dataclass(frozen=True, slots=True)
class SubmissionAnswer:
    """Outcome of a submission, and the delay before a refused one should be retried."""

    result: SubmissionResult
    retry_after_ms: int = 0
    reason: str = ""
    """What the caller is told of a submission that can never run."""


class Jobs:
    """Serves callers from the table and from the leader's state."""

    def __init__(self, context: PoolContext) -> None:
        self._context = context
        self._partition_health = PartitionHealth()
        self._pending_notices: set[asyncio.Future[None]] = set()

    async def submit(
        self, record: JobRecord, policy: QueuePolicy, deadline_ms: int
    ) -> SubmissionAnswer:
        """Accept a job by storing it. Repeating a submission does not store the job twice."""
        started_at = read_instant()
        answer = await self._submit(record, policy, deadline_ms)
        labels = (record.queue, answer.result.value)
        self._context.metrics.count(Metric.JOB_ANSWERED, *labels)
        self._context.metrics.record_time(
            Metric.JOB_ANSWER_TIME, read_instant() - started_at, *labels
        )
        return answer

    async def _submit(
        self, record: JobRecord, policy: QueuePolicy, deadline_ms: int
    ) -> SubmissionAnswer:
        now = read_instant()
        try:
            check_job_fits_quota(record, self._find_customer(record.customer))
        except QuotaTooSmall as error:
            return await self._answer_over_quota(record, error)
        load = self._context.heartbeat_sender.get_load(record.queue, now)
        refusal_ms = decide_admission(record, policy, load)
        reason = "full"
        if refusal_ms is None and record.customer:
            shares = self._context.heartbeat_sender.get_shares(now)
            refusal_ms = decide_share_admission(record, policy, load, shares)
            reason = "over-share"
        if refusal_ms is not None:
            self._report_refused(record, reason, load)
            return SubmissionAnswer(SubmissionResult.REFUSED, refusal_ms)
        return await self._store(record, Instant(int(now + deadline_ms * SETTLE_DEADLINE_SHARE)))

    def _report_refused(self, record: JobRecord, reason: str, load: QueueLoad | None) -> None:
        self._context.metrics.count_customer(Metric.CUSTOMER_REFUSED, record.customer)
        log_event(
            Event.JOB_REFUSED,
            job=record.job,
            queue=record.queue,
            customer=record.customer,
            reason=reason,
            load=load,
        )

    def _find_customer(self, customer: CustomerId) -> CustomerPolicy | None:
        configuration = self._context.get_configuration() if customer else None
        return configuration.customers.get(customer) if configuration is not None else None

    async def _answer_over_quota(self, record: JobRecord, error: QuotaTooSmall) -> SubmissionAnswer:
        """Refuse the job, unless the leader knows that it was accepted under an earlier quota."""
        reply = await self._query_state(record.job)
        owners = (NO_CUSTOMER, record.customer)
        if reply is not None and reply.state and reply.customer in owners:
            log_event(Event.JOB_STORED, job=record.job, repeated=True, state=reply.state)
            return SubmissionAnswer(SubmissionResult.ACCEPTED)
        self._report_refused(record, "quota", None)
        return SubmissionAnswer(SubmissionResult.OVER_QUOTA, reason=str(error))

    async def _store(self, record: JobRecord, give_up_at: Instant) -> SubmissionAnswer:
        row = (record.job, encode_record(record))
        transactions = tuple(
            PartitionTransaction(JOBS_TABLE, part, checks=((record.job, ABSENT),), puts=(row,))
            for part in get_job_partitions(record.job)
        )
        try:
            transaction, commit = await settle_write(
                self._context.table,
                self._partition_health,
                transactions,
                give_up_at,
                lambda error: self._report_unclear(record.job, error),
            )
        except TableUnavailable as error:
            return await self._answer_unsent(record, error)
        except OutcomeUnknown:
            return SubmissionAnswer(SubmissionResult.UNCLEAR)
        # An existing row belongs to this job: this submission or an earlier one stored it.
        for existing in commit.conflicts:
            if existing.key == record.job:
                check_owner(_read_owner(existing), record.customer)
        if commit.applied:
            if record.customer and transaction is not transactions[0]:
                await self._check_known_owner(record)
            self._notify_leader(transaction, commit.version)
        log_event(
            Event.JOB_STORED,
            job=record.job,
            queue=record.queue,
            repeated=not commit.applied,
            version=commit.version,
        )
        return SubmissionAnswer(SubmissionResult.ACCEPTED)

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

    async def _answer_unsent(self, record: JobRecord, error: TableUnavailable) -> SubmissionAnswer:
        """Answer a submission whose write was not sent to the table.

        An earlier submission may have stored the same job, in which case a refusal would be wrong.
        The leader knows whether it did; without the leader's answer the result is `UNCLEAR`.
        Raises `NotPermitted` if the stored job belongs to another customer.
        """
        job = record.job
        reply = await self._query_state(job)
        if reply is None or reply.is_unclear:
            log_event(Event.JOB_UNCLEAR, job=job, error=str(error))
            return SubmissionAnswer(SubmissionResult.UNCLEAR)
        if reply.state:
            check_owner(reply.customer, record.customer)
            log_event(Event.JOB_STORED, job=job, repeated=True, state=reply.state)
            return SubmissionAnswer(SubmissionResult.ACCEPTED)
        log_event(Event.JOB_NOT_STORED, job=job, error=str(error))
        return SubmissionAnswer(SubmissionResult.REFUSED, TABLE_UNAVAILABLE_RETRY_MS)

    def mark_unclear(self, job: JobId) -> None:
        """Record that the job may be stored and notify the leader, so that no host refuses it."""
        self._context.unclear_jobs.add(job, read_instant())
        self._send_in_background(UNCLEAR_TOPIC, UnclearNotice(job))

    def _send_in_background(self, topic: str, message: JobNotice | UnclearNotice) -> None:
        task = asyncio.ensure_future(self._send_to_leader(topic, message))
        self._pending_notices.add(task)
        task.add_done_callback(self._pending_notices.discard)

    def _notify_leader(self, transaction: PartitionTransaction, version: RowVersion) -> None:
        key, value = transaction.puts[0]
        notice = JobNotice(transaction.part, key, value, version)
        if not self._context.handle_local_notice(notice):
            self._send_in_background(NOTICE_TOPIC, notice)

    async def _send_to_leader(self, topic: str, message: JobNotice | UnclearNotice) -> None:
        leader = self._context.heartbeat_sender.get_leader()
        if leader is None or leader == self._context.settings.host:
            return
        try:
            await self._context.bus.ask(leader, topic, message, Empty, NOTICE_TIMEOUT_SECONDS)
        except LentilpathError as error:
            # The leader's job feed delivers stored jobs even if this notice is lost.
            log_event(Event.LEADER_SILENT, leader=leader, error=str(error))

    async def get_state(self, job: JobId, caller: CustomerId = NO_CUSTOMER) -> JobState | None:
        """Return the state of a job of `caller`, or `None` if there is no such job.

        Raises `NotPermitted` if the job belongs to another customer, and `Unavailable` or
        `OutcomeUnknown` if the state cannot be determined now.
        """
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

    async def cancel(self, job: JobId, deadline_ms: int, caller: CustomerId = NO_CUSTOMER) -> bool:
        """Cancel a job of `caller`; return whether it exists.

        Raises `NotPermitted` if the job belongs to another customer, `Unavailable` if the
        cancellation is certainly not stored, and `OutcomeUnknown` if it may be.
        """
        give_up_at = Instant(int(read_instant() + deadline_ms * SETTLE_DEADLINE_SHARE))
        if not await self._is_known(job, caller):
            return False
        row = (get_cancel_key(job), b"1")
        transactions = tuple(
            PartitionTransaction(JOBS_TABLE, part, puts=(row,)) for part in get_job_partitions(job)
        )
        transaction, commit = await settle_write(
            self._context.table,
            self._partition_health,
            transactions,
            give_up_at,
            lambda error: log_event(Event.CANCEL_UNCLEAR, job=job, error=str(error)),
        )
        self._notify_leader(transaction, commit.version)
        log_event(Event.JOB_CANCELLED, job=job)
        return True

    async def _is_known(self, job: JobId, caller: CustomerId) -> bool:
        try:
            return await self.get_state(job, caller) is not None
        except OutcomeUnknown as error:
            raise TableUnavailable(f"the state of {job} could not be read: {error}") from error

    def count_pending(self, queue: str) -> int | None:
        """Return how many accepted jobs of a queue have not started, or `None` if not known now."""
        load = self._context.heartbeat_sender.get_load(queue, read_instant())
        return load.pending if load is not None else None


def _read_owner(row: PartitionRow) -> CustomerId:
    """Return the customer of a stored job; a job whose row cannot be decoded is open to all."""
    try:
        return decode_job(row.value).customer
    except msgspec.DecodeError as error:
        log_warning_event(Event.COMMAND_REFUSED, key=row.key, error=str(error))
        return NO_CUSTOMER

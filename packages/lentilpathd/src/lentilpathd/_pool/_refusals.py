"""Which submissions a host refuses before it stores them, and why."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.errors import QuotaTooSmall
from lentilpath_core.ids import Instant, JobId
from lentilpath_core.pool import (
    JobRecord,
    QueueLoad,
    QueuePolicy,
    check_job_fits_quota,
    decide_admission,
    decide_share_admission,
)
from lentilpathd._events import Event, log_event
from lentilpathd._metrics import Metric
from lentilpathd._pool._context import PoolContext

TABLE_UNAVAILABLE_RETRY_MS = 1_000
"""Shortest retry-after of a refused request while the table does not answer."""
RETRY_SPREAD_STEPS = 3
"""Callers return in one of three seconds, by the job's id, so that the first does not get all."""


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


class RefusalReason(Enum):
    """Why a job is refused before it is stored."""

    FULL = "full"
    OVER_SHARE = "over-share"
    QUOTA = "quota"
    BUSY = "busy"
    MEMORY = "memory"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A reason to refuse a job, and the answer to its caller."""

    reason: RefusalReason
    answer: SubmissionAnswer
    load: QueueLoad | None

    @property
    def is_final(self) -> bool:
        """Whether the job cannot be stored, even if the leader does not answer."""
        return self.reason not in (RefusalReason.FULL, RefusalReason.OVER_SHARE)


def find_refusal(
    context: PoolContext, record: JobRecord, policy: QueuePolicy, now: Instant
) -> Refusal | None:
    """Return why the job is to be refused, by what this host knows, or `None`."""
    configuration = context.get_configuration() if record.customer else None
    if configuration is not None:
        try:
            check_job_fits_quota(record, configuration.customers.get(record.customer))
        except QuotaTooSmall as error:
            answer = SubmissionAnswer(SubmissionResult.OVER_QUOTA, reason=str(error))
            return Refusal(RefusalReason.QUOTA, answer, None)
    loads = context.heartbeat_sender.get_loads(now)
    load = loads.get(policy) if loads is not None else None
    retry_ms = decide_admission(record, policy, load)
    reason = RefusalReason.FULL
    if retry_ms is None and record.customer:
        shares = context.heartbeat_sender.get_shares(now)
        retry_ms = decide_share_admission(record, policy, load, shares)
        reason = RefusalReason.OVER_SHARE
    if retry_ms is None:
        return None
    return Refusal(reason, SubmissionAnswer(SubmissionResult.REFUSED, retry_ms), load)


def report_refusal(context: PoolContext, record: JobRecord, refusal: Refusal) -> None:
    """Log and count a refused job."""
    context.metrics.count_customer(Metric.CUSTOMER_REFUSED, record.customer)
    log_event(
        Event.JOB_REFUSED,
        job=record.job,
        queue=record.queue,
        customer=record.customer,
        reason=refusal.reason.value,
        load=refusal.load,
    )


def spread_retry_ms(job: JobId) -> int:
    """Return when to retry a call about a job that was refused while the table did not answer."""
    return TABLE_UNAVAILABLE_RETRY_MS * (1 + int(job, 16) % RETRY_SPREAD_STEPS)

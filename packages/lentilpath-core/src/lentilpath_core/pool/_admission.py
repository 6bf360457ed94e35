"""Admission control: decides whether a job is refused and when its caller should retry.

Designed for a burst of twice the traffic on a fleet that is nearly full. A job that would complete
too late to be of any value is refused at once, with the time after which the work ahead of it will
have drained.
"""

from __future__ import annotations

import itertools

import msgspec

from lentilpath_core.ids import Instant, JobId
from lentilpath_core.pool._job_sizes import JOB_BYTES
from lentilpath_core.pool._model import (
    JobRecord,
    QueuePolicy,
    get_completion_objective_ms,
)
from lentilpath_core.pool._order import LATE_FACTOR
from lentilpath_core.pool._shares import sum_fleet_millicores, sum_waiting_work
from lentilpath_core.pool._state import PoolState
from lentilpath_core.pool._steps import estimate_critical_paths

RETRY_JITTER = 0.5
"""Retry times are spread over an extra interval of up to this share of the wait, so that callers
do not all retry at once."""
JITTER_STEPS = 16
"""Number of values of the last hexadecimal digit of a job's id, from which the jitter is taken."""


class QueueLoad(msgspec.Struct, frozen=True):
    """The load of one queue, as measured by the leader."""

    pending: int
    """Number of accepted jobs of which no task has started."""
    wait_ms: int
    """Estimated time until the fleet has done the work that is ahead of a new job of the queue."""


PriorityWaits = tuple[tuple[int, int], ...]
"""Priorities with waiting work, the most urgent first. Each has the estimated time in ms until the
fleet has done the work of this priority and of the more urgent ones."""


class PoolLoads(msgspec.Struct, frozen=True):
    """The load of all queues. Its size depends on what waits, not on the number of queues."""

    pending: dict[str, int] = {}
    """Number of accepted jobs of which no task has started, by queue; only queues with any."""
    waits_ms: PriorityWaits = ()
    held_bytes: int = 0
    """Memory that the leader needs for its jobs, by estimate."""

    def get(self, policy: QueuePolicy) -> QueueLoad:
        """Return the load of a queue."""
        wait_ms = find_wait_ms(self.waits_ms, policy.priority)
        return QueueLoad(self.pending.get(policy.queue, 0), wait_ms)


def measure_loads(state: PoolState, now: Instant) -> PoolLoads:
    """Return the load of all queues."""
    pending: dict[str, int] = {}
    held_bytes = 0
    for job in state.jobs.values():
        held_bytes += JOB_BYTES + len(job.record.text) + job.occurrences * job.occurrence_bytes
        if not job.has_started and job.final is None and not job.record.repeats:
            pending[job.record.queue] = pending.get(job.record.queue, 0) + 1
    work = sum_waiting_work(state, now, is_over_share=False)
    return PoolLoads(pending, measure_waits(work, sum_fleet_millicores(state)), held_bytes)


def measure_waits(work: dict[int, float], fleet_millicores: int) -> PriorityWaits:
    """Return how long a fleet needs for work in millicores times ms, by priority."""
    if not fleet_millicores:
        return ()
    sums = itertools.accumulate(amount for _, amount in sorted(work.items()))
    return tuple(
        (priority, int(total / fleet_millicores))
        for priority, total in zip(sorted(work), sums, strict=True)
    )


def find_wait_ms(waits: PriorityWaits, priority: int) -> int:
    """Return the time until the work ahead of a new job of this priority is done, in ms."""
    return max((wait_ms for other, wait_ms in waits if other <= priority), default=0)


def decide_admission(record: JobRecord, policy: QueuePolicy, load: QueueLoad | None) -> int | None:
    """Return `None` to accept the job, or the time in ms after which its caller should retry.

    The job is accepted if the load is not known. Repeating jobs and jobs with lasting tasks are
    always accepted, because they do not need resources at once.
    """
    if load is None or record.repeats or any(step.lasting for step in record.steps):
        return None
    critical_path_ms = max(estimate_critical_paths(record.steps), default=0.0)
    latest_ms = LATE_FACTOR * get_completion_objective_ms(policy, critical_path_ms)
    if load.wait_ms + critical_path_ms <= latest_ms:
        return None
    over_ms = load.wait_ms + critical_path_ms - latest_ms
    return spread_retry(over_ms, record.job)


def spread_retry(wait_ms: float, job: JobId) -> int:
    """Return a time in ms that is at least the wait, and differs between jobs."""
    jitter = int(job[-1], 16) / JITTER_STEPS
    return int(wait_ms * (1 + RETRY_JITTER * jitter)) + 1

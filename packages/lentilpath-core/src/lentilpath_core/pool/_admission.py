"""Admission control: decides whether a job is refused and when its caller should retry.

Designed for a burst of twice the traffic on a fleet that is nearly full. A job that would complete
too late to be of any value is refused at once, with the time after which the work ahead of it will
have drained.
"""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import Instant
from lentilpath_core.pool._model import (
    JobRecord,
    QueueId,
    QueuePolicy,
    get_completion_objective_ms,
)
from lentilpath_core.pool._order import LATE_FACTOR, estimate_work, rank_step
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


def measure_loads(state: PoolState, now: Instant) -> dict[str, QueueLoad]:
    """Return the load of each queue, by queue id."""
    pending_jobs: dict[str, int] = dict.fromkeys(state.configuration.queues, 0)
    for job in state.jobs.values():
        if not job.has_started and job.final is None and not job.record.repeats:
            pending_jobs[job.record.queue] = pending_jobs.get(job.record.queue, 0) + 1
    waiting_work = _sum_waiting_work(state, now)
    # Workers that a new leader has not heard from count too. Without them the wait would be many
    # times too long, and jobs would be refused although workers are idle.
    fleet_millicores = sum(
        worker.listed.capacity.millicores for worker in state.workers.values() if worker.is_listed
    )
    loads = {}
    for queue, count in pending_jobs.items():
        policy = state.configuration.queues.get(QueueId(queue))
        priority = policy.priority if policy is not None else 0
        work_ahead = sum(
            amount
            for waiting_priority, amount in waiting_work.items()
            if waiting_priority <= priority
        )
        loads[queue] = QueueLoad(
            count, int(work_ahead / fleet_millicores) if fleet_millicores else 0
        )
    return loads


def _sum_waiting_work(state: PoolState, now: Instant) -> dict[int, float]:
    """Return the waiting work that is still of value, in millicores times ms, by priority.

    Recovered work is left out until all workers that may be running it have reported.
    """
    work: dict[int, float] = {}
    for step in state.open_steps.values():
        if step.job.is_recovered and state.unconfirmed_workers:
            continue
        rank = rank_step(state, step, now)
        if rank.tier > 1 or step.spec.lasting or step.spec.fills:
            continue
        work[rank.priority] = work.get(rank.priority, 0.0) + estimate_work(state, step)
    return work


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
    jitter = int(record.job[-1], 16) / JITTER_STEPS
    return int(over_ms * (1 + RETRY_JITTER * jitter)) + 1

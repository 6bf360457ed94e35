"""When to refuse a job, and when its caller should come back.

Answers the load pattern of a burst of twice the traffic on a fleet that is nearly full: a job that
could only complete after its worth is gone is refused at once, with the time after which the work
before it will have drained.
"""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import Instant
from lentilpath_core.pool._model import (
    JobRecord,
    QueueId,
    QueuePolicy,
    get_wait_objective,
)
from lentilpath_core.pool._order import LATE_FACTOR, rank_step
from lentilpath_core.pool._state import PoolState
from lentilpath_core.pool._steps import estimate_tails

RETRY_SPREAD = 0.5
"""Callers come back over this share of the wait beyond it, so that they don't come all at once."""
SPREAD_STEPS = 16
"""Values of the last digit of a job's id, which spreads callers evenly."""


class QueueLoad(msgspec.Struct, frozen=True):
    """A queue's load as the leader sees it."""

    pending: int
    """Accepted jobs none of whose tasks has started."""
    wait_ms: int
    """Time in which the fleet does what waits before a new job of the queue."""


def measure_loads(state: PoolState, now: Instant) -> dict[str, QueueLoad]:
    """Return the load of each queue."""
    pending: dict[str, int] = dict.fromkeys(state.configuration.queues, 0)
    for job in state.jobs.values():
        if not job.has_started and job.final is None and not job.record.repeats:
            pending[job.record.queue] = pending.get(job.record.queue, 0) + 1
    work = _sum_waiting_work(state, now)
    room = sum(
        worker.listed.capacity.millicores
        for worker in state.workers.values()
        if worker.is_listed and worker.reported_at is not None
    )
    loads = {}
    for queue, count in pending.items():
        policy = state.configuration.queues.get(QueueId(queue))
        priority = policy.priority if policy is not None else 0
        before = sum(amount for urgency, amount in work.items() if urgency <= priority)
        loads[queue] = QueueLoad(count, int(before / room) if room else 0)
    return loads


def _sum_waiting_work(state: PoolState, now: Instant) -> dict[int, float]:
    """Return millicores times ms that wait and still have worth, by priority."""
    work: dict[int, float] = {}
    for step in state.open_steps.values():
        tier, priority, _ = rank_step(step, now)
        if tier > 1 or step.spec.lasting or step.spec.fills:
            continue
        ratio = state.run_ratio.get(step.job.record.queue, 1.0)
        each = step.spec.room.millicores * step.spec.estimate_ms * ratio
        work[priority] = work.get(priority, 0.0) + each * len(step.waiting)
    return work


def decide_admission(record: JobRecord, policy: QueuePolicy, load: QueueLoad | None) -> int | None:
    """Return `None` to accept the job, or in how many ms its caller should come back.

    Without a recent word on the load the job is accepted. Jobs for later and lasting work wait for
    no room now.
    """
    if load is None or record.repeats or any(step.lasting for step in record.steps):
        return None
    chain_ms = max(estimate_tails(record.steps), default=0.0)
    latest_ms = LATE_FACTOR * get_wait_objective(policy, chain_ms)
    if load.wait_ms + chain_ms <= latest_ms:
        return None
    over_ms = load.wait_ms + chain_ms - latest_ms
    share = int(record.job[-1], 16) / SPREAD_STEPS
    return int(over_ms * (1 + RETRY_SPREAD * share)) + 1

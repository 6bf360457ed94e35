"""Order in which placement tries waiting steps when not all of them can complete in time."""

from __future__ import annotations

from typing import NamedTuple

from lentilpath_core.ids import Instant
from lentilpath_core.pool._customers import compute_weighted_share
from lentilpath_core.pool._state import PoolState, Step


class Rank(NamedTuple):
    """Sort key of a waiting step; steps with a smaller rank are placed first."""

    is_worthless: bool
    """Whether the job is too late to be of any value, so that even work beyond its share goes
    before it."""
    is_over_share: bool
    """Whether the job is beyond the number of jobs per second that its customer is entitled to."""
    tier: int
    """0 if the job can complete within its objective, 1 if it will be late, 2 if it is too late to
    be of any value."""
    priority: int
    weighted_share: float
    """The customer's dominant share of the fleet divided by its weight; 0 without a customer."""
    work: float
    """Work that the step waits with, in millicores times ms; 0 while there is room for all."""
    due_at: float

    def get_class(self) -> tuple[bool, bool, int, int]:
        """Return the fields before the share: the customers' shares count among equal ones."""
        return self[:4]


LATE_FACTOR = 3.0
"""A job that completes within this many times its objective is late but still of some value."""
REMAINING_WORK_SHARE = 0.5
"""Share of the estimated remaining time that must fit before a deadline. Estimates are rough, so
a job counts as in time if half of its estimated remaining time still fits."""


def rank_step(state: PoolState, step: Step, now: Instant) -> Rank:
    """Return the rank of a step.

    Lasting steps are always in tier 0 and ordered by the time at which their job was accepted. The
    others are ordered by the earliest deadline, and under contention by the least work first, which
    completes the most jobs in time with the same capacity (docs/design/least-cost.md).
    """
    job = step.job
    priority = job.policy.priority if job.policy is not None else 0
    due_at = job.accepted_at + job.objective_ms
    share = compute_weighted_share(state, job)
    if step.spec.lasting:
        return Rank(False, job.is_over_share, 0, priority, share, 0.0, job.accepted_at)
    remaining_ms = step.critical_path_ms * REMAINING_WORK_SHARE
    if now + remaining_ms <= due_at:
        tier = 0
    elif now + remaining_ms <= job.accepted_at + LATE_FACTOR * job.objective_ms:
        tier = 1
    else:
        tier = 2
    work = estimate_work(state, step) if state.is_contended else 0.0
    return Rank(tier == 2, job.is_over_share, tier, priority, share, work, due_at)


def estimate_work(state: PoolState, step: Step) -> float:
    """Return the expected work of the step's waiting tasks, in millicores times ms."""
    ratio = state.run_time_ratios.get(step.job.record.queue, 1.0)
    return step.spec.room.millicores * step.spec.estimate_ms * ratio * len(step.waiting)

"""Order in which placement tries waiting steps when not all of them can complete in time."""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.pool._state import Step

Rank = tuple[int, int, float]

LATE_FACTOR = 3.0
"""A job that completes within this many times its objective is late but still of some value."""
REMAINING_WORK_SHARE = 0.5
"""Share of the estimated remaining time that must fit before a deadline. Estimates are rough, so
a job counts as in time if half of its estimated remaining time still fits."""


def rank_step(step: Step, now: Instant) -> Rank:
    """Return the rank of a step; steps with a smaller rank are placed first.

    The rank orders by tier, then by the queue's priority, then by the earliest deadline. Tier 0
    holds steps of jobs that can complete within their objective, tier 1 those that will be late,
    and tier 2 those that are too late to be of any value. Lasting steps are always in tier 0 and
    ordered by the time at which their job was accepted.
    """
    job = step.job
    priority = job.policy.priority if job.policy is not None else 0
    due_at = job.accepted_at + job.objective_ms
    if step.spec.lasting:
        return (0, priority, job.accepted_at)
    remaining_ms = step.critical_path_ms * REMAINING_WORK_SHARE
    if now + remaining_ms <= due_at:
        tier = 0
    elif now + remaining_ms <= job.accepted_at + LATE_FACTOR * job.objective_ms:
        tier = 1
    else:
        tier = 2
    return (tier, priority, due_at)

"""The order in which waiting steps are tried, when not all of them can be served in time."""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.pool._state import Step

Rank = tuple[int, int, float]

LATE_FACTOR = 3.0
"""Work that completes within this many times its objective still earns a part of its worth."""
TAIL_SHARE = 0.5
"""Estimates are rough: a job is held to be in time if half of its estimated rest still fits."""


def rank_step(step: Step, now: Instant) -> Rank:
    """Return the step's place in the order; smaller comes first.

    First what can complete within its objective, then what completes late, then what earns nothing
    any more; in each by the queue's priority, then by what is due first.
    """
    job = step.job
    priority = job.policy.priority if job.policy is not None else 0
    due_at = job.accepted_at + job.objective_ms
    if step.spec.lasting:
        return (0, priority, job.accepted_at)
    rest_ms = step.tail_ms * TAIL_SHARE
    if now + rest_ms <= due_at:
        tier = 0
    elif now + rest_ms <= job.accepted_at + LATE_FACTOR * job.objective_ms:
        tier = 1
    else:
        tier = 2
    return (tier, priority, due_at)

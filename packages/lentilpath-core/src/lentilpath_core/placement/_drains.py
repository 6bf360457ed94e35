"""Evicts tasks from draining workers while each service keeps its minimum of replicas."""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.placement._messages import Decision
from lentilpath_core.placement._preemption import can_spare_replica
from lentilpath_core.placement._queues import estimate_needed
from lentilpath_core.placement._records import Allocation, PlacementState
from lentilpath_core.placement._rooms import find_worker
from lentilpath_core.placement._stops import request_stop
from lentilpath_core.workloads import WorkloadKind


def evict_from_draining(
    state: PlacementState, decisions: list[Decision], limit: int, now: Instant
) -> None:
    """Request stops for tasks on draining workers that fit on another worker now.

    Gang tasks, and batch tasks that cannot be checkpointed, run to completion. Returns as
    soon as `decisions` has `limit` entries.
    """
    for name in state.draining:
        worker = state.workers[name]
        for allocation in tuple(worker.allocations.values()):
            if len(decisions) >= limit:
                return
            if _can_evict(state, allocation):
                reason = f"moves off {allocation.worker}, which is draining"
                decisions.append(request_stop(state, allocation, reason, now))


def _can_evict(state: PlacementState, allocation: Allocation) -> bool:
    if allocation.stopping:
        return False
    if allocation.job.spec.kind is WorkloadKind.SERVICE:
        if not allocation.seen_running or not can_spare_replica(allocation):
            return False
    elif (
        allocation.job.spec.kind is WorkloadKind.GANG
        or not allocation.job.spec.policy.checkpointable
    ):
        return False
    return (
        find_worker(state, allocation.job, estimate_needed(allocation.job), {allocation.worker})
        is not None
    )

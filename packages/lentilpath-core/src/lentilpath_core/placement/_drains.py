"""Moving work off draining workers, without a service falling below its minimum."""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.placement._messages import Decision
from lentilpath_core.placement._preemption import can_spare_replica
from lentilpath_core.placement._queues import find_needed
from lentilpath_core.placement._records import HeldRoom, PlacementState
from lentilpath_core.placement._rooms import find_worker
from lentilpath_core.placement._stops import request_stop
from lentilpath_core.workloads import WorkloadKind


def move_from_draining(
    state: PlacementState, decisions: list[Decision], limit: int, now: Instant
) -> None:
    """Stop what can run elsewhere now; batch tasks that cannot be checkpointed run to their end."""
    for name in state.draining:
        worker = state.workers[name]
        for held in tuple(worker.tasks.values()):
            if len(decisions) >= limit:
                return
            if _may_move(state, held):
                reason = f"moves off {held.worker}, which is draining"
                decisions.append(request_stop(state, held, reason, now))


def _may_move(state: PlacementState, held: HeldRoom) -> bool:
    if held.stopping:
        return False
    if held.job.spec.kind is WorkloadKind.SERVICE:
        if not held.seen_running or not can_spare_replica(held):
            return False
    elif held.job.spec.kind is WorkloadKind.GANG or not held.job.spec.policy.checkpointable:
        return False
    return find_worker(state, held.job, find_needed(held.job), {held.worker}) is not None

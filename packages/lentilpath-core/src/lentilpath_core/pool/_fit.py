"""How well a worker suits a step: the slots that it has for it, and the cost of choosing it.

Designed for a fleet at four fifths of its capacity: small tasks go to the fullest workers, so that
the free resources of the others stay together for large tasks.
"""

from __future__ import annotations

from lentilpath_core.pool._state import Step, Worker
from lentilpath_core.resources import Resources

REMOTE_COST = 4.0
"""Cost of a worker on another rack than the step's data. Remote runs take up to three times as
long, so it exceeds any difference in fit, which is at most 2. Also the cost of a rack that is too
small for a gang, and of a worker with serving tasks for a filling step."""
SLOW_COST = 8.0
"""Cost of a slow worker. It exceeds `REMOTE_COST`, because a slow worker delays a run by more than
a remote one does."""
RESERVED_COST = 16.0
"""Cost of a worker that is reserved for a gang. It exceeds `SLOW_COST`, because a gang that lacks
one worker delays all its tasks."""


def compute_cost(step: Step, worker: Worker, remaining: Resources) -> float:
    """Return the cost of a worker for the step; the lowest cost wins.

    Without penalties the fullest worker costs least (best fit).
    """
    capacity = worker.listed.capacity
    if step.spec.fills:
        return _compute_filling_cost(step, worker, remaining)
    room = step.spec.counted_room
    cost = (remaining.millicores - room.millicores) / max(capacity.millicores, 1)
    cost += (remaining.memory_mib - room.memory_mib) / max(capacity.memory_mib, 1)
    if step.spec.data_rack and worker.listed.rack != step.spec.data_rack:
        cost += REMOTE_COST
    if worker.is_slow:
        cost += SLOW_COST
    return cost


def _compute_filling_cost(step: Step, worker: Worker, remaining: Resources) -> float:
    """Return the cost of a worker for a filling step, which gets only idle processor time.

    Workers with more idle processor time cost less; those that run serving tasks cost more.
    """
    capacity = max(worker.listed.capacity.millicores, 1)
    filling_millicores = 0
    cost = 0.0
    for attempt in worker.attempts.values():
        if attempt.step is None:
            continue
        if attempt.step.spec.fills:
            filling_millicores += attempt.step.spec.room.millicores
        if attempt.step.spec.tail_target_ms:
            cost = REMOTE_COST
    if step.spec.data_rack and worker.listed.rack != step.spec.data_rack:
        cost += REMOTE_COST
    return cost + (filling_millicores - remaining.millicores) / capacity


def count_slots(step: Step, free: Resources, running: int) -> int:
    """Return how many of the step's tasks fit in `free`, at most as many as the step has.

    `running` is the number of the step's tasks that the worker runs already.
    """
    most = step.spec.count
    if step.spec.most_per_worker:
        most = min(most, step.spec.most_per_worker - running)
    return step.spec.counted_room.count_in(free, most)


def compute_rack_costs(step: Step, fitting: list[Worker]) -> dict[str, float]:
    """Return a cost for each rack that steers a gang into the rack with the most free slots."""
    slots: dict[str, int] = {}
    for worker in fitting:
        rack = worker.listed.rack
        slots[rack] = slots.get(rack, 0) + count_slots(step, worker.free, 0)
    return {
        rack: REMOTE_COST * (0 if count >= step.spec.count else 1) - count * 1e-3
        for rack, count in slots.items()
    }

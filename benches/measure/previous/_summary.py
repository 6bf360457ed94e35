"""The room and the queue of a zone in a few numbers."""

from __future__ import annotations

from dataclasses import dataclass

from benches.measure.previous._queues import find_head
from benches.measure.previous._records import PlacementState
from benches.measure.previous._rooms import is_usable, take_larger
from lentilpath_core.ids import Instant
from lentilpath_core.resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class PlacementSummary:
    """What a zone has, holds and lacks."""

    total: Resources
    """Capacity of all workers in use."""
    free: Resources
    largest: Resources
    """The most of each resource that one worker in use has."""
    waiting: Resources
    """What the tasks that wait for room need together."""
    oldest_wait_ms: int
    """How long the oldest job has found no room."""


def summarize_placement(state: PlacementState, now: Instant) -> PlacementSummary:
    """Return the summary; its cost grows with workers and groups of waiting jobs, not tasks."""
    total = free = largest = NO_RESOURCES
    for worker in state.workers.values():
        if is_usable(worker):
            total += worker.capacity
            free += take_larger(worker.open, NO_RESOURCES)
            largest = take_larger(largest, worker.capacity)
    oldest_wait_ms = 0
    for shape in state.blocked_shapes.values():
        for group in shape.parked:
            head = find_head(group)
            if head is not None and head.blocked_since is not None:
                oldest_wait_ms = max(oldest_wait_ms, now - head.blocked_since)
    return PlacementSummary(total, free, largest, state.waiting, oldest_wait_ms)

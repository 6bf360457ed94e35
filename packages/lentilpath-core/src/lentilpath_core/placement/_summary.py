"""Summarizes the capacity and the queue of a zone."""

from __future__ import annotations

from dataclasses import dataclass

from lentilpath_core.ids import Instant
from lentilpath_core.placement._queues import find_head
from lentilpath_core.placement._records import PlacementState
from lentilpath_core.placement._rooms import is_schedulable, max_resources
from lentilpath_core.resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class PlacementSummary:
    """Total, free and requested resources of a zone, and the age of its queue."""

    total: Resources
    """Capacity of all schedulable workers."""
    free: Resources
    largest: Resources
    """Largest amount of each resource on any schedulable worker."""
    waiting: Resources
    """Total declared size of the waiting tasks."""
    oldest_wait_ms: int
    """Longest time that the first job of any group has found no room."""


def summarize_placement(state: PlacementState, now: Instant) -> PlacementSummary:
    """Return the summary in time linear in workers and groups of waiting jobs, not in tasks."""
    total = free = largest = NO_RESOURCES
    for worker in state.workers.values():
        if is_schedulable(worker):
            total += worker.capacity
            free += max_resources(worker.unreserved, NO_RESOURCES)
            largest = max_resources(largest, worker.capacity)
    oldest_wait_ms = 0
    for group in state.review_queue:
        head = find_head(group)
        if head is not None and head.blocked_since is not None:
            oldest_wait_ms = max(oldest_wait_ms, now - head.blocked_since)
    return PlacementSummary(total, free, largest, state.waiting, oldest_wait_ms)

"""Headroom for urgent work, which batch tasks that cannot be preempted may not occupy.

Its size is the peak demand of urgent work over the last half hour to hour. Preemptible tasks may
use the headroom, so it is idle only if none of them wait.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.placement._queues import is_preemptible
from lentilpath_core.placement._records import Job, PlacementState
from lentilpath_core.placement._rooms import max_resources
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.workloads import PriorityClass, WorkloadKind

PEAK_WINDOW_MS = 1_800_000
"""Length of a peak window; the current and the previous window count."""
MAX_HEADROOM_DIVISOR = 5
"""The headroom is at most the zone's capacity divided by this."""


def record_urgent_peak(state: PlacementState, now: Instant) -> None:
    """Raise the peak of the current window to the demand of waiting and running urgent work."""
    if now - state.urgent_window_started_at >= PEAK_WINDOW_MS:
        state.urgent_window_started_at = now
        state.previous_urgent_peak = state.urgent_peak
        state.urgent_peak = NO_RESOURCES
    state.urgent_peak = max_resources(
        state.urgent_peak, state.urgent_waiting + state.urgent_allocated
    )


def leaves_headroom(state: PlacementState, job: Job, needed: Resources) -> bool:
    """Return whether the headroom for urgent work stays intact if the job is allocated `needed`.

    Only batch jobs that cannot be preempted are limited.
    """
    policy = job.spec.policy
    if policy.priority is PriorityClass.URGENT or is_preemptible(job):
        return True
    if job.spec.kind is not WorkloadKind.BATCH:
        return True
    headroom = _compute_headroom(state)
    if headroom == NO_RESOURCES:
        return True
    return (state.non_preemptible + needed + headroom).fits_in(state.total)


def _compute_headroom(state: PlacementState) -> Resources:
    peak = max_resources(state.urgent_peak, state.previous_urgent_peak)
    total = state.total
    return Resources(
        min(peak.millicores, total.millicores // MAX_HEADROOM_DIVISOR),
        min(peak.memory_mib, total.memory_mib // MAX_HEADROOM_DIVISOR),
        min(peak.accelerators, total.accelerators // MAX_HEADROOM_DIVISOR),
    )

"""Room that is kept clear of work that cannot make room, so that urgent work finds some.

The room follows the most that urgent work needed at one time in the last hour. Tasks that policy
lets lentilpath checkpoint or stop may fill it, so it is idle only if no such work waits.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.placement._queues import can_make_room
from lentilpath_core.placement._records import Job, PlacementState
from lentilpath_core.placement._rooms import take_larger
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.workloads import PriorityClass, WorkloadKind

WINDOW_MS = 1_800_000
"""Needs are remembered for one to two windows."""
MAX_HEADROOM_DIVISOR = 5
"""At most this part of a zone is kept."""


def note_urgent_need(state: PlacementState, now: Instant) -> None:
    """Remember what urgent work needs now if it is the most of this window."""
    if now - state.urgent_window_at >= WINDOW_MS:
        state.urgent_window_at = now
        state.urgent_peak_before = state.urgent_peak
        state.urgent_peak = NO_RESOURCES
    state.urgent_peak = take_larger(state.urgent_peak, state.urgent_waiting + state.urgent_held)


def keeps_headroom(state: PlacementState, job: Job, needed: Resources) -> bool:
    """Return whether the zone could still make room for urgent work if `needed` were held."""
    policy = job.spec.policy
    if policy.priority is PriorityClass.URGENT or can_make_room(job):
        return True
    if job.spec.kind is not WorkloadKind.BATCH:
        return True
    kept = _find_headroom(state)
    if kept == NO_RESOURCES:
        return True
    return (state.firm + needed + kept).fits_in(state.total)


def _find_headroom(state: PlacementState) -> Resources:
    peak = take_larger(state.urgent_peak, state.urgent_peak_before)
    total = state.total
    return Resources(
        min(peak.millicores, total.millicores // MAX_HEADROOM_DIVISOR),
        min(peak.memory_mib, total.memory_mib // MAX_HEADROOM_DIVISOR),
        min(peak.accelerators, total.accelerators // MAX_HEADROOM_DIVISOR),
    )

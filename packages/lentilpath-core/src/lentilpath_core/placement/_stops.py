"""Requests stops of running attempts, and resends them in case a command was lost."""

from __future__ import annotations

import heapq

from lentilpath_core.ids import Instant
from lentilpath_core.placement._messages import Decision, StopMode, StopTask
from lentilpath_core.placement._queues import allocate_sequence_number
from lentilpath_core.placement._records import Allocation, PlacementState
from lentilpath_core.placement._rooms import mark_stopping

STOP_RESEND_AFTER_MS = 30_000
"""A stop command is sent again if the attempt has not ended after this long."""


def request_stop(
    state: PlacementState, allocation: Allocation, reason: str, now: Instant
) -> StopTask:
    """Mark the attempt as stopping and return its stop command.

    The attempt is checkpointed if its policy allows it, and stopped otherwise.
    """
    mode = StopMode.CHECKPOINT if allocation.job.spec.policy.checkpointable else StopMode.STOP
    stop = StopTask(allocation.task, allocation.attempt, allocation.worker, mode, reason)
    mark_stopping(state, allocation)
    _schedule_resend(state, stop, now)
    return stop


def resend_stops(state: PlacementState, now: Instant, decisions: list[Decision]) -> None:
    """Resend the due stop commands whose attempts have not ended."""
    while state.stop_resends and state.stop_resends[0][0] <= now:
        stop = heapq.heappop(state.stop_resends)[2]
        allocation = state.allocations.get(stop.task)
        if allocation is not None and allocation.attempt == stop.attempt:
            decisions.append(stop)
            _schedule_resend(state, stop, now)


def _schedule_resend(state: PlacementState, stop: StopTask, now: Instant) -> None:
    resend_at = Instant(now + STOP_RESEND_AFTER_MS)
    heapq.heappush(state.stop_resends, (resend_at, allocate_sequence_number(state), stop))

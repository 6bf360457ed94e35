"""Ending running attempts, and asking again if a command was lost."""

from __future__ import annotations

import heapq

from lentilpath_core.ids import Instant
from lentilpath_core.placement._messages import Decision, StopMode, StopTask
from lentilpath_core.placement._queues import take_number
from lentilpath_core.placement._records import HeldRoom, PlacementState
from lentilpath_core.placement._rooms import mark_stopping

ASK_AGAIN_AFTER_MS = 30_000
"""A stop is asked for again if the attempt holds its room for so long after it."""


def request_stop(state: PlacementState, held: HeldRoom, reason: str, now: Instant) -> StopTask:
    """Return the command that ends the attempt in the gentlest way its policy knows."""
    mode = StopMode.CHECKPOINT if held.job.spec.policy.checkpointable else StopMode.STOP
    stop = StopTask(held.task, held.attempt, held.worker, mode, reason)
    mark_stopping(state, held)
    _note_request(state, stop, now)
    return stop


def repeat_stops(state: PlacementState, now: Instant, decisions: list[Decision]) -> None:
    """Ask again for stops whose attempts still hold room."""
    while state.stops and state.stops[0][0] <= now:
        stop = heapq.heappop(state.stops)[2]
        held = state.placed.get(stop.task)
        if held is not None and held.attempt == stop.attempt:
            decisions.append(stop)
            _note_request(state, stop, now)


def _note_request(state: PlacementState, stop: StopTask, now: Instant) -> None:
    again_at = Instant(now + ASK_AGAIN_AFTER_MS)
    heapq.heappush(state.stops, (again_at, take_number(state), stop))

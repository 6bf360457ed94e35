"""Moves lasting tasks off workers that are about to leave.

Answers the load pattern in which a part of the fleet is taken away at short notice. A lasting task
would be away until its worker's end is known; one that is stopped starts elsewhere at once. Other
work runs on: a worker often stays longer than it has promised, and room elsewhere is scarce then.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.pool._events import PoolEffect, StopReason
from lentilpath_core.pool._model import ListedWorker
from lentilpath_core.pool._state import Phase, PoolState, Worker
from lentilpath_core.pool._steps import stop_attempt

EVACUATION_MARGIN_MS = 1_500
"""A stop takes up to 900 ms on the deployments' sheets, and its end is listed within 100 ms; the
rest is the age of the notice, of which the half second between two of our reads is the most."""


def note_leaving(worker: Worker, listed: ListedWorker, now: Instant) -> None:
    """Take in how much longer a worker says that it stays; it never stays shorter."""
    if listed.leaves_in_ms is None:
        worker.leaves_at = None
        return
    leaves_at = Instant(now + listed.leaves_in_ms)
    if worker.leaves_at is None or leaves_at < worker.leaves_at:
        worker.leaves_at = leaves_at


def evacuate_leaving(state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    """Stop lasting tasks as late as they can be started elsewhere before their worker ends."""
    effects: list[PoolEffect] = []
    for worker in state.workers.values():
        if worker.leaves_at is None or now < worker.leaves_at - EVACUATION_MARGIN_MS:
            continue
        for attempt in worker.attempts.values():
            is_lasting = attempt.step is not None and attempt.step.spec.lasting
            if is_lasting and attempt.phase is Phase.RUNNING:
                effects.extend(stop_attempt(attempt, StopReason.EVACUATED, now))
    return tuple(effects)

"""Moves work off workers that are about to leave.

Answers the load pattern in which a part of the fleet is taken away at short notice: work that saves
its progress goes on elsewhere from there, rather than from the last checkpoint that it made by
itself. All other work runs on, as a worker often stays longer than it has promised.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.pool._events import PoolEffect, StopReason
from lentilpath_core.pool._model import ListedWorker
from lentilpath_core.pool._state import Attempt, Phase, PoolState, Worker
from lentilpath_core.pool._steps import break_gang, stop_attempt

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
    """Stop what would lose progress when its worker ends, as late as it can be saved."""
    effects: list[PoolEffect] = []
    for worker in state.workers.values():
        if worker.leaves_at is None or now < worker.leaves_at - EVACUATION_MARGIN_MS:
            continue
        for attempt in worker.attempts.values():
            if _is_moved(state, attempt, now):
                effects.extend(_stop(attempt, now))
    return tuple(effects)


def _is_moved(state: PoolState, attempt: Attempt, now: Instant) -> bool:
    step = attempt.step
    if step is None or attempt.phase is not Phase.RUNNING:
        return False
    if step.spec.lasting:
        return True
    return step.spec.saves_progress and _estimate_rest(state, attempt, now) > EVACUATION_MARGIN_MS


def _estimate_rest(state: PoolState, attempt: Attempt, now: Instant) -> float:
    """Return how long, in ms, the run will still take, by its progress or else its estimate."""
    step = attempt.step
    assert step is not None
    elapsed_ms = now - attempt.begun_at
    if attempt.percent:
        return elapsed_ms * (100 - attempt.percent) / attempt.percent
    ratio = state.run_ratio.get(step.job.record.queue, 1.0)
    return step.spec.estimate_ms * ratio - elapsed_ms


def _stop(attempt: Attempt, now: Instant) -> tuple[PoolEffect, ...]:
    step = attempt.step
    assert step is not None
    if step.spec.gang:
        return break_gang(step, now, StopReason.EVACUATED)
    return stop_attempt(attempt, StopReason.EVACUATED, now)

"""Throttles filling (best-effort) runs on workers whose serving tasks miss their latency target.

Filling tasks should use only idle processor time, but they can slow down the serving tasks on the
same worker so that these miss their target.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.pool._events import PaceRun, PoolEffect
from lentilpath_core.pool._state import Attempt, Phase, Worker

FULL_PACE = 100
"""Percent; the unthrottled pace, at which runs start."""
SLOW_DOWN_AFTER_MS = 700
"""Shortest time from a change of pace to a reduction. The effect of a change shows in the latencies
of the half second after it."""
SPEED_UP_AFTER_MS = 2_000
"""Shortest time from a change of pace to an increase. It spans four of the half-second intervals
that a report covers, so that one quiet interval counts little."""
SLOW_DOWN_FACTOR = 4
"""The pace is divided by this. Two reductions leave almost nothing, well before latencies have been
above the target for 4 s, which is counted as harm."""
MIN_PACE = 10
"""Percent; a lower pace is set to 0, because it does almost no work and still disturbs serving
tasks."""
SPEED_UP_STEP = 25
"""Percent added per increase, so that four increases lead from 0 to full pace."""
SPEED_UP_MAX_RATIO = 0.8
"""Filling runs speed up only while serving latencies are at most this share of their target."""


def adjust_paces(worker: Worker, now: Instant) -> tuple[PoolEffect, ...]:
    """Return effects that adapt the pace of a worker's filling runs to its last report."""
    filling_runs = [each for each in worker.attempts.values() if _is_filling(each)]
    if not filling_runs:
        return ()
    latency_ratio = max(
        (_compute_latency_ratio(each) for each in worker.attempts.values()), default=0.0
    )
    effects: list[PoolEffect] = []
    for attempt in filling_runs:
        pace = _choose_pace(attempt, latency_ratio, now)
        if pace != attempt.pace:
            attempt.pace = pace
            attempt.pace_changed_at = now
            effects.append(PaceRun(worker.worker, worker.life, attempt.task, attempt.run, pace))
    return tuple(effects)


def _is_filling(attempt: Attempt) -> bool:
    return attempt.step is not None and attempt.step.spec.fills and attempt.phase is Phase.RUNNING


def _compute_latency_ratio(attempt: Attempt) -> float:
    """Return a serving run's tail latency divided by its target; 0 for other runs."""
    if attempt.step is None or not attempt.step.spec.tail_target_ms:
        return 0.0
    return attempt.load / attempt.step.spec.tail_target_ms


def _choose_pace(attempt: Attempt, latency_ratio: float, now: Instant) -> int:
    since_ms = now - attempt.pace_changed_at
    known = FULL_PACE if attempt.pace is None else attempt.pace
    if latency_ratio > 1.0 and since_ms >= SLOW_DOWN_AFTER_MS:
        slower = known // SLOW_DOWN_FACTOR
        return slower if slower >= MIN_PACE else 0
    if latency_ratio <= SPEED_UP_MAX_RATIO and since_ms >= SPEED_UP_AFTER_MS:
        return min(FULL_PACE, known + SPEED_UP_STEP)
    return known

"""Holds filling work back where serving work beside it is slower than its target.

Answers the load pattern in which a worker's serving tasks miss their response times because of
work that only fills what they leave.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.pool._events import PaceRun, PoolEffect
from lentilpath_core.pool._state import Attempt, Phase, Worker

FULL_PACE = 100
"""Percent; the pace at which runs start."""
SLOW_DOWN_AFTER_MS = 700
"""A change of pace shows in the figures of the half second after it."""
SPEED_UP_AFTER_MS = 2_000
"""Four of the half seconds that a report covers, so that one quiet moment counts little."""
SLOW_DOWN_FACTOR = 4
"""Two steps leave almost nothing, well before 4 s over the target are counted as harm."""
MIN_PACE = 10
"""Percent; less than this is nearly nothing and still disturbs, so it becomes 0."""
SPEED_UP_STEP = 25
"""Percent; from 0 to full pace in four steps."""
CALM_SHARE = 0.8
"""Filling work goes faster only while serving work is this far below its target."""


def adjust_paces(worker: Worker, now: Instant) -> tuple[PoolEffect, ...]:
    """Return the changes of pace that the last report of a worker calls for."""
    fillers = [each for each in worker.attempts.values() if _is_filling(each)]
    if not fillers:
        return ()
    strain = max((_measure_strain(each) for each in worker.attempts.values()), default=0.0)
    effects: list[PoolEffect] = []
    for attempt in fillers:
        pace = _choose_pace(attempt, strain, now)
        if pace != attempt.pace:
            attempt.pace = pace
            attempt.pace_changed_at = now
            effects.append(PaceRun(worker.worker, worker.life, attempt.task, attempt.run, pace))
    return tuple(effects)


def _is_filling(attempt: Attempt) -> bool:
    return attempt.step is not None and attempt.step.spec.fills and attempt.phase is Phase.RUNNING


def _measure_strain(attempt: Attempt) -> float:
    """Return a serving run's tail as a share of its target; 0 for others."""
    if attempt.step is None or not attempt.step.spec.tail_target_ms:
        return 0.0
    return attempt.load / attempt.step.spec.tail_target_ms


def _choose_pace(attempt: Attempt, strain: float, now: Instant) -> int:
    since_ms = now - attempt.pace_changed_at
    if strain > 1.0 and since_ms >= SLOW_DOWN_AFTER_MS:
        slower = attempt.pace // SLOW_DOWN_FACTOR
        return slower if slower >= MIN_PACE else 0
    if strain <= CALM_SHARE and since_ms >= SPEED_UP_AFTER_MS:
        return min(FULL_PACE, attempt.pace + SPEED_UP_STEP)
    return attempt.pace

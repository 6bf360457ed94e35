"""Evacuates lasting tasks from workers that are about to leave.

Designed for the case that a part of the fleet is removed at short notice. A lasting task that is
not stopped is unavailable until its worker's end is detected; one that is stopped restarts on
another worker at once. Other tasks keep running, because a worker often stays longer than announced
and free resources on other workers are scarce at that time.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.pool._events import (
    PoolEffect,
)
from lentilpath_core.pool._model import ListedWorker
from lentilpath_core.pool._reasons import (
    StopReason,
)
from lentilpath_core.pool._state import Phase, PoolState, Worker
from lentilpath_core.pool._steps import stop_attempt

EVACUATION_MARGIN_MS = 1_500
"""Lasting tasks are stopped this long before their worker leaves. By the deployments' data sheets a
stop takes up to 900 ms, and its end is listed within 100 ms. The rest covers the age of the leave
notice, most of which is the 500 ms between two reads of the worker list."""


def update_leave_time(worker: Worker, listed: ListedWorker, now: Instant) -> None:
    """Update the earliest time at which the worker may leave, which is the time it announced.

    A worker never leaves before an announced time. If it announces several, the earliest counts; if
    it is no longer leaving, the time is cleared.
    """
    if listed.leaves_in_ms is None:
        worker.leaves_at = None
        return
    leaves_at = Instant(now + listed.leaves_in_ms)
    if worker.leaves_at is None or leaves_at < worker.leaves_at:
        worker.leaves_at = leaves_at


def evacuate_leaving_workers(state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    """Stop lasting tasks on leaving workers, at the latest time that allows a restart elsewhere."""
    effects: list[PoolEffect] = []
    for worker in state.workers.values():
        if worker.leaves_at is None or now < worker.leaves_at - EVACUATION_MARGIN_MS:
            continue
        for attempt in worker.attempts.values():
            is_lasting = attempt.step is not None and attempt.step.spec.lasting
            if is_lasting and attempt.phase is Phase.RUNNING:
                effects.extend(stop_attempt(attempt, StopReason.EVACUATED, now))
    return tuple(effects)

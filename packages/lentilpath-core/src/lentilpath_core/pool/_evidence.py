"""Finds failing, frozen and slow workers from what their own runs show.

Answers the load pattern in which a tenth of the fleet fails all it starts, stands still or takes
several times as long while the rest is full.
"""

from __future__ import annotations

import math

from lentilpath_core.ids import Instant, JobId, WorkerId
from lentilpath_core.pool._events import PoolEffect, StopReason
from lentilpath_core.pool._state import Attempt, Phase, PoolState, Step, Worker
from lentilpath_core.pool._steps import stop_attempt

FAILED_JOBS_TO_CLOSE = 2
"""Failures of one job may be its own fault; those of several in a row are the worker's."""
CLOSED_MS = 3_000
"""How long a failing worker gets no starts before it is tried again."""
FROZEN_MS = 4_000
"""A run without progress for this is stopped: over twice the time that the longest run of the
deployments' sheets takes for one percent on a worker that is six times slow."""
LEARNING_WEIGHT = 0.05
"""Weight of one more run in the learned ratio of run time to estimate."""
SLOW_FACTOR = 2.5
"""A worker is slow if its runs progress this many times slower than the fleet's."""
SLOW_MIN_RUNS = 3
"""Estimates of single runs are too far off to judge a worker by fewer."""
MIN_PROGRESS_MS = 300
"""Progress over a shorter time is too coarse to judge."""


def note_progress(attempt: Attempt, percent: int, now: Instant) -> None:
    """Take in a run's reported progress."""
    if percent != attempt.percent:
        attempt.percent = percent
        attempt.percent_at = now


def note_done(
    state: PoolState, worker: Worker, step: Step, attempt: Attempt | None, now: Instant
) -> None:
    """Take in that a run was done on the worker."""
    worker.failed_jobs.clear()
    if attempt is None or not step.spec.estimate_ms or worker.is_slow:
        return
    queue = step.job.record.queue
    ratio = (now - attempt.begun_at) / step.spec.estimate_ms
    known = state.run_ratio.get(queue, 1.0)
    state.run_ratio[queue] = known + LEARNING_WEIGHT * (min(ratio, 10.0) - known)


def note_failure(worker: Worker, job: JobId, now: Instant) -> None:
    """Take in that a run failed on the worker; close it if several jobs' runs did in a row."""
    worker.failed_jobs.add(job)
    if len(worker.failed_jobs) >= FAILED_JOBS_TO_CLOSE:
        worker.closed_until = Instant(now + CLOSED_MS)


def stop_frozen(state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    """Stop runs that stand still, so that they go on elsewhere."""
    effects: list[PoolEffect] = []
    for worker in state.workers.values():
        for attempt in worker.attempts.values():
            if _is_frozen(attempt, now):
                worker.closed_until = Instant(now + CLOSED_MS)
                effects.extend(stop_attempt(attempt, StopReason.FROZEN, now))
    return tuple(effects)


def _is_frozen(attempt: Attempt, now: Instant) -> bool:
    step = attempt.step
    if attempt.phase is not Phase.RUNNING or step is None or step.spec.fills:
        return False
    if step.spec.lasting and attempt.percent >= 100:
        return False
    return now >= attempt.percent_at + FROZEN_MS


def find_slow(state: PoolState, now: Instant) -> None:
    """Mark workers whose runs progress much slower, against their estimates, than others' do."""
    by_id: dict[WorkerId, float] = {}
    for worker in state.workers.values():
        logs = [
            speed
            for attempt in worker.attempts.values()
            if (speed := _measure_speed(state, attempt, now)) is not None
        ]
        if len(logs) >= SLOW_MIN_RUNS:
            by_id[worker.worker] = sum(logs) / len(logs)
    if len(by_id) < 2 * SLOW_MIN_RUNS:
        return
    ordered = sorted(by_id.values())
    median = ordered[len(ordered) // 2]
    for worker in state.workers.values():
        speed = by_id.get(worker.worker)
        if speed is not None:
            worker.is_slow = speed < median - math.log(SLOW_FACTOR)


def _measure_speed(state: PoolState, attempt: Attempt, now: Instant) -> float | None:
    step = attempt.step
    if step is None or attempt.answered_at is None or not step.spec.estimate_ms:
        return None
    elapsed_ms = now - attempt.answered_at
    if elapsed_ms < MIN_PROGRESS_MS or step.spec.lasting or attempt.phase is not Phase.RUNNING:
        return None
    ratio = state.run_ratio.get(step.job.record.queue, 1.0)
    expected = elapsed_ms / (step.spec.estimate_ms * ratio) * 100
    return math.log(max(attempt.percent, 1) / max(expected, 1.0))

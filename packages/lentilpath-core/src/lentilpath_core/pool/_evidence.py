"""Detects failing, frozen and slow workers from the outcome and progress of their runs.

Designed for a fleet in which a tenth of the workers fail every run, make no progress or are several
times slower than the others, while the other workers are full.
"""

from __future__ import annotations

import math

from lentilpath_core.ids import Instant, JobId, WorkerId
from lentilpath_core.pool._events import (
    PoolEffect,
)
from lentilpath_core.pool._reasons import (
    StopReason,
)
from lentilpath_core.pool._state import Attempt, Phase, PoolState, Step, Worker
from lentilpath_core.pool._steps import stop_attempt

COOLDOWN_FAILED_JOBS = 2
"""A worker is put on cooldown when runs of this many jobs have failed there with no success in
between. Failures of a single job may be the fault of the job."""
FAILURE_COOLDOWN_MS = 3_000
"""How long a failing or frozen worker gets no starts."""
FROZEN_AFTER_MS = 4_000
"""A run that makes no progress for this long is stopped, unless its task is so long that a percent
of it may take as long."""
FROZEN_AFTER_PERCENTS = 12
"""A run is not stopped as frozen before the time in which it should progress by this many percent:
twice the time of one percent on a worker that is six times slower than normal."""
FROZEN_RUNS_BELIEVED = 2
"""Runs of a task that are stopped as frozen before the limit for the task is doubled. As many may
have met frozen workers in turn; beyond that the task probably takes longer than it seems."""
MIN_PERCENT_MEASURED = 5
"""Progress from which a run's own speed counts. The first percents are reported too coarsely."""
SILENT_AFTER_MS = 2_000
"""A worker whose last report is older than this is silent. A working one is asked at most 1.5 s
after the last time: a long poll of 0.8 s, and 0.4 s until the ends in the answer are stored."""
RUN_TIME_RATIO_WEIGHT = 0.05
"""Weight of a new run in the moving average of run time divided by estimate."""
SLOW_FACTOR = 2.5
"""A worker is slow if its runs progress this many times slower than the fleet's median."""
SLOW_MIN_RUNS = 3
"""Smallest number of runs by which a worker is judged. The estimates of single runs are too
inaccurate to use fewer."""
MIN_RUN_AGE_MS = 300
"""Runs younger than this are not used to judge a worker, because their progress is reported too
coarsely."""


def record_progress(attempt: Attempt, percent: int, now: Instant) -> None:
    """Record a run's reported progress, and when it last changed."""
    if percent != attempt.percent:
        attempt.percent = percent
        attempt.progressed_at = now
    if attempt.step is not None and _is_serving(attempt.step, attempt):
        attempt.step.frozen_runs.pop(attempt.task.number, None)


def record_success(
    state: PoolState, worker: Worker, step: Step, attempt: Attempt | None, now: Instant
) -> None:
    """Record that a run succeeded on the worker: reset its failures and learn from the run time."""
    worker.failed_jobs.clear()
    if attempt is None or not step.spec.estimate_ms or worker.is_slow:
        return
    queue = step.job.record.queue
    ratio = (now - attempt.begun_at) / step.spec.estimate_ms
    known = state.run_time_ratios.get(queue, 1.0)
    state.run_time_ratios[queue] = known + RUN_TIME_RATIO_WEIGHT * (min(ratio, 10.0) - known)


def record_failure(worker: Worker, job: JobId, now: Instant) -> None:
    """Record that a run failed on the worker; start a cooldown if several jobs failed in a row."""
    worker.failed_jobs.add(job)
    if len(worker.failed_jobs) >= COOLDOWN_FAILED_JOBS:
        worker.cooldown_until = Instant(now + FAILURE_COOLDOWN_MS)


def stop_frozen_runs(state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    """Stop runs that make no progress, so that their tasks restart on other workers."""
    effects: list[PoolEffect] = []
    for worker in state.workers.values():
        for attempt in worker.attempts.values():
            if _is_frozen(state, worker, attempt, now):
                _count_frozen_run(attempt)
                worker.cooldown_until = Instant(now + FAILURE_COOLDOWN_MS)
                effects.extend(stop_attempt(attempt, StopReason.FROZEN, now))
    return tuple(effects)


def discount_silence(worker: Worker, sent_at: Instant) -> None:
    """Leave the time in which a worker did not report out of its runs' time without progress.

    Called with the report that was asked for at `sent_at`, before it is recorded.
    """
    if worker.reported_at is None or sent_at <= worker.reported_at + SILENT_AFTER_MS:
        return
    silent_ms = sent_at - worker.reported_at
    for attempt in worker.attempts.values():
        attempt.progressed_at = Instant(min(sent_at, attempt.progressed_at + silent_ms))


def _is_frozen(state: PoolState, worker: Worker, attempt: Attempt, now: Instant) -> bool:
    if worker.reported_at is None or now > worker.reported_at + SILENT_AFTER_MS:
        # The run may progress unseen. Its lease decides what becomes of it.
        return False
    if worker.has_unlisted_ends:
        # The run may have ended; its progress is judged again once the reports are complete.
        return False
    step = attempt.step
    if attempt.phase is not Phase.RUNNING or step is None or step.spec.fills:
        return False
    if _is_serving(step, attempt):
        return False
    return now >= attempt.progressed_at + _get_frozen_after_ms(state, step, attempt)


def _is_serving(step: Step, attempt: Attempt) -> bool:
    """Return whether the run is of a lasting task and past its startup."""
    return step.spec.lasting and attempt.percent >= 100


def _count_frozen_run(attempt: Attempt) -> None:
    if attempt.step is not None:
        counts = attempt.step.frozen_runs
        counts[attempt.task.number] = counts.get(attempt.task.number, 0) + 1


def _get_frozen_after_ms(state: PoolState, step: Step, attempt: Attempt) -> float:
    """Return the time without progress, in ms, after which a run is frozen.

    Workers report whole percents, so a sound run of a long task shows no progress for as long as a
    percent takes. How long that is follows from the task's estimate and the run's own speed. Where
    neither is known, or the estimate is far too low, the limit rises with each run that was stopped
    in vain, so that the task is done in the end.
    """
    doublings = step.frozen_runs.get(attempt.task.number, 0) + 1 - FROZEN_RUNS_BELIEVED
    least_ms = FROZEN_AFTER_MS << max(0, doublings)
    if step.spec.lasting:
        # The estimate and the percents of a lasting task are not of the same time.
        return least_ms
    return max(least_ms, FROZEN_AFTER_PERCENTS * _estimate_percent_ms(state, step, attempt))


def _estimate_percent_ms(state: PoolState, step: Step, attempt: Attempt) -> float:
    """Return the longest time, in ms, that a percent of the run is expected to take."""
    # The ratio is of all jobs of the queue, so it does not show that a long estimate is too long.
    ratio = max(1.0, state.run_time_ratios.get(step.job.record.queue, 1.0))
    estimated_ms = step.spec.estimate_ms * ratio / 100
    seen_percent = attempt.percent - attempt.first_percent
    if seen_percent < MIN_PERCENT_MEASURED:
        return estimated_ms
    return max(estimated_ms, (attempt.progressed_at - attempt.begun_at) / seen_percent)


def mark_slow_workers(state: PoolState, now: Instant) -> None:
    """Update which workers are slow, by the progress of their runs relative to the estimates.

    Keeps the marks as they are while too few workers have enough runs to compare.
    """
    speed_by_worker: dict[WorkerId, float] = {}
    for worker in state.workers.values():
        log_speeds = [
            speed
            for attempt in worker.attempts.values()
            if (speed := _measure_log_speed(state, attempt, now)) is not None
        ]
        if len(log_speeds) >= SLOW_MIN_RUNS:
            speed_by_worker[worker.worker] = sum(log_speeds) / len(log_speeds)
    if len(speed_by_worker) < 2 * SLOW_MIN_RUNS:
        return
    ordered = sorted(speed_by_worker.values())
    median = ordered[len(ordered) // 2]
    for worker in state.workers.values():
        speed = speed_by_worker.get(worker.worker)
        if speed is not None:
            worker.is_slow = speed < median - math.log(SLOW_FACTOR)


def _measure_log_speed(state: PoolState, attempt: Attempt, now: Instant) -> float | None:
    step = attempt.step
    if step is None or attempt.answered_at is None or not step.spec.estimate_ms:
        return None
    elapsed_ms = now - attempt.answered_at
    if elapsed_ms < MIN_RUN_AGE_MS or step.spec.lasting or attempt.phase is not Phase.RUNNING:
        return None
    ratio = state.run_time_ratios.get(step.job.record.queue, 1.0)
    expected = elapsed_ms / (step.spec.estimate_ms * ratio) * 100
    return math.log(max(attempt.percent, 1) / max(expected, 1.0))

"""State changes of a job's steps: when their tasks may start, are requeued and are done."""

from __future__ import annotations

from dataclasses import replace

from lentilpath_core.ids import Instant, WallTime
from lentilpath_core.pool._customers import release_room
from lentilpath_core.pool._events import (
    PoolEffect,
    RecordFinal,
    StopRun,
)
from lentilpath_core.pool._model import (
    FinalRecord,
    JobState,
    RunNumber,
    StepKey,
    StepSpec,
    TaskKey,
)
from lentilpath_core.pool._reasons import (
    FailureCause,
    StopReason,
)
from lentilpath_core.pool._state import (
    RUNS_PER_EPOCH,
    Attempt,
    Job,
    Phase,
    PoolState,
    Step,
    Worker,
)

GANG_INDEX = 0
"""Index under which the run number, failures and checkpoint of a whole gang are kept."""


def find_step(state: PoolState, task: TaskKey) -> Step | None:
    """Return the step of a task, or `None` if its job is not known any more."""
    job = state.jobs.get(task.job)
    if job is None:
        return None
    return job.steps.get(StepKey(task.job, task.occurrence, task.step))


def get_shared_index(spec: StepSpec, index: int) -> int:
    """Return the index under which a task's run number, failures and checkpoint are kept."""
    return GANG_INDEX if spec.gang else index


def estimate_critical_paths(steps: tuple[StepSpec, ...]) -> list[float]:
    """Return, for each step, the estimated time in ms from its start to the job's end.

    This is the length of the critical path: the longest chain of steps that depend on each other.
    """
    path_ms = [float(step.estimate_ms) for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].after:
            path_ms[earlier] = max(path_ms[earlier], steps[earlier].estimate_ms + path_ms[number])
    return path_ms


def begin_occurrence(state: PoolState, job: Job, occurrence: int) -> None:
    """Create the steps of an occurrence and open those that depend on no other step."""
    path_ms = estimate_critical_paths(job.record.steps)
    job.occurrences = max(job.occurrences, occurrence + 1)
    for number, spec in enumerate(job.record.steps):
        key = StepKey(job.record.job, occurrence, number)
        job.steps[key] = Step(key, spec, job, path_ms[number])
    for number in range(len(job.record.steps)):
        open_if_ready(state, job.steps[StepKey(job.record.job, occurrence, number)])


def open_if_ready(state: PoolState, step: Step) -> None:
    """Queue the step's tasks for a start if all steps that it depends on are done.

    The ends of those steps need not be durable yet: a later leader learns them from their workers,
    which list an end until it is acknowledged, and that is only once it is durable.
    """
    if step.is_open or step.job.final is not None:
        return
    key = step.key
    earlier = (step.job.steps[StepKey(key.job, key.occurrence, each)] for each in step.spec.after)
    if not all(_is_done_or_recording(each) for each in earlier):
        return
    step.is_open = True
    busy = step.done | step.recording | step.failing | set(step.attempts)
    step.waiting = [index for index in range(step.spec.count) if index not in busy]
    if step.spec.gang and (step.recording or step.failing or step.attempts):
        step.waiting = []
    update_open_steps(state, step)


def update_open_steps(state: PoolState, step: Step) -> None:
    """Add the step to `open_steps` if it has tasks to start, else remove it and drop its plan."""
    if step.waiting and step.is_open and step.job.final is None:
        state.open_steps[step.key] = step
        state.needs_placement = True
    else:
        state.open_steps.pop(step.key, None)
        drop_plan(state, step)


def drop_plan(state: PoolState, step: Step) -> None:
    """Release the resources that a step holds while its tickets are renewed."""
    if step.plan is None:
        return
    for index, worker in step.plan.places.items():
        worker.free = worker.free + step.spec.counted_room
        worker.planned_runs -= 1
        release_room(state, step.job.record.customer, step.spec.counted_room)
        release_worker(worker, TaskKey(*step.key, index))
    step.plan = None


def release_worker(worker: Worker, task: TaskKey) -> None:
    """Let other tasks start on a worker that was kept for a suspected one."""
    if worker.kept_for == task:
        worker.kept_for = None


def allocate_run_number(state: PoolState, step: Step, index: int) -> RunNumber:
    """Allocate and return the number of the next run of a task, or of a gang."""
    shared = get_shared_index(step.spec, index)
    floor = (state.epoch - 1) * RUNS_PER_EPOCH + 1 if step.job.is_recovered else 1
    run = max(step.next_run.get(shared, 1), floor)
    step.next_run[shared] = run + 1
    return RunNumber(run)


def mark_run_number_used(step: Step, index: int, run: RunNumber) -> None:
    """Make sure that `run` and lower numbers are not allocated again for this task."""
    shared = get_shared_index(step.spec, index)
    step.next_run[shared] = max(step.next_run.get(shared, 1), run + 1)


def requeue_task(state: PoolState, step: Step, index: int) -> None:
    """Queue a task for another start after a run that ended without success.

    A gang is queued as a whole, once no member runs and no member's end is being recorded.
    """
    if step.job.final is not None or index in step.done or index in step.recording:
        return
    if step.spec.gang:
        _requeue_gang(state, step)
        return
    if index not in step.attempts and index not in step.failing:
        step.add_waiting(index)
        update_open_steps(state, step)


def _requeue_gang(state: PoolState, step: Step) -> None:
    if step.attempts or step.recording or step.failing or step.is_done():
        return
    step.waiting = list(range(step.spec.count))
    update_open_steps(state, step)


def stop_attempt(attempt: Attempt, reason: StopReason, now: Instant) -> tuple[PoolEffect, ...]:
    """Mark a run as stopping and return the effect that stops it."""
    attempt.phase = Phase.STOPPING
    attempt.stop_sent_at = now
    attempt.stop_reason = reason
    worker = attempt.worker
    return (StopRun(worker.worker, worker.life, attempt.task, attempt.run, reason),)


def break_gang(step: Step, now: Instant) -> tuple[PoolEffect, ...]:
    """Stop the members of a gang that still run."""
    effects: list[PoolEffect] = []
    for attempt in step.attempts.values():
        if attempt.phase is not Phase.STOPPING:
            effects.extend(stop_attempt(attempt, StopReason.GANG_BROKEN, now))
    return tuple(effects)


def finish_job(
    state: PoolState, job: Job, final: JobState, wall_now: WallTime, now: Instant
) -> tuple[PoolEffect, ...]:
    """Set a job's final state and stop its runs; does nothing if the job has a final state already.

    Callers see the state once its record is durable.
    """
    if job.final is not None:
        return ()
    return (*_set_final_state(state, job, final, wall_now), *stop_remaining_runs(job, now))


def fail_job(
    state: PoolState, job: Job, task: TaskKey, cause: FailureCause, now: Instant
) -> tuple[PoolEffect, ...]:
    """Fail a job for one of its tasks, like `finish_job`."""
    if job.final is not None:
        return ()
    (record,) = _set_final_state(state, job, JobState.FAILED, state.wall_now)
    return (replace(record, cause=cause, failed_task=task), *stop_remaining_runs(job, now))


def _set_final_state(
    state: PoolState, job: Job, final: JobState, wall_now: WallTime
) -> tuple[RecordFinal]:
    job.final = FinalRecord(final, wall_now, job.record.customer)
    for step in job.steps.values():
        state.open_steps.pop(step.key, None)
        drop_plan(state, step)
        step.waiting.clear()
    state.needs_placement = True
    return (RecordFinal(job.record.job, job.final),)


def stop_remaining_runs(job: Job, now: Instant) -> tuple[PoolEffect, ...]:
    """Stop the runs of a job that has a final state."""
    effects: list[PoolEffect] = []
    for step in job.steps.values():
        for attempt in step.attempts.values():
            if attempt.phase is not Phase.STOPPING:
                effects.extend(stop_attempt(attempt, StopReason.JOB_OVER, now))
    return tuple(effects)


def complete_while_recording(state: PoolState, job: Job) -> tuple[PoolEffect, ...]:
    """Complete a job whose tasks are all done, even if the last records are not durable yet.

    Records become durable in order, so the final state is never stored without the ends of the
    runs. Storing them together saves a round trip to the table, which matters when the table is
    slow. The other members of a gang end by themselves in the meantime.
    """
    if job.final is not None or job.occurrences < max(1, job.record.repeats):
        return ()
    if not all(_is_done_or_recording(step) for step in job.steps.values()):
        return ()
    return _set_final_state(state, job, JobState.COMPLETED, state.wall_now)


def _is_done_or_recording(step: Step) -> bool:
    if step.spec.gang:
        return bool(step.done or step.recording)
    return len(step.done) + len(step.recording) >= step.spec.count


def handle_recorded_success(
    state: PoolState, task: TaskKey, now: Instant
) -> tuple[PoolEffect, ...]:
    """Handle the durable record that a task is done: open later steps or complete the job."""
    job = state.jobs.get(task.job)
    step = job.steps.get(task.get_step()) if job is not None else None
    if job is None or step is None or step.spec.lasting:
        return ()
    indexes = range(step.spec.count) if step.spec.gang else (task.number,)
    effects: list[PoolEffect] = []
    for index in indexes:
        step.done.add(index)
        step.recording.discard(index)
        step.failing.discard(index)
        step.remove_waiting(index)
        attempt = step.attempts.get(index)
        # The other members of a gang end by themselves, but another copy of a task does not.
        if attempt is not None and not step.spec.gang and attempt.phase is not Phase.STOPPING:
            effects.extend(stop_attempt(attempt, StopReason.DUPLICATE, now))
    update_open_steps(state, step)
    if step.is_done():
        effects.extend(_handle_step_done(state, step, now))
    return tuple(effects)


def open_later_steps(state: PoolState, step: Step) -> None:
    """Queue the tasks of the steps that depend on this one and on no other step in progress."""
    for other in step.job.steps.values():
        if other.key.occurrence == step.key.occurrence and step.key.step in other.spec.after:
            open_if_ready(state, other)


def _handle_step_done(state: PoolState, step: Step, now: Instant) -> tuple[PoolEffect, ...]:
    job = step.job
    open_later_steps(state, step)
    occurrences = max(1, job.record.repeats)
    if job.occurrences >= occurrences and all(each.is_done() for each in job.steps.values()):
        return finish_job(state, job, JobState.COMPLETED, state.wall_now, now)
    return ()


def handle_recorded_failure(
    state: PoolState, task: TaskKey, run: RunNumber, now: Instant
) -> tuple[PoolEffect, ...]:
    """Handle the durable record of a run's failure: requeue the task.

    The job fails if the task, or the gang, has reached the queue's `max_attempts`.
    """
    job = state.jobs.get(task.job)
    step = job.steps.get(task.get_step()) if job is not None else None
    if job is None or step is None or step.spec.lasting:
        return ()
    shared = get_shared_index(step.spec, task.number)
    runs = step.failed_runs.setdefault(shared, set())
    runs.add(run)
    unstored = step.unstored_failures.get(shared, set())
    unstored.discard(run)
    if not unstored:
        step.failing.discard(task.number)
    mark_run_number_used(step, task.number, run)
    if job.policy is not None and len(runs) >= job.policy.max_attempts:
        if shared in step.done or shared in step.recording:
            return ()
        return fail_job(state, job, task, FailureCause.ATTEMPTS, now)
    requeue_task(state, step, task.number)
    return ()

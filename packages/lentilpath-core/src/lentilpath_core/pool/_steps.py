"""The life of a job's steps: when they open, wait again and are done."""

from __future__ import annotations

from lentilpath_core.ids import Instant, WallTime
from lentilpath_core.pool._events import PoolEffect, RecordFinal, StopReason, StopRun
from lentilpath_core.pool._model import (
    FinalRecord,
    JobState,
    Run,
    StepKey,
    StepSpec,
    TaskKey,
)
from lentilpath_core.pool._state import RUNS_PER_EPOCH, Attempt, Job, Phase, PoolState, Step

GANG_INDEX = 0
"""The members of a gang share their run number, failures and checkpoint under this index."""


def get_shared_index(spec: StepSpec, index: int) -> int:
    """Return the index under which a task's runs are counted."""
    return GANG_INDEX if spec.gang else index


def estimate_tails(steps: tuple[StepSpec, ...]) -> list[float]:
    """Return, for each step, the estimated time in ms from its start to the end of all after it."""
    tails = [float(step.estimate_ms) for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].after:
            tails[earlier] = max(tails[earlier], steps[earlier].estimate_ms + tails[number])
    return tails


def begin_occurrence(state: PoolState, job: Job, occurrence: int) -> None:
    """Create the steps of an occurrence and open those that wait for nothing."""
    tails = estimate_tails(job.record.steps)
    job.occurrences = max(job.occurrences, occurrence + 1)
    for number, spec in enumerate(job.record.steps):
        key = StepKey(job.record.job, occurrence, number)
        job.steps[key] = Step(key, spec, job, tails[number])
    for number in range(len(job.record.steps)):
        open_if_ready(state, job.steps[StepKey(job.record.job, occurrence, number)])


def open_if_ready(state: PoolState, step: Step) -> None:
    """Let the step's tasks wait for a start if all steps before it are done."""
    if step.is_open or step.job.final is not None:
        return
    key = step.key
    earlier = (step.job.steps[StepKey(key.job, key.occurrence, each)] for each in step.spec.after)
    if not all(each.is_done() for each in earlier):
        return
    step.is_open = True
    busy = step.done | step.recording | step.failing | set(step.attempts)
    step.waiting = [index for index in range(step.spec.count) if index not in busy]
    if step.spec.gang and (step.recording or step.failing or step.attempts):
        step.waiting = []
    note_waiting(state, step)


def note_waiting(state: PoolState, step: Step) -> None:
    """List or unlist the step among those that have tasks to start."""
    if step.waiting and step.is_open and step.job.final is None:
        state.open_steps[step.key] = step
        state.needs_placing = True
    else:
        state.open_steps.pop(step.key, None)
        drop_plan(step)


def drop_plan(step: Step) -> None:
    """Give back the room that is held while a step's permissions are renewed."""
    if step.plan is None:
        return
    for worker in step.plan.places.values():
        worker.free = worker.free + step.spec.counted_room
    step.plan = None


def take_run_number(state: PoolState, step: Step, index: int) -> Run:
    """Return the number of the next run of a task, or of a gang."""
    shared = get_shared_index(step.spec, index)
    floor = (state.epoch - 1) * RUNS_PER_EPOCH + 1 if step.job.is_recovered else 1
    run = max(step.next_run.get(shared, 1), floor)
    step.next_run[shared] = run + 1
    return Run(run)


def note_run_number(step: Step, index: int, run: Run) -> None:
    """Never use `run` or a lower number again for this task."""
    shared = get_shared_index(step.spec, index)
    step.next_run[shared] = max(step.next_run.get(shared, 1), run + 1)


def wait_again(state: PoolState, step: Step, index: int) -> None:
    """Let a task wait for a start whose run has ended without being done."""
    if step.job.final is not None or index in step.done or index in step.recording:
        return
    if step.spec.gang:
        _wait_again_together(state, step)
        return
    if index not in step.attempts and index not in step.failing and index not in step.waiting:
        step.waiting.append(index)
        note_waiting(state, step)


def _wait_again_together(state: PoolState, step: Step) -> None:
    if step.attempts or step.recording or step.failing or step.is_done():
        return
    step.is_breaking = False
    step.waiting = list(range(step.spec.count))
    note_waiting(state, step)


def stop_attempt(attempt: Attempt, reason: StopReason, now: Instant) -> tuple[PoolEffect, ...]:
    """Ask for the end of a run that holds room."""
    attempt.phase = Phase.STOPPING
    attempt.stop_sent_at = now
    worker = attempt.worker
    return (StopRun(worker.worker, worker.life, attempt.task, attempt.run, reason),)


def break_gang(step: Step, now: Instant) -> tuple[PoolEffect, ...]:
    """Stop the members that are left of a gang's run."""
    step.is_breaking = True
    effects: list[PoolEffect] = []
    for attempt in step.attempts.values():
        if attempt.phase is not Phase.STOPPING:
            effects.extend(stop_attempt(attempt, StopReason.GANG_BROKEN, now))
    return tuple(effects)


def finish_job(
    state: PoolState, job: Job, final: JobState, wall_now: WallTime, now: Instant
) -> tuple[PoolEffect, ...]:
    """Decide a job's final state, once; it is shown when it is durable."""
    if job.final is not None:
        return ()
    return (*_decide_final(state, job, final, wall_now), *stop_leftovers(job, now))


def _decide_final(
    state: PoolState, job: Job, final: JobState, wall_now: WallTime
) -> tuple[PoolEffect, ...]:
    job.final = FinalRecord(final, wall_now)
    for step in job.steps.values():
        state.open_steps.pop(step.key, None)
        drop_plan(step)
        step.waiting.clear()
    state.needs_placing = True
    return (RecordFinal(job.record.job, job.final),)


def stop_leftovers(job: Job, now: Instant) -> tuple[PoolEffect, ...]:
    """Stop what still runs of a job that has its final state."""
    effects: list[PoolEffect] = []
    for step in job.steps.values():
        for attempt in step.attempts.values():
            if attempt.phase is not Phase.STOPPING:
                effects.extend(stop_attempt(attempt, StopReason.JOB_OVER, now))
    return tuple(effects)


def complete_early(state: PoolState, job: Job) -> tuple[PoolEffect, ...]:
    """Decide that a job is completed whose last ends are only being recorded.

    Records become durable in order, so the final state is never there without the ends. Storing
    them together saves a round trip to the table, which counts while the table is slow. Other
    members of a gang end by themselves meanwhile.
    """
    if job.final is not None or job.occurrences < max(1, job.record.repeats):
        return ()
    if not all(_is_ended(step) for step in job.steps.values()):
        return ()
    return _decide_final(state, job, JobState.COMPLETED, state.wall_now)


def _is_ended(step: Step) -> bool:
    if step.spec.gang:
        return bool(step.done or step.recording)
    return len(step.done | step.recording) >= step.spec.count


def take_done(state: PoolState, task: TaskKey, now: Instant) -> tuple[PoolEffect, ...]:
    """Take in that a task's `done` is durable."""
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
        if index in step.waiting:
            step.waiting.remove(index)
        attempt = step.attempts.get(index)
        # A gang's other members end by themselves; a second copy of a task does not.
        if attempt is not None and not step.spec.gang and attempt.phase is not Phase.STOPPING:
            effects.extend(stop_attempt(attempt, StopReason.UNWANTED, now))
    note_waiting(state, step)
    if step.is_done():
        effects.extend(_take_step_done(state, step, now))
    return tuple(effects)


def _take_step_done(state: PoolState, step: Step, now: Instant) -> tuple[PoolEffect, ...]:
    job = step.job
    for other in job.steps.values():
        if other.key.occurrence == step.key.occurrence and step.key.step in other.spec.after:
            open_if_ready(state, other)
    occurrences = max(1, job.record.repeats)
    if job.occurrences >= occurrences and all(each.is_done() for each in job.steps.values()):
        return finish_job(state, job, JobState.COMPLETED, state.wall_now, now)
    return ()


def take_failure(state: PoolState, task: TaskKey, run: Run, now: Instant) -> tuple[PoolEffect, ...]:
    """Take in that a run's failure is durable; a job is given up after too many."""
    job = state.jobs.get(task.job)
    step = job.steps.get(task.get_step()) if job is not None else None
    if job is None or step is None or step.spec.lasting:
        return ()
    shared = get_shared_index(step.spec, task.number)
    runs = step.failed_runs.setdefault(shared, set())
    runs.add(run)
    step.failing.discard(task.number)
    note_run_number(step, task.number, run)
    if job.policy is not None and len(runs) >= job.policy.max_attempts:
        if shared in step.done or shared in step.recording:
            return ()
        return finish_job(state, job, JobState.FAILED, state.wall_now, now)
    wait_again(state, step, task.number)
    return ()

"""The life of a run from its start command to its end: answers, reported ends, losses, records."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool._crashes import (
    forget_suspicion,
    handle_recorded_crash,
    handle_recorded_suspicion,
    note_listing,
    record_suspicion,
    suspect_run,
)
from lentilpath_core.pool._customers import hold_room, release_room
from lentilpath_core.pool._events import (
    GiveUpRun,
    PoolEffect,
    RecordRun,
    StartAnswered,
    StartUnanswered,
)
from lentilpath_core.pool._evidence import record_failure, record_success
from lentilpath_core.pool._model import (
    EndedRun,
    Life,
    RunEnd,
    RunNumber,
    RunRecord,
    StartAnswer,
    TaskKey,
)
from lentilpath_core.pool._reasons import (
    LossReason,
)
from lentilpath_core.pool._state import Attempt, Phase, PoolState, Step, Worker
from lentilpath_core.pool._steps import (
    break_gang,
    complete_while_recording,
    find_step,
    handle_recorded_failure,
    handle_recorded_success,
    mark_run_number_used,
    open_later_steps,
    release_worker,
    requeue_task,
    update_open_steps,
)

UNHEALTHY_COOLDOWN_MS = 1_000
"""How long a worker that has refused a start as unhealthy gets no starts. It is about the interval
between its reports."""
UNANSWERED_START_MEMORY_MS = 30_000
"""How long a start command without an answer may still be carried out. Workers carry out late
commands within seconds."""


def allocate_room(worker: Worker, attempt: Attempt) -> None:
    """Add the run to its worker and take its resources from the free ones."""
    worker.attempts[(attempt.task, attempt.run)] = attempt
    worker.free = worker.free - attempt.room


def add_attempt(state: PoolState, attempt: Attempt) -> None:
    """Add a run that is about to be started, and allocate its resources on the worker."""
    allocate_room(attempt.worker, attempt)
    hold_room(state, attempt.customer, attempt.room)
    step = attempt.step
    assert step is not None
    step.attempts[attempt.task.number] = step.starting[attempt.task.number] = attempt
    step.remove_waiting(attempt.task.number)


def count_unanswered_starts(step: Step) -> dict[WorkerId, int]:
    """Return how many of the step's starts wait for their worker's answer, by worker."""
    step.starting = {
        index: attempt
        for index, attempt in step.starting.items()
        if step.attempts.get(index) is attempt
        and attempt.phase is Phase.STARTING
        and attempt.answered_at is None
    }
    return dict(Counter(attempt.worker.worker for attempt in step.starting.values()))


def confirm_attempt(attempt: Attempt, sent_at: Instant, now: Instant) -> tuple[PoolEffect, ...]:
    """Mark a run as started by this incarnation of its worker, whose report lists it."""
    attempt.has_started = attempt.is_confirmed = True
    _mark_job_started(attempt)
    return note_listing(attempt, sent_at, now)


def _mark_job_started(attempt: Attempt) -> None:
    if attempt.step is not None:
        attempt.step.job.has_started = True


def _remove_attempt(state: PoolState, attempt: Attempt) -> None:
    worker = attempt.worker
    if worker.attempts.pop((attempt.task, attempt.run), None) is None:
        return
    worker.free = worker.free + attempt.room
    release_room(state, attempt.customer, attempt.room)
    release_worker(worker, attempt.task)
    state.needs_placement = True
    step = attempt.step
    if step is not None and step.attempts.get(attempt.task.number) is attempt:
        del step.attempts[attempt.task.number]
        _drop_job_if_over(state, step)


def _drop_job_if_over(state: PoolState, step: Step) -> None:
    job = step.job
    if job.record.job in state.finals and not any(each.attempts for each in job.steps.values()):
        state.jobs.pop(job.record.job, None)


def handle_ended_run(
    state: PoolState, worker: Worker, ended: EndedRun, now: Instant
) -> tuple[PoolEffect, ...]:
    """Handle the end of a run as its worker reports it."""
    attempt = worker.attempts.get((ended.task, ended.run))
    forgotten: tuple[PoolEffect, ...] = ()
    if attempt is not None:
        forgotten = forget_suspicion(attempt)
        _remove_attempt(state, attempt)
    return (*forgotten, *_handle_reported_end(state, worker, ended, attempt, now))


def _handle_reported_end(
    state: PoolState, worker: Worker, ended: EndedRun, attempt: Attempt | None, now: Instant
) -> tuple[PoolEffect, ...]:
    step = find_step(state, ended.task)
    if step is None or ended.task.number >= step.spec.count:
        return ()
    mark_run_number_used(step, ended.task.number, ended.run)
    step.job.has_started = True
    if ended.checkpoint:
        shared = 0 if step.spec.gang else ended.task.number
        step.checkpoints[shared] = ended.checkpoint
    if ended.end is RunEnd.DONE:
        record_success(state, worker, step, attempt, now)
        return _handle_run_done(state, step, ended)
    if ended.end is RunEnd.FAILED:
        record_failure(worker, step.key.job, now)
        step.avoided_workers.setdefault(ended.task.number, set()).add(worker.worker)
        return _handle_run_failed(state, step, ended, now)
    return _requeue_interrupted_task(state, step, ended.task.number, attempt, now)


def _handle_run_done(state: PoolState, step: Step, ended: EndedRun) -> tuple[PoolEffect, ...]:
    index = ended.task.number
    if step.spec.lasting:
        requeue_task(state, step, index)
        return ()
    if index in step.done or index in step.recording:
        return ()
    if step.spec.gang and (step.done or step.recording):
        return ()
    step.recording.add(index)
    step.remove_waiting(index)
    if step.spec.gang:
        step.waiting = []
    update_open_steps(state, step)
    open_later_steps(state, step)
    record = RecordRun(ended.task, RunRecord(ended.run, RunEnd.DONE))
    return (record, *complete_while_recording(state, step.job))


def _handle_run_failed(
    state: PoolState, step: Step, ended: EndedRun, now: Instant
) -> tuple[PoolEffect, ...]:
    index = ended.task.number
    if step.spec.lasting:
        requeue_task(state, step, index)
        return ()
    effects: list[PoolEffect] = []
    if _may_repeat_at_once(step, ended):
        requeue_task(state, step, index)
    elif index not in step.done and index not in step.recording:
        step.failing.add(index)
        step.remove_waiting(index)
        if step.spec.gang:
            step.waiting = []
        update_open_steps(state, step)
    effects.append(RecordRun(ended.task, RunRecord(ended.run, RunEnd.FAILED)))
    if step.spec.gang:
        effects.extend(break_gang(step, now))
    return tuple(effects)


def _may_repeat_at_once(step: Step, ended: EndedRun) -> bool:
    """Note a failure, and return whether the task may start again before it is durable.

    Not if it may have been the last attempt. A later leader learns of the failure from its worker,
    before it starts any task that may have been started before.
    """
    policy, index = step.job.policy, ended.task.number
    if step.spec.gang or policy is None:
        return False
    unstored = step.unstored_failures.setdefault(index, set())
    unstored.add(ended.run)
    return len(unstored | step.failed_runs.get(index, set())) < policy.max_attempts


def _requeue_interrupted_task(
    state: PoolState, step: Step, index: int, attempt: Attempt | None, now: Instant
) -> tuple[PoolEffect, ...]:
    """Requeue a task whose run ended neither done nor failed; stop a gang's other members."""
    if attempt is None or attempt.step is None:
        return ()
    if step.spec.gang and not step.is_done() and not step.recording:
        effects = break_gang(step, now)
        requeue_task(state, step, index)
        return effects
    requeue_task(state, step, index)
    return ()


def mark_attempt_lost(
    state: PoolState, attempt: Attempt, reason: LossReason, now: Instant
) -> tuple[PoolEffect, ...]:
    """Give up a run that is known to be over although its outcome is unknown; requeue its task."""
    is_lost_with_worker = reason in (LossReason.LEASE_LAPSED, LossReason.NEW_LIFE)
    is_suspected = is_lost_with_worker and suspect_run(state, attempt, now)
    _remove_attempt(state, attempt)
    worker = attempt.worker
    given_up = GiveUpRun(
        worker.worker,
        worker.life,
        attempt.task,
        attempt.run,
        reason,
        attempt.is_confirmed,
        now - worker.reported_at if worker.reported_at is not None else None,
        is_suspected,
    )
    if attempt.step is None:
        return (given_up,)
    return (
        given_up,
        *(record_suspicion(attempt) if is_suspected else forget_suspicion(attempt)),
        *_requeue_interrupted_task(state, attempt.step, attempt.task.number, attempt, now),
    )


def handle_start_answer(
    state: PoolState, event: StartAnswered, now: Instant
) -> tuple[PoolEffect, ...]:
    """Handle a worker's answer to a start command."""
    worker = state.workers.get(event.worker)
    if worker is None or worker.life != event.life:
        return ()
    attempt = worker.attempts.get((event.task, event.run))
    if attempt is None:
        return ()
    if event.answer is StartAnswer.STARTED:
        # The answer does not tell which incarnation has started the run; a report does.
        attempt.answered_at = now
        attempt.has_started = True
        _mark_job_started(attempt)
        state.needs_placement |= attempt.step is not None and attempt.step.awaits_answers
        if attempt.phase is Phase.STARTING:
            attempt.phase = Phase.RUNNING
            attempt.progressed_at = now
        return ()
    if event.answer is StartAnswer.OUTDATED:
        # Either an earlier copy of the command has started the run and it has ended, or it will
        # never start. The next report shows which.
        mark_answered(state, event.worker, event.life, event.task, event.run, now)
        return ()
    if event.answer is StartAnswer.NO_PERMISSION and attempt.step is not None:
        tickets = attempt.step.tickets
        if tickets is not None:
            ticket = tickets.get(worker.worker)
            if ticket is not None:
                tickets[worker.worker] = replace(ticket, valid_until=Instant(0))
    if event.answer is StartAnswer.UNHEALTHY:
        worker.cooldown_until = Instant(now + UNHEALTHY_COOLDOWN_MS)
    is_sent = event.answer is not StartAnswer.NOT_SENT
    return mark_attempt_lost(
        state, attempt, LossReason.REFUSED if is_sent else LossReason.NOT_SENT, now
    )


def record_unanswered_start(
    state: PoolState, event: StartUnanswered, now: Instant
) -> tuple[PoolEffect, ...]:
    """Remember a start command that may have been carried out, or may be later.

    It may have crashed its worker, so that is stored for later leaders.
    """
    key = (event.task, event.run)
    state.unanswered_starts.setdefault(event.worker, {})[key] = now
    worker = state.workers.get(event.worker)
    if worker is None or worker.life != event.life or key not in worker.attempts:
        return ()
    attempt = worker.attempts[key]
    return () if attempt.has_survived else record_suspicion(attempt)


def forget_old_unanswered_starts(state: PoolState, now: Instant) -> None:
    """Forget the start commands that can no longer be carried out."""
    oldest = now - UNANSWERED_START_MEMORY_MS
    for worker, starts in list(state.unanswered_starts.items()):
        recent = {key: noticed_at for key, noticed_at in starts.items() if noticed_at > oldest}
        if recent:
            state.unanswered_starts[worker] = recent
        else:
            del state.unanswered_starts[worker]


def mark_answered(
    state: PoolState, worker_id: WorkerId, life: Life, task: TaskKey, run: RunNumber, now: Instant
) -> None:
    """Mark a run as answered, so that a later report without it shows that the run is over.

    Called when no start command for the run is in flight any more.
    """
    worker = state.workers.get(worker_id)
    if worker is None or worker.life != life:
        return
    attempt = worker.attempts.get((task, run))
    if attempt is not None and attempt.answered_at is None:
        attempt.answered_at = now


def note_stop_answer(
    state: PoolState, worker_id: WorkerId, life: Life, task: TaskKey, run: RunNumber, now: Instant
) -> None:
    """Note that a worker has answered a stop, which may have waited in its link for long."""
    mark_answered(state, worker_id, life, task, run, now)
    worker = state.workers.get(worker_id)
    if worker is None or worker.life != life:
        return
    attempt = worker.attempts.get((task, run))
    if attempt is not None and attempt.phase is Phase.STOPPING:
        attempt.stop_sent_at = now


def handle_recorded_end(
    state: PoolState, task: TaskKey, record: RunRecord, now: Instant, is_recovered: bool = False
) -> tuple[PoolEffect, ...]:
    """Handle the durable record of a run's end, which an earlier leader may have stored."""
    step = find_step(state, task)
    if step is not None and task.number >= step.spec.count:
        return ()
    if step is not None:
        mark_run_number_used(step, task.number, record.run)
        # A worker that has crashed may never have begun the run.
        step.job.has_started |= record.end not in (RunEnd.CRASHED, RunEnd.SUSPECTED)
    if record.end is RunEnd.DONE:
        return handle_recorded_success(state, task, now)
    if record.end is RunEnd.SUSPECTED:
        return handle_recorded_suspicion(state, task, record, is_recovered, now)
    if record.end is RunEnd.CRASHED:
        return handle_recorded_crash(state, task, record, is_recovered, now)
    return handle_recorded_failure(state, task, record.run, now)

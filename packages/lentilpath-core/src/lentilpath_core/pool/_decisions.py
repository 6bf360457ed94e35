"""Entry points of a pool's leader: each applies an event to the state and returns effects."""

from __future__ import annotations

from functools import singledispatch
from itertools import islice

from lentilpath_core.ids import Instant, JobId
from lentilpath_core.pool._authority import (
    note_former_leader_ended,
    note_tick,
    suspend_silent_workers,
)
from lentilpath_core.pool._customers import add_ended_job, apply_policies
from lentilpath_core.pool._events import (
    AdviceAnswered,
    ConfigurationSet,
    DeleteJob,
    FinalsRecorded,
    FormerLeaderEnded,
    JobAccepted,
    JobCancelled,
    JobEnded,
    LeaseSent,
    OtherLifeAnswered,
    PoolEffect,
    PoolEvent,
    RunsRecorded,
    RunsRecovered,
    StartAnswered,
    StartUnanswered,
    StopAnswered,
    TimePassed,
    WorkerReported,
    WorkersListed,
    WorkersRecorded,
)
from lentilpath_core.pool._evidence import mark_slow_workers, stop_frozen_runs
from lentilpath_core.pool._job_sizes import estimate_occurrence_bytes
from lentilpath_core.pool._leaving import evacuate_leaving_workers
from lentilpath_core.pool._model import JobState, TaskKey, get_completion_objective_ms
from lentilpath_core.pool._placement import handle_advice, place_waiting
from lentilpath_core.pool._policies import find_policy
from lentilpath_core.pool._restarts import note_other_life
from lentilpath_core.pool._runs import (
    handle_recorded_end,
    handle_start_answer,
    note_stop_answer,
    record_unanswered_start,
)
from lentilpath_core.pool._shares import number_job, update_buckets
from lentilpath_core.pool._state import Job, PoolState
from lentilpath_core.pool._steps import (
    begin_occurrence,
    estimate_critical_paths,
    finish_job,
    stop_remaining_runs,
)
from lentilpath_core.pool._workers import (
    expire_leases,
    handle_recorded_workers,
    handle_report,
    handle_worker_list,
)

MAX_JOBS_CHECKED_PER_TICK = 50
"""Finished jobs that are checked for expiry in one tick. Several times as many as end between two
ticks, so that expiry keeps up."""


def decide_pool(state: PoolState, event: PoolEvent, now: Instant) -> tuple[PoolEffect, ...]:
    """Apply `event` to `state` and return the effects to carry out.

    Tasks are started only by `place_pool`, so that one placement pass serves several events.
    """
    return _handle(event, state, now)


def place_pool(state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    """Start the tasks that can start now. Takes time in proportion to the waiting work."""
    return place_waiting(state, now)


def is_placement_due(state: PoolState) -> bool:
    """Return whether steps are waiting and the state has changed since the last placement pass."""
    return state.needs_placement and bool(state.open_steps)


def get_job_state(state: PoolState, job: JobId) -> JobState | None:
    """Return the state of a job that callers may see, or `None` if the job is not known."""
    final = state.finals.get(job)
    if final is not None:
        return final.state
    known = state.jobs.get(job)
    if known is None:
        return None
    return JobState.RUNNING if known.has_started else JobState.QUEUED


@singledispatch
def _handle(event: PoolEvent, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    raise TypeError(f"unknown type of pool event: {event!r}")


@_handle.register
def _(event: ConfigurationSet, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    if event.configuration.version < state.configuration.version:
        return ()
    state.configuration = event.configuration
    apply_policies(state, event.configuration)
    update_buckets(state)
    for job in state.jobs.values():
        policy = event.configuration.queues.get(job.record.queue)
        # Accepted jobs run on if their queue is removed from the configuration. They keep the
        # last policy of that queue.
        job.policy = policy or job.policy
    state.needs_placement = True
    return ()


@_handle.register
def _(event: WorkersListed, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    return handle_worker_list(state, event, now)


@_handle.register
def _(event: WorkersRecorded, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    handle_recorded_workers(state, event)
    return ()


@_handle.register
def _(event: JobAccepted, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    record = event.record
    if record.job in state.jobs or record.job in state.finals:
        return ()
    policy = find_policy(state.configuration, record)
    critical_path_ms = max(estimate_critical_paths(record.steps), default=0.0)
    objective_ms = (
        get_completion_objective_ms(policy, critical_path_ms)
        if policy is not None
        else critical_path_ms
    )
    age_ms = max(0, state.wall_now - record.accepted_at) if event.recovered else 0
    job = Job(record, policy, Instant(now - age_ms), objective_ms, event.recovered)
    job.occurrence_bytes = estimate_occurrence_bytes(record)
    state.jobs[record.job] = job
    if event.recovered and record.customer:
        state.recovered_jobs[record.job] = job
    number_job(state, record.customer, record.job, record.accepted_at)
    if record.job in state.cancelled:
        return finish_job(state, job, JobState.CANCELLED, state.wall_now, now)
    if not record.repeats:
        begin_occurrence(state, job, 0)
    return ()


@_handle.register
def _(event: JobCancelled, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    state.cancelled.add(event.job)
    job = state.jobs.get(event.job)
    if job is None:
        return ()
    return finish_job(state, job, JobState.CANCELLED, state.wall_now, now)


@_handle.register
def _(event: JobEnded, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    state.finals[event.job] = event.final
    if event.record is not None and event.record.customer:
        add_ended_job(state, event.record)
    if event.accepted_at is not None:
        number_job(state, event.final.customer, event.job, event.accepted_at)
    return ()


@_handle.register
def _(event: RunsRecovered, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    effects: list[PoolEffect] = []
    for job in state.jobs.values():
        _begin_due_occurrences(state, job)
    for task, _ in event.ends:
        _begin_occurrences_up_to(state, task)
    for task, record in event.ends:
        effects.extend(handle_recorded_end(state, task, record, now, is_recovered=True))
    return tuple(effects)


@_handle.register
def _(event: WorkerReported, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    return handle_report(state, event, now)


@_handle.register
def _(event: OtherLifeAnswered, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    note_other_life(state, event)
    return ()


@_handle.register
def _(event: FormerLeaderEnded, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    return note_former_leader_ended(state, min(event.ended_at, now))


@_handle.register
def _(event: LeaseSent, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    worker = state.workers.get(event.worker)
    if worker is not None and worker.life == event.life:
        worker.lease_ends_at = max(worker.lease_ends_at, event.ends_at)
    return ()


@_handle.register
def _(event: StartAnswered, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    return handle_start_answer(state, event, now)


@_handle.register
def _(event: StartUnanswered, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    return record_unanswered_start(state, event, now)


@_handle.register
def _(event: StopAnswered, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    note_stop_answer(state, event.worker, event.life, event.task, event.run, now)
    return ()


@_handle.register
def _(event: AdviceAnswered, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    job = state.jobs.get(event.step.job)
    step = job.steps.get(event.step) if job is not None else None
    if step is None:
        return ()
    return handle_advice(state, step, event.asked, event.allowed, event.valid_until, now)


@_handle.register
def _(event: RunsRecorded, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    effects: list[PoolEffect] = []
    for task, record in event.ends:
        effects.extend(handle_recorded_end(state, task, record, now))
    return tuple(effects)


@_handle.register
def _(event: FinalsRecorded, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    effects: list[PoolEffect] = []
    for job_id, final in event.jobs:
        state.finals[job_id] = final
        job = state.jobs.get(job_id)
        if job is None:
            continue
        effects.extend(stop_remaining_runs(job, now))
        if not any(step.attempts for step in job.steps.values()):
            del state.jobs[job_id]
    return tuple(effects)


@_handle.register
def _(event: TimePassed, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    state.wall_now = event.wall_now
    note_tick(state, now)
    effects = [
        *expire_leases(state, event.is_confirmed, now),
        *(suspend_silent_workers(state, now) if event.is_confirmed else ()),
        *stop_frozen_runs(state, now),
        *evacuate_leaving_workers(state, now),
    ]
    mark_slow_workers(state, now)
    for job in list(state.jobs.values()):
        _begin_due_occurrences(state, job)
    effects.extend(_expire_finished_jobs(state))
    # Plans and worker cooldowns expire without an event of their own.
    state.needs_placement = True
    return tuple(effects)


def _expire_finished_jobs(state: PoolState) -> list[PoolEffect]:
    """Delete final states that are past their retention time.

    `finals` is ordered by the time at which the jobs ended, so only its first entries are checked.
    """
    effects: list[PoolEffect] = []
    for job, final in list(islice(state.finals.items(), MAX_JOBS_CHECKED_PER_TICK)):
        if job in state.jobs or state.wall_now < final.at + state.job_memory_ms:
            continue
        del state.finals[job]
        state.cancelled.discard(job)
        effects.append(DeleteJob(job))
    return effects


def _begin_occurrences_up_to(state: PoolState, task: TaskKey) -> None:
    """Begin the occurrences of a repeating job that its earlier leader had begun.

    Their time has come, even if the wall clock says otherwise since.
    """
    job = state.jobs.get(task.job)
    if job is None or task.occurrence >= max(1, job.record.repeats):
        return
    while job.final is None and job.occurrences <= task.occurrence:
        begin_occurrence(state, job, job.occurrences)


def _begin_due_occurrences(state: PoolState, job: Job) -> None:
    record = job.record
    while job.final is None and job.occurrences < record.repeats:
        if state.wall_now < record.first_due + job.occurrences * record.every_ms:
            return
        begin_occurrence(state, job, job.occurrences)

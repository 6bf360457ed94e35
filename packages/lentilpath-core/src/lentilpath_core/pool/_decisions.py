"""The decisions of a pool's leader: state and event in, effects out, at a given time."""

from __future__ import annotations

from functools import singledispatch
from itertools import islice

from lentilpath_core.ids import Instant, JobId
from lentilpath_core.pool._events import (
    AdviceAnswered,
    ConfigurationSet,
    FinalsRecorded,
    ForgetJob,
    JobAccepted,
    JobCancelled,
    JobEnded,
    LeaseSent,
    PoolEffect,
    PoolEvent,
    RunsRecorded,
    RunsRecovered,
    StartAnswered,
    StopAnswered,
    TimePassed,
    WorkerReported,
    WorkersListed,
    WorkersRecorded,
)
from lentilpath_core.pool._evidence import find_slow, stop_frozen
from lentilpath_core.pool._leaving import evacuate_leaving
from lentilpath_core.pool._model import JobState, get_wait_objective
from lentilpath_core.pool._placement import place_waiting, take_advice
from lentilpath_core.pool._state import Job, PoolState
from lentilpath_core.pool._steps import (
    begin_occurrence,
    estimate_tails,
    finish_job,
    stop_leftovers,
)
from lentilpath_core.pool._workers import (
    expire_leases,
    note_answered,
    take_listed,
    take_recorded_end,
    take_recorded_workers,
    take_report,
    take_start_answer,
)

FORGET_AT_ONCE = 50
"""Finished jobs that are looked at in one tick; several times what ends meanwhile."""


def decide_pool(state: PoolState, event: PoolEvent, now: Instant) -> tuple[PoolEffect, ...]:
    """Take `event` into `state` and return what is to be done about it.

    Starts are decided by `place_pool`, so that several events share one pass.
    """
    return _take(event, state, now)


def place_pool(state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    """Start what can start now. Costs time in proportion to what waits."""
    return place_waiting(state, now)


def is_placing_due(state: PoolState) -> bool:
    """Return whether something has changed since the last pass."""
    return state.needs_placing and bool(state.open_steps)


def get_job_state(state: PoolState, job: JobId) -> JobState | None:
    """Return what may be shown of a job, or `None` if it is not known."""
    final = state.finals.get(job)
    if final is not None:
        return final.state
    known = state.jobs.get(job)
    if known is None:
        return None
    return JobState.RUNNING if known.has_started else JobState.QUEUED


@singledispatch
def _take(event: PoolEvent, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    raise TypeError(f"not an event of a pool: {event!r}")


@_take.register
def _(event: ConfigurationSet, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    if event.configuration.version < state.configuration.version:
        return ()
    state.configuration = event.configuration
    for job in state.jobs.values():
        policy = event.configuration.queues.get(job.record.queue)
        # Accepted work outlives its queue: the last policy goes on holding for it.
        job.policy = policy or job.policy
    state.needs_placing = True
    return ()


@_take.register
def _(event: WorkersListed, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    return take_listed(state, event, now)


@_take.register
def _(event: WorkersRecorded, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    take_recorded_workers(state, event)
    return ()


@_take.register
def _(event: JobAccepted, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    record = event.record
    if record.job in state.jobs or record.job in state.finals:
        return ()
    policy = state.configuration.queues.get(record.queue)
    chain_ms = max(estimate_tails(record.steps), default=0.0)
    objective_ms = get_wait_objective(policy, chain_ms) if policy is not None else chain_ms
    age_ms = max(0, state.wall_now - record.accepted_at) if event.recovered else 0
    job = Job(record, policy, Instant(now - age_ms), objective_ms, event.recovered)
    state.jobs[record.job] = job
    if record.job in state.cancelled:
        return finish_job(state, job, JobState.CANCELLED, state.wall_now, now)
    if not record.repeats:
        begin_occurrence(state, job, 0)
    return ()


@_take.register
def _(event: JobCancelled, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    state.cancelled.add(event.job)
    job = state.jobs.get(event.job)
    if job is None:
        return ()
    return finish_job(state, job, JobState.CANCELLED, state.wall_now, now)


@_take.register
def _(event: JobEnded, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    state.finals[event.job] = event.final
    return ()


@_take.register
def _(event: RunsRecovered, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    effects: list[PoolEffect] = []
    for task, record in event.ends:
        effects.extend(take_recorded_end(state, task, record, now))
    return tuple(effects)


@_take.register
def _(event: WorkerReported, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    return take_report(state, event, now)


@_take.register
def _(event: LeaseSent, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    worker = state.workers.get(event.worker)
    if worker is not None and worker.life == event.life:
        worker.lease_ends_at = max(worker.lease_ends_at, event.ends_at)
    return ()


@_take.register
def _(event: StartAnswered, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    return take_start_answer(state, event, now)


@_take.register
def _(event: StopAnswered, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    note_answered(state, event.worker, event.life, event.task, event.run, now)
    return ()


@_take.register
def _(event: AdviceAnswered, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    job = state.jobs.get(event.step.job)
    step = job.steps.get(event.step) if job is not None else None
    if step is None:
        return ()
    return take_advice(state, step, event.asked, event.allowed, event.valid_until, now)


@_take.register
def _(event: RunsRecorded, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    effects: list[PoolEffect] = []
    for task, record in event.ends:
        effects.extend(take_recorded_end(state, task, record, now))
    return tuple(effects)


@_take.register
def _(event: FinalsRecorded, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    effects: list[PoolEffect] = []
    for job_id, final in event.jobs:
        state.finals[job_id] = final
        job = state.jobs.get(job_id)
        if job is None:
            continue
        effects.extend(stop_leftovers(job, now))
        if not any(step.attempts for step in job.steps.values()):
            del state.jobs[job_id]
    return tuple(effects)


@_take.register
def _(event: TimePassed, state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    state.wall_now = event.wall_now
    effects = [
        *expire_leases(state, now),
        *stop_frozen(state, now),
        *evacuate_leaving(state, now),
    ]
    find_slow(state, now)
    for job in list(state.jobs.values()):
        _begin_due(state, job)
    effects.extend(_forget_old_jobs(state))
    # Plans expire and closed workers open again with time alone.
    state.needs_placing = True
    return tuple(effects)


def _forget_old_jobs(state: PoolState) -> list[PoolEffect]:
    """Drop final states that nobody asks for any more; they are kept in order of their ends."""
    effects: list[PoolEffect] = []
    for job, final in list(islice(state.finals.items(), FORGET_AT_ONCE)):
        if job in state.jobs or state.wall_now < final.at + state.job_memory_ms:
            continue
        del state.finals[job]
        state.cancelled.discard(job)
        effects.append(ForgetJob(job))
    return effects


def _begin_due(state: PoolState, job: Job) -> None:
    record = job.record
    while job.final is None and job.occurrences < record.repeats:
        if state.wall_now < record.first_due + job.occurrences * record.every_ms:
            return
        begin_occurrence(state, job, job.occurrences)

"""Turns decisions of the placement into journal events and commands to workers."""

from __future__ import annotations

from functools import singledispatch

from lentilpath_core.ids import Instant, JobId, TaskId, WallTime, WorkerId, get_job_of_task
from lentilpath_core.placement import (
    RefuseJob,
    StartTask,
    StopTask,
    decide_placements,
)
from lentilpath_core.states import AttemptOutcome
from lentilpath_core.zone._attempts import end_attempt
from lentilpath_core.zone._commands import withdraw_job
from lentilpath_core.zone._control_messages import ControlEffect, SendStart, SendStop
from lentilpath_core.zone._control_state import NEVER, ControllerState, record_event
from lentilpath_core.zone._readiness import may_start_unrecorded
from lentilpath_core.zone.journal import AttemptStarting, JobRefused

MAX_DECISIONS_PER_STEP = 256
"""Limits how long one step blocks the event loop."""


def place_tasks(state: ControllerState, now: Instant, wall: WallTime) -> list[ControlEffect]:
    """Run the placement, record its decisions and return their effects."""
    effects: list[ControlEffect] = []
    for decision in decide_placements(state.placement, now, MAX_DECISIONS_PER_STEP, wall):
        effects.extend(_handle_decision(decision, state, now, wall))
    return effects


def release_start(
    state: ControllerState, start: SendStart, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    """Return a start whose record is durable, unless its job has been cancelled since.

    If it has, the attempt ends as not started.
    """
    job = state.zone.jobs.get(get_job_of_task(start.task))
    if job is not None and job.cancelled_by is None:
        return [start]
    _drop_unsent_start(state, start.worker, start.task, start.attempt)
    outcome = AttemptOutcome.NOT_STARTED
    end_attempt(state, start.worker, start.task, start.attempt, outcome, now, wall)
    return []


def _drop_unsent_start(
    state: ControllerState, worker: WorkerId, task: TaskId, attempt: int
) -> None:
    view = state.workers.get(worker)
    if view is not None:
        view.unconfirmed_starts.pop((task, attempt), None)


@singledispatch
def _handle_decision(
    decision: object, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    raise TypeError(f"not a placement decision: {decision!r}")


@_handle_decision.register
def _(
    decision: StartTask, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    task = decision.task
    event = AttemptStarting(
        task, decision.attempt, decision.worker, wall, decision.reason, decision.room
    )
    record_event(state, event)
    state.workers[decision.worker].unconfirmed_starts[(task, decision.attempt)] = NEVER
    start = SendStart(decision.worker, task, decision.attempt, decision.room)
    if _may_send_unrecorded(state, get_job_of_task(task)):
        return [start]
    state.pending_effects.append(start)
    return []


def _may_send_unrecorded(state: ControllerState, job: JobId) -> bool:
    # Until the job's acceptance is durable, its command is still in the inbox, and the next
    # leader would accept it as a new job of which no task can have started.
    if job in state.pending_jobs or job in state.writing_jobs:
        return False
    return may_start_unrecorded(state.zone.jobs[job])


@_handle_decision.register
def _(
    decision: StopTask, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    stop = SendStop(
        decision.worker, decision.task, decision.attempt, decision.mode, decision.millicores
    )
    return [stop]


@_handle_decision.register
def _(
    decision: RefuseJob, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    record_event(state, JobRefused(decision.job, wall, decision.reason))
    withdraw_job(state, decision.job, now)
    return []

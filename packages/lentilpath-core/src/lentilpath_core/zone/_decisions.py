"""Decisions of the placement, turned into journal events and commands to workers."""

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
"""Bounds how long one step keeps the loop from answering others."""


def place_tasks(state: ControllerState, now: Instant, wall: WallTime) -> list[ControlEffect]:
    """Ask the placement what to start and stop now, and record it."""
    effects: list[ControlEffect] = []
    for decision in decide_placements(state.placement, now, MAX_DECISIONS_PER_STEP, wall):
        effects.extend(_take_decision(decision, state, now, wall))
    return effects


def release_start(
    state: ControllerState, start: SendStart, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    """Return a start whose record is durable, unless it is not wanted any more."""
    job = state.zone.jobs.get(get_job_of_task(start.task))
    if job is not None and job.cancelled_by is None:
        return [start]
    _forget_unsent(state, start.worker, start.task, start.attempt)
    outcome = AttemptOutcome.NOT_STARTED
    end_attempt(state, start.worker, start.task, start.attempt, outcome, now, wall)
    return []


def _forget_unsent(state: ControllerState, worker: WorkerId, task: TaskId, attempt: int) -> None:
    view = state.workers.get(worker)
    if view is not None:
        view.unsettled.pop((task, attempt), None)


@singledispatch
def _take_decision(
    decision: object, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    raise TypeError(f"not a placement decision: {decision!r}")


@_take_decision.register
def _(
    decision: StartTask, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    task = decision.task
    event = AttemptStarting(
        task, decision.attempt, decision.worker, wall, decision.reason, decision.room
    )
    record_event(state, event)
    state.workers[decision.worker].unsettled[(task, decision.attempt)] = NEVER
    start = SendStart(decision.worker, task, decision.attempt, decision.room)
    if _may_leave_at_once(state, get_job_of_task(task)):
        return [start]
    state.gated.append(start)
    return []


def _may_leave_at_once(state: ControllerState, job: JobId) -> bool:
    # While the job's acceptance is not durable, its command is still in the inbox, and the next
    # leader would take it for a job of which nothing can have started.
    if job in state.undurable_jobs or job in state.writing_jobs:
        return False
    return may_start_unrecorded(state.zone.jobs[job])


@_take_decision.register
def _(
    decision: StopTask, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    stop = SendStop(
        decision.worker, decision.task, decision.attempt, decision.mode, decision.millicores
    )
    return [stop]


@_take_decision.register
def _(
    decision: RefuseJob, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    record_event(state, JobRefused(decision.job, wall, decision.reason))
    withdraw_job(state, decision.job, now)
    return []

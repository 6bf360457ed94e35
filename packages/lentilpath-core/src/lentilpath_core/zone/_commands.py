"""Executes the commands of the inbox and records them as journal events."""

from __future__ import annotations

from functools import singledispatch

from lentilpath_core.errors import InvalidJob
from lentilpath_core.ids import Instant, JobId, WallTime
from lentilpath_core.placement import JobWithdrawn, StopMode, apply_event
from lentilpath_core.states import TaskState
from lentilpath_core.workloads import check_job
from lentilpath_core.zone._control_messages import ControlEffect, SendStop
from lentilpath_core.zone._control_state import ControllerState, record_event
from lentilpath_core.zone._readiness import offer_tasks
from lentilpath_core.zone._workers import offer_worker
from lentilpath_core.zone.inbox import (
    DrainWorker,
    InboxEntry,
    StopJob,
    SubmitJob,
    UndrainWorker,
)
from lentilpath_core.zone.journal import (
    CommandAnswered,
    JobAccepted,
    JobCancelled,
    WorkerDrained,
    WorkerUndrained,
)

OK = "ok"


def execute_command(
    state: ControllerState, key: str, entry: InboxEntry, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    """Execute one command, unless it was executed before, and return its effects."""
    if entry.command in state.pending_commands or entry.command in state.writing_commands:
        return []
    state.pending_commands[entry.command] = key
    if entry.command in state.zone.answers:
        return []
    code, text, effects = _execute(entry.body, state, entry, now, wall)
    record_event(state, CommandAnswered(entry.command, wall, code, text))
    return effects


@singledispatch
def _execute(
    body: object, state: ControllerState, entry: InboxEntry, now: Instant, wall: WallTime
) -> tuple[str, str, list[ControlEffect]]:
    raise TypeError(f"not a zone command: {body!r}")


@_execute.register
def _(
    body: SubmitJob, state: ControllerState, entry: InboxEntry, now: Instant, wall: WallTime
) -> tuple[str, str, list[ControlEffect]]:
    spec = body.spec
    if spec.job in state.zone.jobs:
        return "conflict", f"job {spec.job} exists; submit under another name", []
    try:
        check_job(spec)
    except InvalidJob as error:
        return error.code, str(error), []
    record_event(state, JobAccepted(spec, entry.accepted_at, entry.accepted_by))
    state.pending_jobs.add(spec.job)
    offer_tasks(state, spec.job, spec.list_tasks(), now)
    return OK, f"job {spec.job} accepted with {spec.tasks} tasks", []


@_execute.register
def _(
    body: StopJob, state: ControllerState, entry: InboxEntry, now: Instant, wall: WallTime
) -> tuple[str, str, list[ControlEffect]]:
    job = state.zone.jobs.get(body.job)
    if job is None:
        return "unknown-name", f"job {body.job} is not known in this availability zone", []
    if job.cancelled_by is not None:
        return OK, f"job {body.job} was stopped by {job.cancelled_by}", []
    if job.open_tasks == 0:
        return "conflict", f"job {body.job} has ended already", []
    stopping = job.open_tasks
    record_event(state, JobCancelled(body.job, wall, entry.operator))
    withdraw_job(state, body.job, now)
    effects: list[ControlEffect] = []
    for task in job.tasks.values():
        attempt = task.get_open_attempt()
        if attempt is not None and task.state in (TaskState.STARTING, TaskState.RUNNING):
            effects.append(SendStop(attempt.worker, task.task, attempt.attempt, StopMode.STOP))
    return OK, f"job {body.job} stops; {stopping} tasks had not ended", effects


@_execute.register
def _(
    body: DrainWorker, state: ControllerState, entry: InboxEntry, now: Instant, wall: WallTime
) -> tuple[str, str, list[ControlEffect]]:
    if body.worker not in state.workers and body.worker not in state.zone.workers:
        return "unknown-name", f"worker {body.worker} is not known in this zone", []
    drained_by = state.zone.drained.get(body.worker)
    if drained_by is not None:
        return OK, f"worker {body.worker} was drained by {drained_by}", []
    record_event(state, WorkerDrained(body.worker, wall, entry.operator))
    offer_worker(state, body.worker, now)
    return OK, f"worker {body.worker} gets nothing new", []


@_execute.register
def _(
    body: UndrainWorker, state: ControllerState, entry: InboxEntry, now: Instant, wall: WallTime
) -> tuple[str, str, list[ControlEffect]]:
    if body.worker not in state.zone.drained:
        return OK, f"worker {body.worker} was not drained", []
    record_event(state, WorkerUndrained(body.worker, wall, entry.operator))
    offer_worker(state, body.worker, now)
    return OK, f"worker {body.worker} may get new tasks", []


def withdraw_job(state: ControllerState, job: JobId, now: Instant) -> None:
    """Withdraw `job` from the placement, so that none of its waiting tasks starts."""
    apply_event(state.placement, JobWithdrawn(job), now)
    state.tasks_awaiting_workers.pop(job, None)
    state.tasks_awaiting_table.pop(job, None)

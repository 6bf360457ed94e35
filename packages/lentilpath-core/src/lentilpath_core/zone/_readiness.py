"""Which waiting tasks may start now, after a change of leader and without the table."""

from __future__ import annotations

from lentilpath_core.ids import Instant, JobId, TaskId, get_job_of_task
from lentilpath_core.placement import JobWithdrawn, TaskFound, TasksReady, apply_event
from lentilpath_core.states import TaskState
from lentilpath_core.zone._control_messages import WorkerPhase
from lentilpath_core.zone._control_state import ControllerState
from lentilpath_core.zone.records import JobRecord


def offer_tasks(
    state: ControllerState, job: JobId, tasks: tuple[TaskId, ...], now: Instant
) -> None:
    """Let the placement start these waiting tasks, or hold them until it may."""
    record = state.zone.jobs[job]
    if not state.by_table and not may_start_unrecorded(record):
        state.waiting_for_table.setdefault(job, []).extend(tasks)
        return
    attempts = tuple((task, record.tasks[task].attempts_made) for task in tasks)
    apply_event(state.placement, TasksReady(record.spec, tasks, record.accepted_at, attempts), now)


def offer_recovered_tasks(state: ControllerState, now: Instant) -> None:
    """Offer the waiting tasks that a new leader found in the journal.

    A task that may start without a record may run somewhere although the journal does not say so,
    so it is held until every worker has answered or its leases have run out. Any other waiting
    task has no journaled start, so it runs nowhere.
    """
    _hold_room_of_open_attempts(state, now)
    for job, record in state.zone.jobs.items():
        waiting = tuple(
            task.task for task in record.tasks.values() if task.state is TaskState.WAITING
        )
        if not waiting:
            continue
        if may_start_unrecorded(record):
            state.held[job] = list(waiting)
        else:
            offer_tasks(state, job, waiting, now)
    release_held_tasks(state, now)


def _hold_room_of_open_attempts(state: ControllerState, now: Instant) -> None:
    for worker, attempts in state.zone.open_attempts.items():
        for task, attempt in attempts.items():
            spec = state.zone.jobs[get_job_of_task(task)].spec
            record = state.zone.find_task(task)
            held = record.get_open_attempt() if record is not None else None
            room = held.room if held is not None else None
            found = TaskFound(spec, task, attempt, worker, room)
            apply_event(state.placement, found, now)


def release_held_tasks(state: ControllerState, now: Instant) -> None:
    """Offer the held tasks once no worker is left that might run one of them unseen."""
    if not state.held:
        return
    for worker in state.zone.workers:
        view = state.workers.get(worker)
        if view is None or view.phase is WorkerPhase.UNHEARD:
            return
    held = state.held
    state.held = {}
    for job, tasks in held.items():
        record = state.zone.jobs.get(job)
        if record is None:
            continue
        still = tuple(task for task in tasks if record.tasks[task].state is TaskState.WAITING)
        if still:
            offer_tasks(state, job, still, now)


def set_table_backing(state: ControllerState, by_table: bool, now: Instant) -> None:
    """Withdraw or offer the tasks that need the table to start."""
    if state.by_table == by_table:
        return
    state.by_table = by_table
    if by_table:
        _offer_tasks_that_waited_for_table(state, now)
    else:
        _withdraw_tasks_that_need_table(state, now)


def may_start_unrecorded(record: JobRecord) -> bool:
    """Return whether tasks of the job may start before their start is durable.

    Only what may run again may start without a record: if the leader dies before it is written,
    the next one cannot tell whether the task ran.
    """
    return record.spec.policy.idempotent


def _offer_tasks_that_waited_for_table(state: ControllerState, now: Instant) -> None:
    waited = state.waiting_for_table
    state.waiting_for_table = {}
    for job, tasks in waited.items():
        record = state.zone.jobs.get(job)
        if record is None:
            continue
        still = tuple(task for task in tasks if record.tasks[task].state is TaskState.WAITING)
        if still:
            offer_tasks(state, job, still, now)


def _withdraw_tasks_that_need_table(state: ControllerState, now: Instant) -> None:
    for job, record in state.zone.jobs.items():
        if record.open_tasks == 0 or may_start_unrecorded(record):
            continue
        waiting = [t.task for t in record.tasks.values() if t.state is TaskState.WAITING]
        if waiting:
            apply_event(state.placement, JobWithdrawn(job), now)
            state.waiting_for_table[job] = waiting

"""Decides which waiting tasks may start after a change of leader or without the table."""

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
    """Offer waiting tasks to the placement, or keep those that need the table until it is back."""
    record = state.zone.jobs[job]
    if not state.backed_by_table and not may_start_unrecorded(record):
        state.tasks_awaiting_table.setdefault(job, []).extend(tasks)
        return
    attempts = tuple((task, record.tasks[task].attempts_made) for task in tasks)
    apply_event(state.placement, TasksReady(record.spec, tasks, record.accepted_at, attempts), now)


def offer_recovered_tasks(state: ControllerState, now: Instant) -> None:
    """Offer the waiting tasks that a new leader found in the journal.

    A task that may start before its start is durable may be running although the journal has no
    start of it, so it is not offered until every worker has answered or its leases have expired.
    Any other waiting task has no start in the journal, so it runs nowhere.
    """
    _restore_allocations(state, now)
    for job, record in state.zone.jobs.items():
        waiting = tuple(
            task.task for task in record.tasks.values() if task.state is TaskState.WAITING
        )
        if not waiting:
            continue
        if may_start_unrecorded(record):
            state.tasks_awaiting_workers[job] = list(waiting)
        else:
            offer_tasks(state, job, waiting, now)
    offer_tasks_awaiting_workers(state, now)


def _restore_allocations(state: ControllerState, now: Instant) -> None:
    for worker, attempts in state.zone.open_attempts.items():
        for task, attempt in attempts.items():
            spec = state.zone.jobs[get_job_of_task(task)].spec
            record = state.zone.find_task(task)
            open_attempt = record.get_open_attempt() if record is not None else None
            room = open_attempt.room if open_attempt is not None else None
            found = TaskFound(spec, task, attempt, worker, room)
            apply_event(state.placement, found, now)


def offer_tasks_awaiting_workers(state: ControllerState, now: Instant) -> None:
    """Offer `tasks_awaiting_workers` once every worker has answered or is recorded as lost."""
    if not state.tasks_awaiting_workers:
        return
    for worker in state.zone.workers:
        view = state.workers.get(worker)
        if view is None or view.phase is WorkerPhase.UNHEARD:
            return
    awaiting = state.tasks_awaiting_workers
    state.tasks_awaiting_workers = {}
    for job, tasks in awaiting.items():
        record = state.zone.jobs.get(job)
        if record is None:
            continue
        still_waiting = tuple(
            task for task in tasks if record.tasks[task].state is TaskState.WAITING
        )
        if still_waiting:
            offer_tasks(state, job, still_waiting, now)


def set_table_backing(state: ControllerState, backed_by_table: bool, now: Instant) -> None:
    """Withdraw tasks that need the table to start, or offer them once it backs the authority."""
    if state.backed_by_table == backed_by_table:
        return
    state.backed_by_table = backed_by_table
    if backed_by_table:
        _offer_tasks_awaiting_table(state, now)
    else:
        _withdraw_tasks_that_need_table(state, now)


def may_start_unrecorded(record: JobRecord) -> bool:
    """Return whether tasks of the job may start before their start is durable.

    Only a task that may run twice may start without a record: if the leader fails before the
    record is written, the next leader cannot tell whether the task ran.
    """
    return record.spec.policy.idempotent


def _offer_tasks_awaiting_table(state: ControllerState, now: Instant) -> None:
    awaiting = state.tasks_awaiting_table
    state.tasks_awaiting_table = {}
    for job, tasks in awaiting.items():
        record = state.zone.jobs.get(job)
        if record is None:
            continue
        still_waiting = tuple(
            task for task in tasks if record.tasks[task].state is TaskState.WAITING
        )
        if still_waiting:
            offer_tasks(state, job, still_waiting, now)


def _withdraw_tasks_that_need_table(state: ControllerState, now: Instant) -> None:
    for job, record in state.zone.jobs.items():
        if record.open_tasks == 0 or may_start_unrecorded(record):
            continue
        waiting = [t.task for t in record.tasks.values() if t.state is TaskState.WAITING]
        if waiting:
            apply_event(state.placement, JobWithdrawn(job), now)
            state.tasks_awaiting_table[job] = waiting

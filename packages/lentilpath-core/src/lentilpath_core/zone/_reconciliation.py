"""Reconciles the reports of workers with the journal."""

from __future__ import annotations

from lentilpath_core.ids import Instant, TaskId, WallTime, WorkerId, WorkerTime, get_job_of_task
from lentilpath_core.placement import StopMode, TaskFound, UsageReported, apply_event
from lentilpath_core.resources import Resources
from lentilpath_core.states import ENDED_TASK_STATES, AttemptOutcome, TaskState
from lentilpath_core.zone._attempts import end_attempt
from lentilpath_core.zone._control_messages import (
    ControlEffect,
    ForgetAttempt,
    RequestFullReport,
    SendStop,
    WorkerPhase,
    WorkerSynced,
)
from lentilpath_core.zone._control_state import ControllerState, WorkerView, record_event
from lentilpath_core.zone._readiness import offer_tasks_awaiting_workers
from lentilpath_core.zone._workers import join_worker, offer_worker
from lentilpath_core.zone.journal import AttemptStarting
from lentilpath_core.zone.reports import WorkerTask, WorkerTaskState

OUTCOMES = {
    WorkerTaskState.SUCCEEDED: AttemptOutcome.SUCCEEDED,
    WorkerTaskState.FAILED: AttemptOutcome.FAILED,
    WorkerTaskState.STOPPED: AttemptOutcome.STOPPED,
    WorkerTaskState.CHECKPOINTED: AttemptOutcome.STOPPED,
    WorkerTaskState.LEASE_EXPIRED: AttemptOutcome.LEASE_EXPIRED,
}


def handle_report(
    state: ControllerState, event: WorkerSynced, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    """Compare a worker's report with the journal and resolve every difference."""
    view = state.workers.get(event.worker)
    if view is None:
        return []
    view.answered_at = now
    report = event.report
    if view.boot != report.boot and not report.complete:
        return [RequestFullReport(event.worker)]
    effects: list[ControlEffect] = []
    first_answer = view.boot != report.boot
    if report.complete:
        _end_missing_attempts(state, view, event, now, wall)
    view.boot = report.boot
    for task in report.tasks:
        effects.extend(_handle_reported_attempt(state, view, task, event, now, wall))
    if first_answer:
        join_worker(state, view, now, wall)
    elif view.phase is WorkerPhase.SILENT:
        view.phase = WorkerPhase.SERVING
        offer_worker(state, event.worker, now)
    if view.unclear_starts:
        effects.append(RequestFullReport(event.worker))
    offer_tasks_awaiting_workers(state, now)
    return effects


def _handle_reported_attempt(
    state: ControllerState,
    view: WorkerView,
    task: WorkerTask,
    event: WorkerSynced,
    now: Instant,
    wall: WallTime,
) -> list[ControlEffect]:
    _clear_start_uncertainty(view, task.task, task.attempt)
    if task.state is WorkerTaskState.RUNNING:
        return _handle_running_attempt(state, view, task, event, now)
    _handle_ended_attempt(state, view, task, now, wall)
    return []


def _handle_ended_attempt(
    state: ControllerState, view: WorkerView, task: WorkerTask, now: Instant, wall: WallTime
) -> None:
    worker = view.listed.worker
    view.usage.pop((task.task, task.attempt), None)
    if (task.task, task.attempt) in view.orphaned_attempts:
        view.orphaned_attempts.discard((task.task, task.attempt))
        offer_worker(state, worker, now)
    record = state.zone.find_task(task.task)
    if record is not None and not _is_end_recorded(state, worker, task):
        end_attempt(state, worker, task.task, task.attempt, OUTCOMES[task.state], now, wall, task)
    # The worker may discard the attempt only if its end is durable or the zone has no such task.
    forget = ForgetAttempt(worker, task.task, task.attempt)
    if forget not in state.pending_effects and forget not in state.writing_effects:
        state.pending_effects.append(forget)


def _is_end_recorded(state: ControllerState, worker: WorkerId, task: WorkerTask) -> bool:
    record = state.zone.find_task(task.task)
    if record is None:
        return False
    index = record.find_attempt(task.attempt, worker)
    if index is None:
        return False
    outcome = record.attempts[index].outcome
    return outcome is not None and outcome is not AttemptOutcome.LOST


def _handle_running_attempt(
    state: ControllerState,
    view: WorkerView,
    task: WorkerTask,
    event: WorkerSynced,
    now: Instant,
) -> list[ControlEffect]:
    worker = view.listed.worker
    record = state.zone.find_task(task.task)
    if record is None or not _is_expected_on_worker(state, worker, task):
        return _stop_orphaned_attempt(state, view, task, now)
    job = state.zone.jobs[get_job_of_task(task.task)]
    if record.find_attempt(task.attempt, worker) is None:
        # The attempt was started while the table was unavailable, and its record was lost.
        reason = "found running; its start was not recorded"
        record_event(
            state, AttemptStarting(task.task, task.attempt, worker, task.started_at, reason)
        )
    if record.state is not TaskState.RUNNING:
        record.state = TaskState.RUNNING
        apply_event(state.placement, TaskFound(job.spec, task.task, task.attempt, worker), now)
    _report_usage(state, view, task, event.report.clock, now)
    if job.cancelled_by is not None:
        return [SendStop(worker, task.task, task.attempt, StopMode.STOP)]
    return []


def _report_usage(
    state: ControllerState, view: WorkerView, task: WorkerTask, clock: WorkerTime, now: Instant
) -> None:
    key = (task.task, task.attempt)
    previous_clock, previous_millicore_ms = view.usage.get(key, (clock, task.millicore_ms))
    view.usage[key] = (clock, task.millicore_ms)
    elapsed_ms = clock - previous_clock
    if elapsed_ms <= 0:
        return
    millicores = (task.millicore_ms - previous_millicore_ms) // elapsed_ms
    used = Resources(millicores, task.peak_memory_mib, 0)
    apply_event(state.placement, UsageReported(task.task, task.attempt, used), now)


def _is_expected_on_worker(state: ControllerState, worker: WorkerId, task: WorkerTask) -> bool:
    record = state.zone.find_task(task.task)
    assert record is not None
    if record.state in ENDED_TASK_STATES:
        return False
    index = record.find_attempt(task.attempt, worker)
    if index is not None:
        return record.attempts[index].outcome is None
    return record.state is TaskState.WAITING


def _stop_orphaned_attempt(
    state: ControllerState, view: WorkerView, task: WorkerTask, now: Instant
) -> list[ControlEffect]:
    view.orphaned_attempts.add((task.task, task.attempt))
    offer_worker(state, view.listed.worker, now)
    return [SendStop(view.listed.worker, task.task, task.attempt, StopMode.STOP)]


def _end_missing_attempts(
    state: ControllerState,
    view: WorkerView,
    event: WorkerSynced,
    now: Instant,
    wall: WallTime,
) -> None:
    """End the attempts that the journal places on the worker but that its report omits.

    If the worker's boot is the one in the journal, an omitted attempt never started, provided its
    start command can no longer take effect: a worker keeps ended attempts until their end is
    durable. After a restart the worker has lost its attempts, so the attempt may have run.
    """
    worker = event.worker
    present = {(task.task, task.attempt) for task in event.report.tasks}
    record = state.zone.workers.get(worker)
    same_boot = record is not None and record.boot == event.report.boot
    outcome = AttemptOutcome.NOT_STARTED if same_boot else AttemptOutcome.LOST
    for task, attempt in tuple(state.zone.open_attempts.get(worker, {}).items()):
        if (task, attempt) in present:
            continue
        # A start that was in flight when the sync was sent may legitimately be missing, whether
        # or not it has been answered since: the report may be older than the start.
        if event.sent_at <= view.unconfirmed_starts.get((task, attempt), Instant(0)):
            continue
        _clear_start_uncertainty(view, task, attempt)
        end_attempt(state, worker, task, attempt, outcome, now, wall)


def _clear_start_uncertainty(view: WorkerView, task: TaskId, attempt: int) -> None:
    view.unconfirmed_starts.pop((task, attempt), None)
    view.unclear_starts.discard((task, attempt))

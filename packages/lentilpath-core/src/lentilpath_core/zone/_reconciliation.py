"""What a worker's report means: every difference from the journal is settled."""

from __future__ import annotations

from lentilpath_core.ids import Instant, TaskId, WallTime, WorkerId, WorkerTime, get_job_of_task
from lentilpath_core.placement import StopMode, TaskFound, UsageReported, apply_event
from lentilpath_core.resources import Resources
from lentilpath_core.states import ENDED_TASK_STATES, AttemptOutcome, TaskState
from lentilpath_core.zone._attempts import end_attempt
from lentilpath_core.zone._control_messages import (
    AskForAllTasks,
    ControlEffect,
    ForgetAttempt,
    SendStop,
    WorkerPhase,
    WorkerSynced,
)
from lentilpath_core.zone._control_state import ControllerState, WorkerView, record_event
from lentilpath_core.zone._readiness import release_held_tasks
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


def take_report(
    state: ControllerState, event: WorkerSynced, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    """Compare a worker's report with the journal and settle every difference."""
    view = state.workers.get(event.worker)
    if view is None:
        return []
    view.answered_at = now
    report = event.report
    if view.boot != report.boot and not report.complete:
        return [AskForAllTasks(event.worker)]
    effects: list[ControlEffect] = []
    first_answer = view.boot != report.boot
    if report.complete:
        _settle_missing_attempts(state, view, event, now, wall)
    view.boot = report.boot
    for task in report.tasks:
        effects.extend(_take_task(state, view, task, event, now, wall))
    if first_answer:
        join_worker(state, view, now, wall)
    elif view.phase is WorkerPhase.SILENT:
        view.phase = WorkerPhase.SERVING
        offer_worker(state, event.worker, now)
    if view.doubtful:
        effects.append(AskForAllTasks(event.worker))
    release_held_tasks(state, now)
    return effects


def _take_task(
    state: ControllerState,
    view: WorkerView,
    task: WorkerTask,
    event: WorkerSynced,
    now: Instant,
    wall: WallTime,
) -> list[ControlEffect]:
    _settle(view, task.task, task.attempt)
    if task.state is WorkerTaskState.RUNNING:
        return _take_running_task(state, view, task, event, now)
    _take_ended_task(state, view, task, now, wall)
    return []


def _take_ended_task(
    state: ControllerState, view: WorkerView, task: WorkerTask, now: Instant, wall: WallTime
) -> None:
    worker = view.listed.worker
    view.usage.pop((task.task, task.attempt), None)
    if (task.task, task.attempt) in view.strays:
        view.strays.discard((task.task, task.attempt))
        offer_worker(state, worker, now)
    record = state.zone.find_task(task.task)
    if record is not None and not _is_end_recorded(state, worker, task):
        end_attempt(state, worker, task.task, task.attempt, OUTCOMES[task.state], now, wall, task)
    # The worker may forget the attempt only when its end is durable, or when nobody asks for it.
    forget = ForgetAttempt(worker, task.task, task.attempt)
    if forget not in state.gated and forget not in state.writing_gated:
        state.gated.append(forget)


def _is_end_recorded(state: ControllerState, worker: WorkerId, task: WorkerTask) -> bool:
    record = state.zone.find_task(task.task)
    if record is None:
        return False
    place = record.find_attempt(task.attempt, worker)
    if place is None:
        return False
    outcome = record.attempts[place].outcome
    return outcome is not None and outcome is not AttemptOutcome.LOST


def _take_running_task(
    state: ControllerState,
    view: WorkerView,
    task: WorkerTask,
    event: WorkerSynced,
    now: Instant,
) -> list[ControlEffect]:
    worker = view.listed.worker
    record = state.zone.find_task(task.task)
    if record is None or not _belongs_here(state, worker, task):
        return _stop_stray(state, view, task, now)
    job = state.zone.jobs[get_job_of_task(task.task)]
    if record.find_attempt(task.attempt, worker) is None:
        # The start was made while the table was away, and its record is lost.
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
    before_clock, before_millicore_ms = view.usage.get(key, (clock, task.millicore_ms))
    view.usage[key] = (clock, task.millicore_ms)
    elapsed_ms = clock - before_clock
    if elapsed_ms <= 0:
        return
    millicores = (task.millicore_ms - before_millicore_ms) // elapsed_ms
    used = Resources(millicores, task.peak_memory_mib, 0)
    apply_event(state.placement, UsageReported(task.task, task.attempt, used), now)


def _belongs_here(state: ControllerState, worker: WorkerId, task: WorkerTask) -> bool:
    record = state.zone.find_task(task.task)
    assert record is not None
    if record.state in ENDED_TASK_STATES:
        return False
    place = record.find_attempt(task.attempt, worker)
    if place is not None:
        return record.attempts[place].outcome is None
    return record.state is TaskState.WAITING


def _stop_stray(
    state: ControllerState, view: WorkerView, task: WorkerTask, now: Instant
) -> list[ControlEffect]:
    view.strays.add((task.task, task.attempt))
    offer_worker(state, view.listed.worker, now)
    return [SendStop(view.listed.worker, task.task, task.attempt, StopMode.STOP)]


def _settle_missing_attempts(
    state: ControllerState,
    view: WorkerView,
    event: WorkerSynced,
    now: Instant,
    wall: WallTime,
) -> None:
    """End the attempts that the journal places on the worker and that it does not report.

    Under the boot that the journal names, a missing attempt never started, once its start command
    has lost its effect: the worker keeps ended attempts until their end is durable. Under another
    boot the worker has forgotten, so the attempt may have run.
    """
    worker = event.worker
    present = {(task.task, task.attempt) for task in event.report.tasks}
    record = state.zone.workers.get(worker)
    same_boot = record is not None and record.boot == event.report.boot
    outcome = AttemptOutcome.NOT_STARTED if same_boot else AttemptOutcome.LOST
    for task, attempt in tuple(state.zone.open_attempts.get(worker, {}).items()):
        if (task, attempt) in present:
            continue
        # A start that was still on its way when the sync left may rightly be missing, whether or
        # not it has been answered since: the report may be older than the start.
        if event.sent_at <= view.unsettled.get((task, attempt), Instant(0)):
            continue
        _settle(view, task, attempt)
        end_attempt(state, worker, task, attempt, outcome, now, wall)


def _settle(view: WorkerView, task: TaskId, attempt: int) -> None:
    view.unsettled.pop((task, attempt), None)
    view.doubtful.discard((task, attempt))

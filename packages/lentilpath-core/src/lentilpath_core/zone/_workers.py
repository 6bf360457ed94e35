"""What a worker's report, silence or listing means for the zone."""

from __future__ import annotations

from lentilpath_core.ids import (
    Instant,
    RackId,
    TaskId,
    WallTime,
    WorkerId,
    WorkerTime,
    get_job_of_task,
)
from lentilpath_core.placement import (
    AttemptFinished,
    StopMode,
    TaskFound,
    UsageReported,
    WorkerOffered,
    WorkerRemoved,
    apply_event,
)
from lentilpath_core.resources import Resources
from lentilpath_core.states import (
    ENDED_TASK_STATES,
    AttemptOutcome,
    TaskState,
    WorkerState,
)
from lentilpath_core.zone._control_messages import (
    AskForAllTasks,
    ConfirmWorker,
    ControlEffect,
    ForgetAttempt,
    ListedWorker,
    SendStop,
    WorkerPhase,
    WorkerSynced,
)
from lentilpath_core.zone._control_state import (
    ControllerState,
    WorkerView,
    get_lease_bound,
    record_event,
)
from lentilpath_core.zone._readiness import offer_tasks, release_held_tasks
from lentilpath_core.zone.journal import (
    AttemptEnded,
    AttemptStarting,
    WorkerJoined,
    WorkerLost,
)
from lentilpath_core.zone.reports import WorkerTask, WorkerTaskState

OUTCOMES = {
    WorkerTaskState.SUCCEEDED: AttemptOutcome.SUCCEEDED,
    WorkerTaskState.FAILED: AttemptOutcome.FAILED,
    WorkerTaskState.STOPPED: AttemptOutcome.STOPPED,
    WorkerTaskState.CHECKPOINTED: AttemptOutcome.STOPPED,
    WorkerTaskState.LEASE_EXPIRED: AttemptOutcome.LEASE_EXPIRED,
}
NOT_KNOWN = WallTime(0)


def list_workers(state: ControllerState, listed: tuple[ListedWorker, ...], now: Instant) -> None:
    """Begin to follow workers that are newly listed, and take over changes of the others.

    A worker that is not listed any more is followed until it is lost: the list lags, and its
    leases count until they have run out.
    """
    names = {worker.worker for worker in listed}
    for gone in [w for w in state.workers if w not in names and w not in state.zone.workers]:
        del state.workers[gone]
        apply_event(state.placement, WorkerRemoved(gone), now)
    for worker in listed:
        view = state.workers.get(worker.worker)
        if view is None:
            # A leader before this one may have granted a lease by its last command.
            bound = get_lease_bound(state, state.earlier_commands_end)
            state.workers[worker.worker] = WorkerView(worker, WorkerPhase.UNHEARD, now, bound)
            _offer_as_silent(state, worker, now)
        elif view.listed != worker:
            view.listed = worker
            offer_worker(state, worker.worker, now)


def offer_worker(state: ControllerState, worker: WorkerId, now: Instant) -> None:
    """Tell the placement what may be placed on `worker` now."""
    view = state.workers.get(worker)
    if view is None or view.phase in (WorkerPhase.UNHEARD, WorkerPhase.JOINING):
        return
    offered = WorkerState.ACTIVE
    if view.phase is WorkerPhase.SILENT or view.strays:
        offered = WorkerState.SILENT
    elif view.listed.leaving or worker in state.zone.drained:
        offered = WorkerState.DRAINING
    event = WorkerOffered(worker, view.listed.rack, view.listed.capacity, offered)
    apply_event(state.placement, event, now)


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
        _join_worker(state, view, now, wall)
    elif view.phase is WorkerPhase.SILENT:
        view.phase = WorkerPhase.SERVING
        offer_worker(state, event.worker, now)
    if view.doubtful:
        effects.append(AskForAllTasks(event.worker))
    release_held_tasks(state, now)
    return effects


def confirm_worker(state: ControllerState, worker: WorkerId, boot: str, now: Instant) -> None:
    """Offer a worker whose joining has become durable, unless it has restarted since."""
    view = state.workers.get(worker)
    if view is not None and view.phase is WorkerPhase.JOINING and view.boot == boot:
        view.phase = WorkerPhase.SERVING
        offer_worker(state, worker, now)


def watch_silence(state: ControllerState, now: Instant, wall: WallTime) -> None:
    """Give nothing new to silent workers, and give up those whose leases have run out."""
    for worker, view in tuple(state.workers.items()):
        silent = now - view.answered_at > state.leases.silent_after_ms
        if silent:
            mark_silent(state, worker, now)
        if silent and now > view.lease_bound and worker in state.zone.workers:
            _lose_worker(state, worker, now, wall)
    _follow_unlisted_workers(state, now)
    release_held_tasks(state, now)


def mark_silent(state: ControllerState, worker: WorkerId, now: Instant) -> None:
    """Give a worker that does not answer nothing new until it does."""
    view = state.workers[worker]
    if view.phase is WorkerPhase.SERVING:
        view.phase = WorkerPhase.SILENT
        offer_worker(state, worker, now)


def end_attempt(
    state: ControllerState,
    worker: WorkerId,
    task: TaskId,
    attempt: int,
    outcome: AttemptOutcome,
    now: Instant,
    wall: WallTime,
    reported: WorkerTask | None = None,
) -> None:
    """Record the end of an attempt, free its room and offer the task again if it may run again."""
    event = AttemptEnded(
        task,
        attempt,
        worker,
        outcome,
        reported.started_at if reported else NOT_KNOWN,
        reported.ended_at if reported else wall,
        reported.millicore_ms if reported else 0,
        reported.peak_memory_mib if reported else 0,
    )
    record_event(state, event)
    ran_ms = reported.ended_at - reported.started_at if reported else 0
    apply_event(state.placement, AttemptFinished(task, attempt, worker, outcome, ran_ms), now)
    record = state.zone.find_task(task)
    if record is not None and record.state is TaskState.WAITING:
        offer_tasks(state, get_job_of_task(task), (task,), now)


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


def _join_worker(state: ControllerState, view: WorkerView, now: Instant, wall: WallTime) -> None:
    """Let a worker serve once the journal names its boot.

    A worker that is not in the journal is never given a task, so that a later leader knows all
    workers that it has to ask.
    """
    worker = view.listed.worker
    view.phase = WorkerPhase.JOINING
    record = state.zone.workers.get(worker)
    if record is not None and record.boot == view.boot and not _is_joining_pending(state, view):
        confirm_worker(state, worker, view.boot, now)
        return
    _offer_as_silent(state, view.listed, now)
    record_event(state, WorkerJoined(worker, view.boot, wall))
    state.gated.append(ConfirmWorker(worker, view.boot))


def _offer_as_silent(state: ControllerState, listed: ListedWorker, now: Instant) -> None:
    # The placement gives a silent worker nothing, but counts its size: a job is too large only if
    # it would not fit on the whole fleet, heard or not.
    event = WorkerOffered(listed.worker, listed.rack, listed.capacity, WorkerState.SILENT)
    apply_event(state.placement, event, now)


def _is_joining_pending(state: ControllerState, view: WorkerView) -> bool:
    confirmation = ConfirmWorker(view.listed.worker, view.boot)
    return confirmation in state.gated or confirmation in state.writing_gated


def _lose_worker(state: ControllerState, worker: WorkerId, now: Instant, wall: WallTime) -> None:
    for task, attempt in tuple(state.zone.open_attempts.get(worker, {}).items()):
        end_attempt(state, worker, task, attempt, AttemptOutcome.LOST, now, wall)
    record_event(state, WorkerLost(worker, wall))
    apply_event(state.placement, WorkerRemoved(worker), now)
    listed = state.workers[worker].listed
    _offer_as_silent(state, listed, now)
    # The next answer is taken as the first one of a worker that joins.
    state.workers[worker] = WorkerView(
        listed, WorkerPhase.SILENT, state.workers[worker].answered_at, Instant(now)
    )


def _follow_unlisted_workers(state: ControllerState, now: Instant) -> None:
    """Count a journaled worker that the platform does not list as unheard."""
    for worker in state.zone.workers:
        if worker not in state.workers:
            listed = ListedWorker(worker, rack=RackId(""), capacity=Resources(), leaving=True)
            bound = get_lease_bound(state, state.earlier_commands_end)
            state.workers[worker] = WorkerView(listed, WorkerPhase.UNHEARD, now, bound)

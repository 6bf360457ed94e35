"""Tracks the workers of a zone: their listing, joining, silence and loss."""

from __future__ import annotations

from lentilpath_core.ids import (
    Instant,
    RackId,
    WallTime,
    WorkerId,
)
from lentilpath_core.placement import (
    WorkerOffered,
    WorkerRemoved,
    apply_event,
)
from lentilpath_core.resources import Resources
from lentilpath_core.states import (
    AttemptOutcome,
    WorkerState,
)
from lentilpath_core.zone._attempts import end_attempt
from lentilpath_core.zone._control_messages import (
    ConfirmWorker,
    ListedWorker,
    WorkerPhase,
)
from lentilpath_core.zone._control_state import (
    ControllerState,
    WorkerView,
    get_lease_bound,
    record_event,
)
from lentilpath_core.zone._readiness import offer_tasks_awaiting_workers
from lentilpath_core.zone.journal import (
    WorkerJoined,
    WorkerLost,
)


def update_listed_workers(
    state: ControllerState, listed: tuple[ListedWorker, ...], now: Instant
) -> None:
    """Start to track newly listed workers, and apply changes to those already tracked.

    A worker of the journal that is no longer listed is tracked until it is lost: the list lags,
    and its leases stay valid until they expire.
    """
    names = {worker.worker for worker in listed}
    for unlisted in [w for w in state.workers if w not in names and w not in state.zone.workers]:
        del state.workers[unlisted]
        apply_event(state.placement, WorkerRemoved(unlisted), now)
    for worker in listed:
        view = state.workers.get(worker.worker)
        if view is None:
            # The last command of an earlier leader may have granted a lease.
            bound = get_lease_bound(state, state.earlier_command_deadline)
            state.workers[worker.worker] = WorkerView(worker, WorkerPhase.UNHEARD, now, bound)
            _offer_as_silent(state, worker, now)
        elif view.listed != worker:
            view.listed = worker
            offer_worker(state, worker.worker, now)


def offer_worker(state: ControllerState, worker: WorkerId, now: Instant) -> None:
    """Give the placement the current capacity and state of `worker`."""
    view = state.workers.get(worker)
    if view is None or view.phase in (WorkerPhase.UNHEARD, WorkerPhase.JOINING):
        return
    offered_state = WorkerState.ACTIVE
    if view.phase is WorkerPhase.SILENT or view.orphaned_attempts:
        offered_state = WorkerState.SILENT
    elif view.listed.leaving or worker in state.zone.drained:
        offered_state = WorkerState.DRAINING
    event = WorkerOffered(worker, view.listed.rack, view.listed.capacity, offered_state)
    apply_event(state.placement, event, now)


def confirm_worker(state: ControllerState, worker: WorkerId, boot: str, now: Instant) -> None:
    """Mark a worker whose joining is durable as serving, unless it has restarted since."""
    view = state.workers.get(worker)
    if view is not None and view.phase is WorkerPhase.JOINING and view.boot == boot:
        view.phase = WorkerPhase.SERVING
        offer_worker(state, worker, now)


def check_silent_workers(state: ControllerState, now: Instant, wall: WallTime) -> None:
    """Mark workers that do not answer as silent, and as lost once their leases have expired."""
    for worker, view in tuple(state.workers.items()):
        silent = now - view.answered_at > state.leases.silent_after_ms
        if silent:
            mark_silent(state, worker, now)
        if silent and now > view.lease_bound and worker in state.zone.workers:
            _mark_worker_lost(state, worker, now, wall)
    _track_unlisted_workers(state, now)
    offer_tasks_awaiting_workers(state, now)


def mark_silent(state: ControllerState, worker: WorkerId, now: Instant) -> None:
    """Place no new tasks on a worker that does not answer, until it answers again."""
    view = state.workers[worker]
    if view.phase is WorkerPhase.SERVING:
        view.phase = WorkerPhase.SILENT
        offer_worker(state, worker, now)


def join_worker(state: ControllerState, view: WorkerView, now: Instant, wall: WallTime) -> None:
    """Let a worker serve once its boot is durable in the journal.

    No task is placed on a worker that is not in the journal, so that a later leader knows every
    worker that it has to ask for a report.
    """
    worker = view.listed.worker
    view.phase = WorkerPhase.JOINING
    record = state.zone.workers.get(worker)
    if record is not None and record.boot == view.boot and not _is_joining_pending(state, view):
        confirm_worker(state, worker, view.boot, now)
        return
    _offer_as_silent(state, view.listed, now)
    record_event(state, WorkerJoined(worker, view.boot, wall))
    state.pending_effects.append(ConfirmWorker(worker, view.boot))


def _offer_as_silent(state: ControllerState, listed: ListedWorker, now: Instant) -> None:
    # The placement starts nothing on a silent worker but counts its capacity: a job is too large
    # only if it would not fit on all workers, including those that have not answered.
    event = WorkerOffered(listed.worker, listed.rack, listed.capacity, WorkerState.SILENT)
    apply_event(state.placement, event, now)


def _is_joining_pending(state: ControllerState, view: WorkerView) -> bool:
    confirmation = ConfirmWorker(view.listed.worker, view.boot)
    return confirmation in state.pending_effects or confirmation in state.writing_effects


def _mark_worker_lost(
    state: ControllerState, worker: WorkerId, now: Instant, wall: WallTime
) -> None:
    for task, attempt in tuple(state.zone.open_attempts.get(worker, {}).items()):
        end_attempt(state, worker, task, attempt, AttemptOutcome.LOST, now, wall)
    record_event(state, WorkerLost(worker, wall))
    apply_event(state.placement, WorkerRemoved(worker), now)
    listed = state.workers[worker].listed
    _offer_as_silent(state, listed, now)
    # The next answer is handled as the first answer of a joining worker.
    state.workers[worker] = WorkerView(
        listed, WorkerPhase.SILENT, state.workers[worker].answered_at, Instant(now)
    )


def _track_unlisted_workers(state: ControllerState, now: Instant) -> None:
    """Track a worker of the journal that the platform does not list as `UNHEARD`."""
    for worker in state.zone.workers:
        if worker not in state.workers:
            listed = ListedWorker(worker, rack=RackId(""), capacity=Resources(), leaving=True)
            bound = get_lease_bound(state, state.earlier_command_deadline)
            state.workers[worker] = WorkerView(listed, WorkerPhase.UNHEARD, now, bound)

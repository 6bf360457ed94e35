"""Which workers the zone has, and what their listing, joining, silence and loss mean."""

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
from lentilpath_core.zone._readiness import release_held_tasks
from lentilpath_core.zone.journal import (
    WorkerJoined,
    WorkerLost,
)


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


def join_worker(state: ControllerState, view: WorkerView, now: Instant, wall: WallTime) -> None:
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

"""Room on workers: holding, releasing, reserving and finding it."""

from __future__ import annotations

from bisect import bisect_left, insort

from lentilpath_core.ids import Instant, RackId, WorkerId
from lentilpath_core.placement._queues import can_make_room, offer_room
from lentilpath_core.placement._records import (
    HeldRoom,
    Job,
    PlacementState,
    Reservation,
    Team,
    Worker,
)
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.states import WorkerState
from lentilpath_core.workloads import PriorityClass, Strategy, WorkloadKind

FITTING_WORKERS_COMPARED = 16
"""Workers with room that are compared to find the tightest fit."""


def take_larger(one: Resources, other: Resources) -> Resources:
    """Return the larger amount of each resource."""
    return Resources(
        max(one.millicores, other.millicores),
        max(one.memory_mib, other.memory_mib),
        max(one.accelerators, other.accelerators),
    )


def take_unused(team: Team) -> Resources:
    """Return what the team is guaranteed and does not use."""
    return take_larger(team.guaranteed - team.used, NO_RESOURCES)


def reindex_worker(state: PlacementState, worker: Worker) -> None:
    """Bring the worker's place in the index of open room up to date."""
    index = state.accelerated_index if worker.capacity.accelerators else state.plain_index
    wanted = (worker.open.millicores, worker.ordinal) if is_usable(worker) else None
    if wanted == worker.indexed:
        return
    if worker.indexed is not None:
        del index[bisect_left(index, worker.indexed)]
    if wanted is not None:
        insort(index, wanted)
    worker.indexed = wanted


def is_usable(worker: Worker) -> bool:
    """Return whether the worker is given tasks in the ordinary way."""
    return worker.state is WorkerState.ACTIVE and worker.quarantined_until is None


def hold_room(state: PlacementState, held: HeldRoom) -> None:
    """Let the attempt hold its room from now on."""
    job = held.job
    state.placed[held.task] = held
    job.placed[held.task] = held
    job.on_worker[held.worker] = job.on_worker.get(held.worker, 0) + 1
    _count_held(state, held, held.room)
    worker = state.workers.get(held.worker)
    if worker is None:
        state.held_elsewhere.setdefault(held.worker, {})[held.task] = held
        return
    attach_task(state, worker, held)


def attach_task(state: PlacementState, worker: Worker, held: HeldRoom) -> None:
    """Take the attempt's room from its worker."""
    on_rack = held.job.on_rack
    on_rack[worker.rack] = on_rack.get(worker.rack, 0) + 1
    worker.tasks[held.task] = held
    _change_preemptible(state, worker, held, held.room)
    if held.stopping:
        worker.leaving += held.room
    change_free_room(state, worker, NO_RESOURCES - held.room)


def detach_task(state: PlacementState, worker: Worker, held: HeldRoom) -> None:
    """Give the attempt's room back to its worker."""
    del worker.tasks[held.task]
    _count_down(held.job.on_rack, worker.rack)
    _change_preemptible(state, worker, held, NO_RESOURCES - held.room)
    if held.stopping:
        worker.leaving -= held.room
    change_free_room(state, worker, held.room)


def release_room(state: PlacementState, held: HeldRoom) -> None:
    """Let the attempt hold no room any more."""
    job = held.job
    del state.placed[held.task]
    del job.placed[held.task]
    if held.seen_running and not held.stopping:
        job.seen_running -= 1
    _count_down(job.on_worker, held.worker)
    _count_held(state, held, NO_RESOURCES - held.room)
    worker = state.workers.get(held.worker)
    if worker is not None:
        detach_task(state, worker, held)
        return
    elsewhere = state.held_elsewhere.get(held.worker, {})
    elsewhere.pop(held.task, None)
    if not elsewhere:
        state.held_elsewhere.pop(held.worker, None)


def grow_room(state: PlacementState, held: HeldRoom, room: Resources) -> None:
    """Let the attempt hold `room` from now on; the caller has seen that it is there."""
    growth = room - held.room
    worker = state.workers[held.worker]
    _change_preemptible(state, worker, held, growth)
    held.room = room
    _count_held(state, held, growth)
    change_free_room(state, worker, NO_RESOURCES - growth)


def mark_stopping(state: PlacementState, held: HeldRoom) -> None:
    """Count the attempt as ending, so that it is not stopped twice."""
    worker = state.workers.get(held.worker)
    if worker is not None and not held.stopping:
        _change_preemptible(state, worker, held, NO_RESOURCES - held.room)
    if worker is not None and not held.stopping:
        worker.leaving += held.room
    if held.seen_running and not held.stopping:
        held.job.seen_running -= 1
    held.stopping = True


def change_free_room(state: PlacementState, worker: Worker, change: Resources) -> None:
    """Add `change` to the free room, and wake what may fit now."""
    worker.free += change
    worker.open += change
    reindex_worker(state, worker)
    if change.millicores < 0:
        return
    for reservation in worker.claims:
        state.touched[reservation.order] = reservation
    if is_usable(worker):
        offer_room(state, worker, worker.free)


def add_reservation(state: PlacementState, reservation: Reservation) -> None:
    """Keep the reserved room from other tasks."""
    state.reservations[reservation.order] = reservation
    state.touched[reservation.order] = reservation
    reservation.job.reservations.append(reservation)
    for name, count in reservation.claims.items():
        worker = state.workers[name]
        worker.claims.append(reservation)
        worker.claims.sort(key=lambda claim: claim.order)
        worker.open -= reservation.room.multiply(count)
        reindex_worker(state, worker)


def drop_reservation(state: PlacementState, reservation: Reservation) -> None:
    """Give the reserved room back to all."""
    if state.reservations.pop(reservation.order, None) is None:
        return
    state.touched.pop(reservation.order, None)
    reservation.job.reservations.remove(reservation)
    for name, count in reservation.claims.items():
        worker = state.workers.get(name)
        if worker is None or reservation not in worker.claims:
            continue
        worker.claims.remove(reservation)
        worker.open += reservation.room.multiply(count)
        reindex_worker(state, worker)
        for other in worker.claims:
            state.touched[other.order] = other
        if is_usable(worker):
            offer_room(state, worker, worker.open)


def is_reservation_satisfied(state: PlacementState, reservation: Reservation) -> bool:
    """Return whether all of the reserved room is free, after reservations made earlier."""
    for name, count in reservation.claims.items():
        worker = state.workers.get(name)
        if worker is None or not is_usable(worker):
            return False
        left = worker.free
        for claim in worker.claims:
            if claim.order >= reservation.order:
                break
            left -= claim.room.multiply(claim.claims[name])
        if not reservation.room.multiply(count).fits_in(left):
            return False
    return True


def find_worker(
    state: PlacementState,
    job: Job,
    needed: Resources,
    avoided: set[WorkerId] | None,
    candidates: dict[WorkerId, Worker] | None = None,
) -> Worker | None:
    """Return the best worker with open room for `needed`, or `None`.

    Only `candidates` are looked at, if they are given.
    """
    if job.spec.kind is WorkloadKind.SERVICE or job.spec.policy.strategy is Strategy.SPREAD:
        return _find_spread(state, job, needed, avoided)
    if candidates is not None:
        return _find_among(candidates, needed, avoided)
    if not needed.accelerators:
        found = _find_tightest(state, state.plain_index, needed, avoided)
        if found is not None:
            return found
    return _find_tightest(state, state.accelerated_index, needed, avoided)


def find_backfill_worker(
    state: PlacementState, needed: Resources, ends_at: Instant, avoided: set[WorkerId] | None
) -> Worker | None:
    """Return a worker whose reserved room is free until `ends_at`, or `None`."""
    for reservation in state.reservations.values():
        if reservation.makes_room:
            continue
        for name in reservation.claims:
            worker = state.workers.get(name)
            if worker is None or not is_usable(worker) or not needed.fits_in(worker.free):
                continue
            if avoided is not None and name in avoided:
                continue
            if _is_lendable(worker, needed, ends_at):
                return worker
    return None


def _is_lendable(worker: Worker, needed: Resources, ends_at: Instant) -> bool:
    """Return whether the room is back by the time that each reservation on it needs it."""
    left = worker.free
    for claim in worker.claims:
        if claim.makes_room or claim.starts_at < ends_at:
            left -= claim.room.multiply(claim.claims[worker.worker])
    return needed.fits_in(left)


def _find_tightest(
    state: PlacementState,
    index: list[tuple[int, int]],
    needed: Resources,
    avoided: set[WorkerId] | None,
) -> Worker | None:
    best: Worker | None = None
    best_score = 0.0
    compared = 0
    for place in range(bisect_left(index, (needed.millicores, -1)), len(index)):
        worker = state.workers[state.ordinals[index[place][1]]]
        if not needed.fits_in(worker.open):
            continue
        if avoided is not None and worker.worker in avoided:
            continue
        score = _score_tightness(worker, needed)
        if best is None or score < best_score:
            best = worker
            best_score = score
        compared += 1
        if compared >= FITTING_WORKERS_COMPARED:
            break
    return best


def _find_among(
    candidates: dict[WorkerId, Worker], needed: Resources, avoided: set[WorkerId] | None
) -> Worker | None:
    best: Worker | None = None
    best_score = 0.0
    for worker in candidates.values():
        if not needed.fits_in(worker.open) or not is_usable(worker):
            continue
        if avoided is not None and worker.worker in avoided:
            continue
        score = _score_tightness(worker, needed)
        if worker.capacity.accelerators and not needed.accelerators:
            score += 2
        if best is None or score < best_score:
            best = worker
            best_score = score
    return best


def _score_tightness(worker: Worker, needed: Resources) -> float:
    capacity = worker.capacity
    processors = (worker.open.millicores - needed.millicores) / capacity.millicores
    memory = (worker.open.memory_mib - needed.memory_mib) / capacity.memory_mib
    return processors + memory


def _find_spread(
    state: PlacementState, job: Job, needed: Resources, avoided: set[WorkerId] | None
) -> Worker | None:
    best: Worker | None = None
    best_score = (0, 0, 0, 0)
    for index in (state.plain_index, state.accelerated_index):
        for place in range(bisect_left(index, (needed.millicores, -1)), len(index)):
            worker = state.workers[state.ordinals[index[place][1]]]
            if not needed.fits_in(worker.open):
                continue
            if avoided is not None and worker.worker in avoided:
                continue
            score = (
                job.on_rack.get(worker.rack, 0),
                job.on_worker.get(worker.worker, 0),
                worker.capacity.accelerators,
                -worker.open.millicores,
            )
            if best is None or score < best_score:
                best = worker
                best_score = score
    return best


def _change_preemptible(
    state: PlacementState, worker: Worker, held: HeldRoom, change: Resources
) -> None:
    policy = held.job.spec.policy
    if held.stopping or not can_make_room(held.job):
        return
    state.room_to_make = True
    before = worker.preemptible.get(policy.priority, NO_RESOURCES)
    worker.preemptible[policy.priority] = before + change


def _count_held(state: PlacementState, held: HeldRoom, change: Resources) -> None:
    team = held.job.team
    policy = held.job.spec.policy
    if policy.priority is PriorityClass.URGENT:
        state.urgent_held += change
    elif not can_make_room(held.job):
        state.firm += change
    state.unused_guarantees -= take_unused(team)
    team.used += change
    state.used += change
    state.unused_guarantees += take_unused(team)


def _count_down(counts: dict[WorkerId, int] | dict[RackId, int], key: str) -> None:
    counted: dict[str, int] = counts  # type: ignore[assignment]
    left = counted.get(key, 0) - 1
    if left > 0:
        counted[key] = left
    else:
        counted.pop(key, None)

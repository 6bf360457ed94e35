"""Allocates, releases and reserves resources on workers, and selects workers for tasks."""

from __future__ import annotations

from bisect import bisect_left, insort

from lentilpath_core.ids import Instant, RackId, WorkerId
from lentilpath_core.placement._queues import is_preemptible, unblock_fitting_shapes
from lentilpath_core.placement._records import (
    Allocation,
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


def max_resources(one: Resources, other: Resources) -> Resources:
    """Return the element-wise maximum of two amounts."""
    return Resources(
        max(one.millicores, other.millicores),
        max(one.memory_mib, other.memory_mib),
        max(one.accelerators, other.accelerators),
    )


def compute_unused_guarantee(team: Team) -> Resources:
    """Return the part of the team's guarantee that is not allocated."""
    return max_resources(team.guaranteed - team.allocated, NO_RESOURCES)


def reindex_worker(state: PlacementState, worker: Worker) -> None:
    """Update the worker's entry in the index of unreserved resources."""
    index = state.accelerated_index if worker.capacity.accelerators else state.plain_index
    wanted = (worker.unreserved.millicores, worker.ordinal) if is_schedulable(worker) else None
    if wanted == worker.index_key:
        return
    unindex_worker(state, worker)
    if wanted is not None:
        insort(index, wanted)
    worker.index_key = wanted


def unindex_worker(state: PlacementState, worker: Worker) -> None:
    """Remove the worker's index entry, before a change of its capacity selects another index."""
    if worker.index_key is None:
        return
    index = state.accelerated_index if worker.capacity.accelerators else state.plain_index
    del index[bisect_left(index, worker.index_key)]
    worker.index_key = None


def is_schedulable(worker: Worker) -> bool:
    """Return whether the worker is active and not quarantined."""
    return worker.state is WorkerState.ACTIVE and worker.quarantined_until is None


def add_allocation(state: PlacementState, allocation: Allocation) -> None:
    """Add the allocation to the state, and to its worker if that has joined."""
    job = allocation.job
    state.allocations[allocation.task] = allocation
    job.allocations[allocation.task] = allocation
    job.tasks_per_worker[allocation.worker] = job.tasks_per_worker.get(allocation.worker, 0) + 1
    _adjust_allocated(state, allocation, allocation.resources)
    worker = state.workers.get(allocation.worker)
    if worker is None:
        state.detached_allocations.setdefault(allocation.worker, {})[allocation.task] = allocation
        return
    attach_allocation(state, worker, allocation)


def attach_allocation(state: PlacementState, worker: Worker, allocation: Allocation) -> None:
    """Add the allocation to its worker and reduce the worker's free resources."""
    tasks_per_rack = allocation.job.tasks_per_rack
    tasks_per_rack[worker.rack] = tasks_per_rack.get(worker.rack, 0) + 1
    worker.allocations[allocation.task] = allocation
    _change_preemptible(state, worker, allocation, allocation.resources)
    if allocation.stopping:
        worker.releasing += allocation.resources
    change_free_resources(state, worker, NO_RESOURCES - allocation.resources)


def detach_allocation(state: PlacementState, worker: Worker, allocation: Allocation) -> None:
    """Remove the allocation from its worker and return its resources to the worker."""
    del worker.allocations[allocation.task]
    _decrement_count(allocation.job.tasks_per_rack, worker.rack)
    _change_preemptible(state, worker, allocation, NO_RESOURCES - allocation.resources)
    if allocation.stopping:
        worker.releasing -= allocation.resources
    change_free_resources(state, worker, allocation.resources)


def remove_allocation(state: PlacementState, allocation: Allocation) -> None:
    """Remove the allocation from the state and from its worker."""
    job = allocation.job
    del state.allocations[allocation.task]
    del job.allocations[allocation.task]
    if allocation.seen_running and not allocation.stopping:
        job.running_count -= 1
    _decrement_count(job.tasks_per_worker, allocation.worker)
    _adjust_allocated(state, allocation, NO_RESOURCES - allocation.resources)
    worker = state.workers.get(allocation.worker)
    if worker is not None:
        detach_allocation(state, worker, allocation)
        return
    detached = state.detached_allocations.get(allocation.worker, {})
    detached.pop(allocation.task, None)
    if not detached:
        state.detached_allocations.pop(allocation.worker, None)


def grow_allocation(state: PlacementState, allocation: Allocation, room: Resources) -> None:
    """Grow the allocation to `room`; the caller has checked that the worker has enough free."""
    growth = room - allocation.resources
    worker = state.workers[allocation.worker]
    _change_preemptible(state, worker, allocation, growth)
    allocation.resources = room
    _adjust_allocated(state, allocation, growth)
    change_free_resources(state, worker, NO_RESOURCES - growth)


def mark_stopping(state: PlacementState, allocation: Allocation) -> None:
    """Mark the attempt as stopping, so that it is not stopped twice."""
    worker = state.workers.get(allocation.worker)
    if worker is not None and not allocation.stopping:
        _change_preemptible(state, worker, allocation, NO_RESOURCES - allocation.resources)
    if worker is not None and not allocation.stopping:
        worker.releasing += allocation.resources
    if allocation.seen_running and not allocation.stopping:
        allocation.job.running_count -= 1
    allocation.stopping = True


def change_free_resources(state: PlacementState, worker: Worker, change: Resources) -> None:
    """Add `change` to the worker's free resources.

    If resources were freed, the worker's reservations are checked and fitting shapes unblocked.
    """
    worker.free += change
    worker.unreserved += change
    reindex_worker(state, worker)
    if change.millicores < 0:
        return
    for reservation in worker.reservations:
        state.reservations_to_check[reservation.order] = reservation
    if is_schedulable(worker):
        unblock_fitting_shapes(state, worker, worker.free)


def add_reservation(state: PlacementState, reservation: Reservation) -> None:
    """Add the reservation to the state and withhold its resources from other tasks."""
    state.reservations[reservation.order] = reservation
    state.reservations_to_check[reservation.order] = reservation
    reservation.job.reservations.append(reservation)
    for name, count in reservation.tasks_per_worker.items():
        worker = state.workers[name]
        worker.reservations.append(reservation)
        worker.reservations.sort(key=lambda each: each.order)
        worker.unreserved -= reservation.task_resources.multiply(count)
        reindex_worker(state, worker)


def drop_reservation(state: PlacementState, reservation: Reservation) -> None:
    """Remove the reservation and make its resources available to other tasks."""
    if state.reservations.pop(reservation.order, None) is None:
        return
    state.reservations_to_check.pop(reservation.order, None)
    reservation.job.reservations.remove(reservation)
    for name, count in reservation.tasks_per_worker.items():
        worker = state.workers.get(name)
        if worker is None or reservation not in worker.reservations:
            continue
        worker.reservations.remove(reservation)
        worker.unreserved += reservation.task_resources.multiply(count)
        reindex_worker(state, worker)
        for other in worker.reservations:
            state.reservations_to_check[other.order] = other
        if is_schedulable(worker):
            unblock_fitting_shapes(state, worker, worker.unreserved)


def is_reservation_satisfied(state: PlacementState, reservation: Reservation) -> bool:
    """Return whether all reserved resources are free, after reservations earlier in the order."""
    for name, count in reservation.tasks_per_worker.items():
        worker = state.workers.get(name)
        if worker is None or not is_schedulable(worker):
            return False
        left = worker.free
        for other in worker.reservations:
            if other.order >= reservation.order:
                break
            left -= other.task_resources.multiply(other.tasks_per_worker[name])
        if not reservation.task_resources.multiply(count).fits_in(left):
            return False
    return True


def find_worker(
    state: PlacementState,
    job: Job,
    needed: Resources,
    avoided: set[WorkerId] | None,
    candidates: dict[WorkerId, Worker] | None = None,
) -> Worker | None:
    """Return the best worker whose unreserved resources fit `needed`, or `None`.

    Services, and jobs whose strategy is to spread, go to the racks and workers with the fewest
    tasks of the job; other jobs get the tightest fit. If `candidates` are given, the search for
    the tightest fit is limited to them.
    """
    if job.spec.kind is WorkloadKind.SERVICE or job.spec.policy.strategy is Strategy.SPREAD:
        return _find_spread(state, job, needed, avoided)
    if candidates is not None:
        return _find_tightest_among(candidates, needed, avoided)
    if not needed.accelerators:
        found = _find_tightest(state, state.plain_index, needed, avoided)
        if found is not None:
            return found
    return _find_tightest(state, state.accelerated_index, needed, avoided)


def find_backfill_worker(
    state: PlacementState, needed: Resources, ends_at: Instant, avoided: set[WorkerId] | None
) -> Worker | None:
    """Return a worker whose reserved resources fit a task that ends by `ends_at`, or `None`."""
    for reservation in state.reservations.values():
        if reservation.follows_preemption:
            continue
        for name in reservation.tasks_per_worker:
            worker = state.workers.get(name)
            if worker is None or not is_schedulable(worker) or not needed.fits_in(worker.free):
                continue
            if avoided is not None and name in avoided:
                continue
            if _can_backfill(worker, needed, ends_at):
                return worker
    return None


def _can_backfill(worker: Worker, needed: Resources, ends_at: Instant) -> bool:
    """Return whether a task that ends by `ends_at` delays no reservation on the worker."""
    left = worker.free
    for reservation in worker.reservations:
        if reservation.follows_preemption or reservation.starts_at < ends_at:
            left -= reservation.task_resources.multiply(reservation.tasks_per_worker[worker.worker])
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
    for position in range(bisect_left(index, (needed.millicores, -1)), len(index)):
        worker = state.workers[state.workers_by_ordinal[index[position][1]]]
        if not needed.fits_in(worker.unreserved):
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


def _find_tightest_among(
    candidates: dict[WorkerId, Worker], needed: Resources, avoided: set[WorkerId] | None
) -> Worker | None:
    best: Worker | None = None
    best_score = 0.0
    for worker in candidates.values():
        if not needed.fits_in(worker.unreserved) or not is_schedulable(worker):
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
    processors = (worker.unreserved.millicores - needed.millicores) / capacity.millicores
    memory = (worker.unreserved.memory_mib - needed.memory_mib) / capacity.memory_mib
    return processors + memory


def _find_spread(
    state: PlacementState, job: Job, needed: Resources, avoided: set[WorkerId] | None
) -> Worker | None:
    best: Worker | None = None
    best_score = (0, 0, 0, 0)
    for index in (state.plain_index, state.accelerated_index):
        for position in range(bisect_left(index, (needed.millicores, -1)), len(index)):
            worker = state.workers[state.workers_by_ordinal[index[position][1]]]
            if not needed.fits_in(worker.unreserved):
                continue
            if avoided is not None and worker.worker in avoided:
                continue
            score = (
                job.tasks_per_rack.get(worker.rack, 0),
                job.tasks_per_worker.get(worker.worker, 0),
                worker.capacity.accelerators,
                -worker.unreserved.millicores,
            )
            if best is None or score < best_score:
                best = worker
                best_score = score
    return best


def _change_preemptible(
    state: PlacementState, worker: Worker, allocation: Allocation, change: Resources
) -> None:
    policy = allocation.job.spec.policy
    if allocation.stopping or not is_preemptible(allocation.job):
        return
    state.has_new_preemptible = True
    before = worker.preemptible.get(policy.priority, NO_RESOURCES)
    worker.preemptible[policy.priority] = before + change


def _adjust_allocated(state: PlacementState, allocation: Allocation, change: Resources) -> None:
    team = allocation.job.team
    policy = allocation.job.spec.policy
    if policy.priority is PriorityClass.URGENT:
        state.urgent_allocated += change
    elif not is_preemptible(allocation.job):
        state.non_preemptible += change
    state.unused_guarantees -= compute_unused_guarantee(team)
    team.allocated += change
    state.allocated += change
    state.unused_guarantees += compute_unused_guarantee(team)


def _decrement_count(counts: dict[WorkerId, int] | dict[RackId, int], key: str) -> None:
    counts_by_key: dict[str, int] = counts  # type: ignore[assignment]
    left = counts_by_key.get(key, 0) - 1
    if left > 0:
        counts_by_key[key] = left
    else:
        counts_by_key.pop(key, None)

"""Selects workers for tasks, starts tasks and fulfils reservations."""

from __future__ import annotations

from lentilpath_core.ids import Instant, TaskId, WallTime, WorkerId
from lentilpath_core.placement._events import create_allocation
from lentilpath_core.placement._evidence import may_probe_worker, record_worker_probe
from lentilpath_core.placement._feasibility import count_tasks_in
from lentilpath_core.placement._learning import estimate_run_ms
from lentilpath_core.placement._messages import Decision, StartTask
from lentilpath_core.placement._permissions import is_allowed_to_start
from lentilpath_core.placement._queues import enqueue_job, estimate_needed, remove_waiting
from lentilpath_core.placement._records import Job, PlacementState, Reservation, Worker
from lentilpath_core.placement._reservations import is_overdue
from lentilpath_core.placement._rooms import (
    add_allocation,
    drop_reservation,
    find_backfill_worker,
    find_worker,
    is_reservation_satisfied,
)
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import PriorityClass, WorkloadKind


def place_tasks(
    state: PlacementState,
    job: Job,
    needed: Resources,
    count: int,
    now: Instant,
    decisions: list[Decision],
) -> bool:
    """Start the next task of the job, or `count` tasks of a gang; return whether they fitted."""
    if job.spec.kind is WorkloadKind.GANG:
        return _place_gang(state, job, needed, count, now, decisions)
    task = next(iter(job.waiting))
    candidates = job.group.shape.candidates if job.group is not None else None
    worker = _select_worker(state, job, needed, job.avoided_workers.get(task), candidates, now)
    if worker is None:
        return False
    _start_task(state, job, task, worker, _describe_placement(worker, needed), now, decisions)
    return True


def _select_worker(
    state: PlacementState,
    job: Job,
    needed: Resources,
    avoided: set[WorkerId] | None,
    candidates: dict[WorkerId, Worker] | None,
    now: Instant,
) -> Worker | None:
    if state.workers_to_probe and may_probe_worker(job):
        for worker_to_probe in state.workers_to_probe.values():
            if needed.fits_in(worker_to_probe.unreserved):
                return worker_to_probe
    worker = find_worker(state, job, needed, avoided, candidates)
    if worker is None and avoided:
        worker = find_worker(state, job, needed, None, candidates)
    if worker is None and state.reservations and job.spec.kind is not WorkloadKind.SERVICE:
        ends_at = Instant(now + estimate_run_ms(job))
        if job.spec.policy.priority is PriorityClass.URGENT:
            ends_at = now
        worker = find_backfill_worker(state, needed, ends_at, avoided)
    return worker


def _describe_placement(worker: Worker, needed: Resources) -> str:
    left = worker.unreserved - needed
    return (
        f"placed on {worker.worker}: tightest room, "
        f"{left.millicores} millicores and {left.memory_mib} MiB left"
    )


def _place_gang(
    state: PlacementState,
    job: Job,
    needed: Resources,
    count: int,
    now: Instant,
    decisions: list[Decision],
) -> bool:
    if not needed.multiply(count).fits_in(state.total - state.allocated):
        return False
    workers = _find_gang_workers(state, job, needed, count)
    if workers is None:
        return False
    tasks = tuple(job.waiting)[:count]
    for task, worker in zip(tasks, workers, strict=True):
        reason = f"placed on {worker.worker}: all {count} tasks start together"
        _start_task(state, job, task, worker, reason, now, decisions)
    return True


def _find_gang_workers(
    state: PlacementState, job: Job, needed: Resources, count: int
) -> list[Worker] | None:
    workers: list[Worker] = []
    for index in (state.plain_index, state.accelerated_index):
        if needed.accelerators and index is state.plain_index:
            continue
        for unreserved_millicores, ordinal in reversed(index):
            if unreserved_millicores < needed.millicores:
                break
            worker = state.workers[state.workers_by_ordinal[ordinal]]
            fitting = count_tasks_in(needed, worker.unreserved)
            workers.extend([worker] * min(fitting, count - len(workers)))
            if len(workers) == count:
                return workers
    return None


def _start_task(
    state: PlacementState,
    job: Job,
    task: TaskId,
    worker: Worker,
    reason: str,
    now: Instant,
    decisions: list[Decision],
) -> None:
    attempt = remove_waiting(state, job, task)
    allocation = create_allocation(job, task, attempt, worker.worker, now, reason)
    allocation.decision_call = state.decision_calls
    if worker.probe_due:
        record_worker_probe(state, worker, allocation)
    if job.workload.held_until is not None:
        job.workload.probe_task = task
        job.workload.trial_job = None
        job.workload.held_jobs[job.spec.job] = job
    add_allocation(state, allocation)
    decisions.append(StartTask(task, attempt, worker.worker, reason, allocation.resources))


def fulfil_reservations(
    state: PlacementState, now: Instant, wall_now: WallTime | None, decisions: list[Decision]
) -> None:
    """Start the tasks whose reserved resources are free, and drop overdue reservations.

    The jobs of dropped reservations are requeued, so that they can reserve again.
    """
    to_check, state.reservations_to_check = state.reservations_to_check, {}
    for order in sorted(to_check):
        reservation = state.reservations.get(order)
        if reservation is not None and is_reservation_satisfied(state, reservation):
            _fulfil_reservation(state, reservation, now, wall_now, decisions)
    for reservation in tuple(state.reservations.values()):
        if is_overdue(reservation, now):
            drop_reservation(state, reservation)
            enqueue_job(state, reservation.job)


def _fulfil_reservation(
    state: PlacementState,
    reservation: Reservation,
    now: Instant,
    wall_now: WallTime | None,
    decisions: list[Decision],
) -> None:
    job = reservation.job
    drop_reservation(state, reservation)
    if not is_allowed_to_start(state, job, wall_now):
        return
    if not estimate_needed(job).fits_in(reservation.task_resources):
        # The estimated size of the workload grew after the reservation was made.
        enqueue_job(state, job)
        return
    tasks = iter(tuple(job.waiting))
    for name, count in reservation.tasks_per_worker.items():
        worker = state.workers[name]
        for task in [task for _, task in zip(range(count), tasks, strict=False)]:
            _start_task(
                state, job, task, worker, f"placed on {name}: its reserved room", now, decisions
            )
    job.blocked_since = None
    enqueue_job(state, job)

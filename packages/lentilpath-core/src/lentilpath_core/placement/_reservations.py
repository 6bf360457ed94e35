"""Reservations for jobs that smaller tasks would otherwise starve.

A reservation names workers and the time at which their resources are expected to be free. Until
then, tasks that end in time may use the resources (backfill). Reservations are totally ordered and
one earlier in the order always takes precedence, so that no two jobs can deadlock.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant, WallTime, WorkerId
from lentilpath_core.placement._learning import estimate_end, estimate_run_ms
from lentilpath_core.placement._queues import (
    allocate_sequence_number,
    count_unreserved_tasks,
    estimate_needed,
)
from lentilpath_core.placement._records import Job, PlacementState, Reservation, Worker
from lentilpath_core.placement._rooms import add_reservation, drop_reservation, is_schedulable
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import PriorityClass, WorkloadKind

MAX_RESERVATIONS = 2
"""Concurrent reservations of one priority class; those made after preemption do not count."""
RESERVE_AFTER_MS = 30_000
"""Time without room after which a job reserves; gangs and jobs near a deadline do so at once."""
REPLAN_AFTER_MS = 10_000
"""Time after `starts_at` at which a reservation that was not fulfilled is dropped and replanned."""
REPLAN_PREEMPTED_MS = 1_000
WORKERS_EXAMINED = 64
DEADLINE_MARGIN_MS = 60_000
"""A deadline is near if at most this long, or one run, is left until the latest timely start."""


def is_deadline_near(job: Job, wall_now: WallTime | None) -> bool:
    """Return whether the job will miss its deadline unless it starts soon."""
    if job.spec.policy.deadline_ms is None or wall_now is None:
        return False
    return wall_now >= job.due - max(DEADLINE_MARGIN_MS, estimate_run_ms(job))


def should_reserve(
    state: PlacementState, job: Job, now: Instant, wall_now: WallTime | None
) -> bool:
    """Return whether to reserve resources for a job that found no room."""
    if job.reservations:
        return False
    priority = job.spec.policy.priority
    same_priority = sum(
        1
        for each in state.reservations.values()
        if not each.follows_preemption and each.job.spec.policy.priority is priority
    )
    if same_priority >= MAX_RESERVATIONS:
        return False
    if job.spec.kind is WorkloadKind.GANG or is_deadline_near(job, wall_now):
        return True
    return job.blocked_since is not None and now - job.blocked_since >= RESERVE_AFTER_MS


def plan_reservation(state: PlacementState, job: Job, now: Instant) -> Reservation | None:
    """Reserve resources for one task, or all tasks of a gang, where they are free first.

    Returns `None`, and reserves nothing, if not all tasks are expected to find room on the examined
    workers.
    """
    count = count_unreserved_tasks(job) if job.spec.kind is WorkloadKind.GANG else 1
    needed = estimate_needed(job)
    chosen: dict[WorkerId, int] = {}
    starts_at = now
    for free_at, name in _list_start_options(state, needed, count, now)[:count]:
        chosen[name] = chosen.get(name, 0) + 1
        starts_at = max(starts_at, free_at)
    if sum(chosen.values()) < count:
        return None
    urgent = job.spec.policy.priority is PriorityClass.URGENT
    reservation = Reservation(
        job,
        (not urgent, allocate_sequence_number(state)),
        chosen,
        needed,
        starts_at,
        now,
        exclusive=count > 1,
    )
    add_reservation(state, reservation)
    return reservation


def is_overdue(reservation: Reservation, now: Instant) -> bool:
    """Return whether the grace period after the start of the reservation has passed."""
    grace_ms = REPLAN_PREEMPTED_MS if reservation.follows_preemption else REPLAN_AFTER_MS
    return now >= reservation.starts_at + grace_ms


def drop_all_reservations(state: PlacementState, job: Job) -> None:
    """Drop all reservations of the job."""
    for reservation in tuple(job.reservations):
        drop_reservation(state, reservation)


def trim_reservations(state: PlacementState, job: Job) -> None:
    """Drop reservations that the job no longer needs because a task started elsewhere."""
    while job.reservations and count_reserved_tasks(job) > len(job.waiting):
        drop_reservation(state, job.reservations[-1])


def count_reserved_tasks(job: Job) -> int:
    """Return how many tasks of the job have reserved resources."""
    return sum(sum(each.tasks_per_worker.values()) for each in job.reservations)


def _list_start_options(
    state: PlacementState, needed: Resources, count: int, now: Instant
) -> list[tuple[Instant, WorkerId]]:
    options: list[tuple[Instant, WorkerId]] = []
    for worker in _list_fitting_workers(state, needed, count):
        options.extend(
            (free_at, worker.worker) for free_at in _list_free_times(worker, needed, now)
        )
    options.sort()
    return options


def _list_fitting_workers(state: PlacementState, needed: Resources, count: int) -> list[Worker]:
    fitting = [
        worker
        for worker in state.workers.values()
        if is_schedulable(worker) and needed.fits_in(worker.capacity)
    ]
    fitting.sort(
        key=lambda worker: (
            worker.capacity.accelerators if not needed.accelerators else 0,
            -worker.unreserved.millicores,
            worker.ordinal,
        )
    )
    return fitting[: max(WORKERS_EXAMINED, 2 * count)]


def _list_free_times(worker: Worker, needed: Resources, now: Instant) -> list[Instant]:
    """Return the times at which the first, second and further tasks fit on this worker."""
    room = worker.unreserved
    times: list[Instant] = []
    while needed.fits_in(room):
        times.append(now)
        room -= needed
    ends = sorted(
        (end, allocation.task, allocation.resources)
        for allocation in worker.allocations.values()
        if (end := estimate_end(allocation, now)) is not None
    )
    for end, _, freed in ends:
        room += freed
        while needed.fits_in(room):
            times.append(end)
            room -= needed
    return times

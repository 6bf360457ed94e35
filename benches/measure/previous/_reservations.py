"""Room promised to work that small tasks would keep out for ever.

A reservation names workers and the time by which their room is expected to be free. Until then
tasks that end in time may use the room. Reservations are made in a fixed order and an earlier one
always goes before a later one, so two jobs never wait for each other.
"""

from __future__ import annotations

from benches.measure.previous._learning import estimate_end, estimate_run_ms
from benches.measure.previous._queues import count_unreserved, find_needed, take_number
from benches.measure.previous._records import Job, PlacementState, Reservation, Worker
from benches.measure.previous._rooms import add_reservation, drop_reservation, is_usable
from lentilpath_core.ids import Instant, WallTime, WorkerId
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import WorkloadKind

MAX_RESERVATIONS = 2
"""Reservations for waiting work at one time, apart from those made by stopping tasks."""
RESERVE_AFTER_MS = 30_000
"""A single task without a deadline is reserved room after it found none for so long."""
REPLAN_AFTER_MS = 10_000
"""A reservation that was not fulfilled is planned anew after so long past its time."""
WORKERS_EXAMINED = 64
DEADLINE_MARGIN_MS = 60_000
"""A deadline is near if less than this, or one run, is left before the last start in time."""


def is_deadline_near(job: Job, wall_now: WallTime | None) -> bool:
    """Return whether the job misses its deadline unless it starts soon."""
    if job.spec.policy.deadline_ms is None or wall_now is None:
        return False
    return wall_now >= job.due - max(DEADLINE_MARGIN_MS, estimate_run_ms(job))


def may_reserve(state: PlacementState, job: Job, now: Instant, wall_now: WallTime | None) -> bool:
    """Return whether room is to be reserved now for a job that found none."""
    planned = sum(1 for each in state.reservations.values() if not each.makes_room)
    if planned >= MAX_RESERVATIONS or job.reservations:
        return False
    if job.spec.kind is WorkloadKind.GANG or is_deadline_near(job, wall_now):
        return True
    return job.blocked_since is not None and now - job.blocked_since >= RESERVE_AFTER_MS


def plan_reservation(state: PlacementState, job: Job, now: Instant) -> Reservation | None:
    """Reserve room for one task, or all tasks of a gang, where it is expected to be free first."""
    count = count_unreserved(job) if job.spec.kind is WorkloadKind.GANG else 1
    needed = find_needed(job)
    chosen: dict[WorkerId, int] = {}
    starts_at = now
    for free_at, name in _list_places(state, needed, count, now)[:count]:
        chosen[name] = chosen.get(name, 0) + 1
        starts_at = max(starts_at, free_at)
    if sum(chosen.values()) < count:
        return None
    reservation = Reservation(job, take_number(state), chosen, needed, starts_at, now)
    add_reservation(state, reservation)
    return reservation


def is_overdue(reservation: Reservation, now: Instant) -> bool:
    """Return whether the reservation should be planned anew."""
    return now >= max(reservation.starts_at, reservation.planned_at) + REPLAN_AFTER_MS


def drop_all_reservations(state: PlacementState, job: Job) -> None:
    """Give back all room reserved for the job."""
    for reservation in tuple(job.reservations):
        drop_reservation(state, reservation)


def _list_places(
    state: PlacementState, needed: Resources, count: int, now: Instant
) -> list[tuple[Instant, WorkerId]]:
    places: list[tuple[Instant, WorkerId]] = []
    for worker in _list_examined(state, needed, count):
        places.extend((free_at, worker.worker) for free_at in _list_times(worker, needed, now))
    places.sort()
    return places


def _list_examined(state: PlacementState, needed: Resources, count: int) -> list[Worker]:
    fitting = [
        worker
        for worker in state.workers.values()
        if is_usable(worker) and needed.fits_in(worker.capacity)
    ]
    fitting.sort(
        key=lambda worker: (
            worker.capacity.accelerators if not needed.accelerators else 0,
            -worker.open.millicores,
            worker.ordinal,
        )
    )
    return fitting[: max(WORKERS_EXAMINED, 2 * count)]


def _list_times(worker: Worker, needed: Resources, now: Instant) -> list[Instant]:
    """Return when there is room for the first, second … task on this worker."""
    room = worker.open
    times: list[Instant] = []
    while needed.fits_in(room):
        times.append(now)
        room -= needed
    ends = sorted(
        (end, held.task, held.room)
        for held in worker.tasks.values()
        if (end := estimate_end(held, now)) is not None
    )
    for end, _, freed in ends:
        room += freed
        while needed.fits_in(room):
            times.append(end)
            room -= needed
    return times

"""Reservations: holds free resources for gangs that do not fit yet, and lets other work backfill.

Designed for a burst of gangs on a fleet that is nearly full, with free resources spread over many
workers. A gang gets the earliest time at which the workers it may use have a slot for each of its
tasks, worked out from the estimated ends of the runs there. Until then other work may use these
workers if it ends before that time, or if it fits beside the gang.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool._fit import count_slots
from lentilpath_core.pool._state import Attempt, Phase, PoolState, Reservation, Step, Worker
from lentilpath_core.resources import Resources

REFRESH_MS = 200
"""A gang's start is planned again after this time. Runs end earlier or later than estimated."""
BACKFILL_MARGIN = 1.5
"""Factor on the run time that a task is expected to take before the gang starts. Run times differ
from their estimates by about this factor."""
STOP_MS = 400
"""Assumed time until a run that is being stopped has ended."""
MIN_REMAINING_MS = 50
"""Remaining time of a run that has exceeded its estimate."""
MIN_PERCENT = 10
"""Reported progress below this is too coarse for an estimate of the remaining time."""

Slot = tuple[int, str, Worker, int]
"""A time, the id of a worker, the worker, and the number of slots that it gains then."""


def is_plan_due(step: Step, now: Instant) -> bool:
    """Return whether the gang's start is to be planned again, whatever the last plan found."""
    return step.planned_at is None or now >= step.planned_at + REFRESH_MS


def make_reservation(
    state: PoolState, step: Step, candidates: list[Worker], now: Instant
) -> Reservation | None:
    """Return the reservation by which the gang starts earliest, or `None` if there is none.

    Workers that are reserved for other gangs are left out.
    """
    gains: list[Slot] = []
    for worker in candidates:
        if worker.worker not in state.reservations:
            gains.extend(_list_gains(state, step, worker, now))
    gains.sort(key=lambda gain: gain[:2])
    missing = step.spec.count
    starts_at = now
    slots: dict[WorkerId, int] = {}
    workers: dict[WorkerId, Worker] = {}
    for at, _, worker, gained in gains:
        if missing <= 0:
            break
        taken = min(missing, gained)
        missing -= taken
        starts_at = Instant(at)
        slots[worker.worker] = slots.get(worker.worker, 0) + taken
        workers[worker.worker] = worker
    if missing > 0:
        return None
    room = step.spec.counted_room
    spare = {
        worker: _compute_room_at(state, workers[worker], starts_at, now) - room.multiply(count)
        for worker, count in slots.items()
    }
    return Reservation(step.key, starts_at, spare)


def _list_gains(state: PoolState, step: Step, worker: Worker, now: Instant) -> list[Slot]:
    """Return when the worker gains slots for the step, assuming that nothing else starts there."""
    free = worker.free
    slots = count_slots(step, free, 0)
    gains: list[Slot] = []
    if slots:
        gains.append((now, worker.worker, worker, slots))
    for end, attempt in _list_ends(state, worker, now):
        if slots >= step.spec.count:
            break
        free = free + attempt.room
        later_slots = count_slots(step, free, 0)
        if later_slots > slots:
            gains.append((end, worker.worker, worker, later_slots - slots))
            slots = later_slots
    return gains


def _list_ends(state: PoolState, worker: Worker, now: Instant) -> list[tuple[int, Attempt]]:
    ends: list[tuple[int, Attempt]] = [
        (end, attempt)
        for attempt in worker.attempts.values()
        if (end := estimate_end(state, attempt, now)) is not None
    ]
    ends.sort(key=lambda pair: pair[0])
    return ends


def _compute_room_at(state: PoolState, worker: Worker, at: Instant, now: Instant) -> Resources:
    room = worker.free
    for end, attempt in _list_ends(state, worker, now):
        if end <= at:
            room = room + attempt.room
    return room


def estimate_end(state: PoolState, attempt: Attempt, now: Instant) -> Instant | None:
    """Return the estimated time at which a run ends, or `None` if it cannot be estimated."""
    if attempt.phase is Phase.STOPPING:
        return Instant(now + STOP_MS)
    step = attempt.step
    if step is None or step.spec.lasting:
        return None
    elapsed_ms = now - attempt.begun_at
    total_ms = estimate_run_ms(state, step)
    if attempt.percent >= MIN_PERCENT and not step.checkpoints:
        total_ms = (attempt.progressed_at - attempt.begun_at) * 100 / attempt.percent
    return Instant(int(now + max(MIN_REMAINING_MS, total_ms - elapsed_ms)))


def estimate_run_ms(state: PoolState, step: Step) -> float:
    """Return the expected run time of one of the step's tasks, in ms."""
    ratio = state.run_time_ratios.get(step.job.record.queue, 1.0)
    return step.spec.estimate_ms * ratio


def compute_usable_room(state: PoolState, step: Step, worker: Worker, now: Instant) -> Resources:
    """Return the resources of a worker that the step may use without delaying a reserved gang."""
    reservation = state.reservations.get(worker.worker)
    if reservation is None or reservation.step == step.key or may_ignore_reservations(step):
        return worker.free
    run_ms = estimate_run_ms(state, step) * BACKFILL_MARGIN
    if not step.spec.lasting and now + run_ms <= reservation.starts_at:
        return worker.free
    return worker.free.limit_to(reservation.spare[worker.worker])


def may_ignore_reservations(step: Step) -> bool:
    """Return whether the step is so urgent that it may delay a gang."""
    return step.job.policy is not None and step.job.policy.priority == 0


def hold_reservation(state: PoolState, reservation: Reservation) -> None:
    """Apply a gang's reservation to the steps that are placed after it in the same pass."""
    for worker in reservation.spare:
        state.reservations.setdefault(worker, reservation)


def count_reserving_gangs(state: PoolState) -> int:
    """Return how many gangs hold resources in the present pass."""
    return len({each.step for each in state.reservations.values()})


def reduce_spare(state: PoolState, step: Step, worker: Worker) -> None:
    """Take a task that starts on a reserved worker from what is left beside the gang."""
    reservation = state.reservations.get(worker.worker)
    if reservation is not None and reservation.step != step.key:
        left = reservation.spare[worker.worker] - step.spec.counted_room
        reservation.spare[worker.worker] = left

"""Which running tasks make room for more urgent work, where that is cheaper than waiting."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benches.measure.previous._learning import estimate_end
from benches.measure.previous._records import HeldRoom, Job, PlacementState, Worker
from benches.measure.previous._rooms import is_usable, mark_stopping
from lentilpath_core.ids import Instant
from lentilpath_core.placement._messages import StopMode, StopTask
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import PriorityClass, WorkloadKind

CHECKPOINT_COST_MS = 2_000
"""What a checkpoint and the later resumption cost a task, in milliseconds of its run."""
PATIENCE_MS = 1_000
"""Room that becomes free within this time is waited for."""
WORKERS_COMPARED = 8

VictimTest = Callable[[HeldRoom], bool]


@dataclass(frozen=True, slots=True)
class MakeRoom:
    """A worker where room can be made, and the attempts to end for it."""

    worker: Worker
    victims: tuple[HeldRoom, ...]
    ready_at: Instant


def is_less_urgent(job: Job) -> VictimTest:
    """Return the test for tasks that a job may push aside by its priority alone."""
    if job.spec.policy.priority is PriorityClass.URGENT:
        return lambda held: held.job.spec.policy.priority is not PriorityClass.URGENT

    def test(held: HeldRoom) -> bool:
        if held.job.spec.policy.priority is not PriorityClass.BACKGROUND:
            return False
        team = held.job.team
        return team is job.team or not team.used.fits_in(team.guaranteed)

    return test


def is_borrowed(job: Job) -> VictimTest:
    """Return the test for tasks on room that their team borrowed, for a team to reclaim its own."""

    def test(held: HeldRoom) -> bool:
        team = held.job.team
        if team is job.team or held.job.spec.policy.priority is PriorityClass.URGENT:
            return False
        return not team.used.fits_in(team.guaranteed)

    return test


def find_room_to_make(
    state: PlacementState, needed: Resources, test: VictimTest, now: Instant
) -> MakeRoom | None:
    """Return the cheapest way to make room for `needed`, or `None`.

    If the room becomes free by itself soon enough, there is no victim to end.
    """
    best: MakeRoom | None = None
    best_cost = 0
    for worker in _list_candidates(state, needed):
        plan = _plan_on_worker(worker, needed, test, now)
        if plan is None:
            continue
        cost = sum(_count_cost(held, now) for held in plan.victims)
        if best is None or cost < best_cost:
            best = plan
            best_cost = cost
    return best


def can_stop(held: HeldRoom) -> bool:
    """Return whether policy lets lentilpath end the attempt to make room."""
    policy = held.job.spec.policy
    if held.stopping or not (policy.checkpointable or policy.stoppable):
        return False
    if held.job.spec.kind is not WorkloadKind.SERVICE:
        return True
    return can_spare_replica(held)


def can_spare_replica(held: HeldRoom) -> bool:
    """Return whether the service keeps its minimum of running replicas without this one."""
    left = held.job.seen_running - (1 if held.seen_running else 0)
    return left >= held.job.spec.policy.min_replicas


def stop_for_room(held: HeldRoom, state: PlacementState, reason: str) -> StopTask:
    """Return the command that ends the attempt in the gentlest way its policy knows."""
    mode = StopMode.CHECKPOINT if held.job.spec.policy.checkpointable else StopMode.STOP
    mark_stopping(state, held)
    return StopTask(held.task, held.attempt, held.worker, mode, reason)


def _list_candidates(state: PlacementState, needed: Resources) -> list[Worker]:
    found: list[tuple[int, int, Worker]] = []
    for worker in state.workers.values():
        if not is_usable(worker):
            continue
        room = worker.open + worker.leaving
        for amount in worker.preemptible.values():
            room += amount
        if needed.fits_in(room):
            accelerators = worker.capacity.accelerators if not needed.accelerators else 0
            found.append((accelerators, -room.millicores, worker))
    found.sort(key=lambda each: each[:2])
    return [each[2] for each in found[:WORKERS_COMPARED]]


def _plan_on_worker(
    worker: Worker, needed: Resources, test: VictimTest, now: Instant
) -> MakeRoom | None:
    room = worker.open + worker.leaving
    if needed.fits_in(room):
        return MakeRoom(worker, (), Instant(now + CHECKPOINT_COST_MS))
    soon = _find_natural_room(worker, needed, now)
    if soon is not None and soon <= now + PATIENCE_MS:
        return MakeRoom(worker, (), soon)
    usable = [held for held in worker.tasks.values() if can_stop(held) and test(held)]
    usable.sort(key=lambda held: (_count_cost(held, now), -held.room.millicores, held.task))
    chosen: list[HeldRoom] = []
    for held in usable:
        if needed.fits_in(room):
            break
        chosen.append(held)
        room += held.room
    if not needed.fits_in(room):
        return None
    for held in tuple(chosen):
        if needed.fits_in(room - held.room):
            chosen.remove(held)
            room -= held.room
    return MakeRoom(worker, tuple(chosen), Instant(now + CHECKPOINT_COST_MS))


def _find_natural_room(worker: Worker, needed: Resources, now: Instant) -> Instant | None:
    ends = [(estimate_end(held, now), held) for held in worker.tasks.values()]
    known = sorted(
        ((end, held) for end, held in ends if end is not None),
        key=lambda each: (each[0], each[1].task),
    )
    room = worker.open
    for end, held in known:
        room += held.room
        if needed.fits_in(room):
            return end
    return None


def _count_cost(held: HeldRoom, now: Instant) -> int:
    if held.job.spec.policy.checkpointable:
        return CHECKPOINT_COST_MS
    return CHECKPOINT_COST_MS + now - held.started_at

"""Which running tasks make room for more urgent work, where that is cheaper than waiting."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lentilpath_core.ids import Instant
from lentilpath_core.placement._learning import estimate_end
from lentilpath_core.placement._queues import can_make_room
from lentilpath_core.placement._records import HeldRoom, Job, PlacementState, Worker
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
        if job.spec.policy.priority is PriorityClass.BACKGROUND:
            return False
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
    state: PlacementState, job: Job, needed: Resources, test: VictimTest, now: Instant
) -> MakeRoom | None:
    """Return the cheapest way to make room for `needed`, or `None`.

    If the room becomes free by itself soon enough, there is no victim to end.
    """
    best: MakeRoom | None = None
    best_cost = 0
    for worker in _list_candidates(state, job, needed):
        plan = _plan_on_worker(worker, job, needed, test, state.decision_calls, now)
        if plan is None:
            continue
        cost = sum(_count_cost(held, now) for held in plan.victims)
        if best is None or cost < best_cost:
            best = plan
            best_cost = cost
    return best


def can_stop(held: HeldRoom) -> bool:
    """Return whether policy lets lentilpath end the attempt to make room."""
    if held.stopping or not can_make_room(held.job):
        return False
    if held.job.spec.kind is not WorkloadKind.SERVICE:
        return True
    return can_spare_replica(held)


def can_spare_replica(held: HeldRoom) -> bool:
    """Return whether the service keeps its minimum of running replicas without this one."""
    left = held.job.seen_running - (1 if held.seen_running else 0)
    return left >= held.job.spec.policy.min_replicas


def _list_candidates(state: PlacementState, job: Job, needed: Resources) -> list[Worker]:
    """Return some workers where tasks could make room, beginning where the last search ended."""
    found: list[Worker] = []
    count = len(state.ordinals)
    begin = state.room_search_at
    for step in range(count):
        at = (begin + step) % count
        worker = state.workers.get(state.ordinals[at])
        if worker is None or worker.indexed is None or not _may_have_room(worker, needed):
            continue
        room = _find_room_for(worker, job) + worker.leaving
        for amount in worker.preemptible.values():
            room += amount
        if not needed.fits_in(room):
            continue
        found.append(worker)
        if len(found) >= WORKERS_COMPARED:
            state.room_search_at = at + 1
            break
    return found


def _plan_on_worker(
    worker: Worker,
    job: Job,
    needed: Resources,
    test: VictimTest,
    decision_call: int,
    now: Instant,
) -> MakeRoom | None:
    room = _find_room_for(worker, job) + worker.leaving
    if needed.fits_in(room):
        return MakeRoom(worker, (), Instant(now + CHECKPOINT_COST_MS))
    soon = _find_natural_room(worker, room, needed, now)
    if soon is not None and soon <= now + PATIENCE_MS:
        return MakeRoom(worker, (), soon)
    usable = [
        held
        for held in worker.tasks.values()
        if can_stop(held) and held.decided_in < decision_call and test(held)
    ]
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


def _may_have_room(worker: Worker, needed: Resources) -> bool:
    if worker.claims:
        return True
    millicores = worker.open.millicores + worker.leaving.millicores
    for amount in worker.preemptible.values():
        millicores += amount.millicores
    return millicores >= needed.millicores


def _find_room_for(worker: Worker, job: Job) -> Resources:
    """Return the free room that is not reserved for work as urgent as the job."""
    if not worker.claims or job.spec.policy.priority is not PriorityClass.URGENT:
        return worker.open
    room = worker.free
    for claim in worker.claims:
        if claim.makes_room or claim.job.spec.policy.priority is PriorityClass.URGENT:
            room -= claim.room.multiply(claim.claims[worker.worker])
    return room


def _find_natural_room(
    worker: Worker, room: Resources, needed: Resources, now: Instant
) -> Instant | None:
    ends = [(estimate_end(held, now), held) for held in worker.tasks.values() if not held.stopping]
    known = sorted(
        ((end, held) for end, held in ends if end is not None),
        key=lambda each: (each[0], each[1].task),
    )
    for end, held in known:
        room += held.room
        if needed.fits_in(room):
            return end
    return None


def _count_cost(held: HeldRoom, now: Instant) -> int:
    if held.job.spec.policy.checkpointable:
        return CHECKPOINT_COST_MS
    return CHECKPOINT_COST_MS + now - held.started_at

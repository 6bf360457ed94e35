"""Selects the running tasks to preempt for other work, if that is cheaper than waiting."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lentilpath_core.ids import Instant
from lentilpath_core.placement._learning import estimate_end
from lentilpath_core.placement._queues import is_preemptible
from lentilpath_core.placement._records import Allocation, Job, PlacementState, Worker
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import PriorityClass, WorkloadKind

CHECKPOINT_COST_MS = 2_000
"""Run time that a task loses to a checkpoint and the later resumption, in milliseconds."""
PREEMPTION_WAIT_THRESHOLD_MS = 1_000
"""No task is preempted for resources that are expected to become free within this time."""
MAX_PREEMPTION_CANDIDATES = 8

VictimPredicate = Callable[[Allocation], bool]


@dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """A worker, the attempts to preempt on it, and when its resources are expected to be free."""

    worker: Worker
    victims: tuple[Allocation, ...]
    ready_at: Instant


def create_priority_predicate(job: Job) -> VictimPredicate:
    """Return a predicate for tasks that the job may preempt because of its priority.

    An urgent job may preempt any task that is not urgent. A normal job may preempt background
    tasks of its own team and of teams that exceed their guarantee.
    """
    if job.spec.policy.priority is PriorityClass.URGENT:
        return lambda allocation: allocation.job.spec.policy.priority is not PriorityClass.URGENT

    def may_preempt(allocation: Allocation) -> bool:
        if job.spec.policy.priority is PriorityClass.BACKGROUND:
            return False
        if allocation.job.spec.policy.priority is not PriorityClass.BACKGROUND:
            return False
        team = allocation.job.team
        return team is job.team or not team.allocated.fits_in(team.guaranteed)

    return may_preempt


def create_reclaim_predicate(job: Job) -> VictimPredicate:
    """Return a predicate for tasks that the job may preempt to reclaim its team's guarantee.

    These are the non-urgent tasks of other teams that exceed their guarantee.
    """

    def may_preempt(allocation: Allocation) -> bool:
        team = allocation.job.team
        if team is job.team or allocation.job.spec.policy.priority is PriorityClass.URGENT:
            return False
        return not team.allocated.fits_in(team.guaranteed)

    return may_preempt


def find_preemption_plan(
    state: PlacementState, job: Job, needed: Resources, may_preempt: VictimPredicate, now: Instant
) -> PreemptionPlan | None:
    """Return the cheapest preemption plan that frees `needed` on one worker, or `None`.

    The plan has no victims if the resources are expected to become free soon without preemption.
    """
    best: PreemptionPlan | None = None
    best_cost = 0
    for worker in _list_candidates(state, job, needed):
        plan = _plan_on_worker(worker, job, needed, may_preempt, state.decision_calls, now)
        if plan is None:
            continue
        cost = sum(_estimate_cost_ms(allocation, now) for allocation in plan.victims)
        if best is None or cost < best_cost:
            best = plan
            best_cost = cost
    return best


def can_preempt(allocation: Allocation) -> bool:
    """Return whether policy lets lentilpath preempt the attempt; a service keeps its minimum."""
    if allocation.stopping or not is_preemptible(allocation.job):
        return False
    if allocation.job.spec.kind is not WorkloadKind.SERVICE:
        return True
    return can_spare_replica(allocation)


def can_spare_replica(allocation: Allocation) -> bool:
    """Return whether the service has its minimum of running replicas without this one."""
    left = allocation.job.running_count - (1 if allocation.seen_running else 0)
    return left >= allocation.job.spec.policy.min_replicas


def _list_candidates(state: PlacementState, job: Job, needed: Resources) -> list[Worker]:
    """Return some workers where preemption may free `needed`, resuming after the last search."""
    found: list[Worker] = []
    count = len(state.workers_by_ordinal)
    start = state.preemption_cursor
    for step in range(count):
        position = (start + step) % count
        worker = state.workers.get(state.workers_by_ordinal[position])
        if worker is None or worker.index_key is None or not _may_have_room(worker, needed):
            continue
        room = _find_available(worker, job) + worker.releasing
        for amount in worker.preemptible.values():
            room += amount
        if not needed.fits_in(room):
            continue
        found.append(worker)
        if len(found) >= MAX_PREEMPTION_CANDIDATES:
            state.preemption_cursor = position + 1
            break
    return found


def _plan_on_worker(
    worker: Worker,
    job: Job,
    needed: Resources,
    may_preempt: VictimPredicate,
    decision_call: int,
    now: Instant,
) -> PreemptionPlan | None:
    room = _find_available(worker, job) + worker.releasing
    if needed.fits_in(room):
        return PreemptionPlan(worker, (), Instant(now + CHECKPOINT_COST_MS))
    released_at = _estimate_natural_release(worker, room, needed, now)
    if released_at is not None and released_at <= now + PREEMPTION_WAIT_THRESHOLD_MS:
        return PreemptionPlan(worker, (), released_at)
    victims = [
        allocation
        for allocation in worker.allocations.values()
        if can_preempt(allocation)
        and allocation.decision_call < decision_call
        and may_preempt(allocation)
    ]
    victims.sort(
        key=lambda allocation: (
            _estimate_cost_ms(allocation, now),
            -allocation.resources.millicores,
            allocation.task,
        )
    )
    chosen: list[Allocation] = []
    for allocation in victims:
        if needed.fits_in(room):
            break
        chosen.append(allocation)
        room += allocation.resources
    if not needed.fits_in(room):
        return None
    for allocation in tuple(chosen):
        if needed.fits_in(room - allocation.resources):
            chosen.remove(allocation)
            room -= allocation.resources
    return PreemptionPlan(worker, tuple(chosen), Instant(now + CHECKPOINT_COST_MS))


def _may_have_room(worker: Worker, needed: Resources) -> bool:
    if worker.reservations:
        return True
    millicores = worker.unreserved.millicores + worker.releasing.millicores
    for amount in worker.preemptible.values():
        millicores += amount.millicores
    return millicores >= needed.millicores


def _find_available(worker: Worker, job: Job) -> Resources:
    """Return the free resources that are available to the job.

    An urgent job may also use resources reserved for less urgent work, unless a preemption plan
    made the reservation.
    """
    if not worker.reservations or job.spec.policy.priority is not PriorityClass.URGENT:
        return worker.unreserved
    room = worker.free
    for reservation in worker.reservations:
        if (
            reservation.follows_preemption
            or reservation.job.spec.policy.priority is PriorityClass.URGENT
        ):
            room -= reservation.task_resources.multiply(reservation.tasks_per_worker[worker.worker])
    return room


def _estimate_natural_release(
    worker: Worker, room: Resources, needed: Resources, now: Instant
) -> Instant | None:
    ends = [
        (estimate_end(allocation, now), allocation)
        for allocation in worker.allocations.values()
        if not allocation.stopping
    ]
    known = sorted(
        ((end, allocation) for end, allocation in ends if end is not None),
        key=lambda each: (each[0], each[1].task),
    )
    for end, allocation in known:
        room += allocation.resources
        if needed.fits_in(room):
            return end
    return None


def _estimate_cost_ms(allocation: Allocation, now: Instant) -> int:
    if allocation.job.spec.policy.checkpointable:
        return CHECKPOINT_COST_MS
    return CHECKPOINT_COST_MS + now - allocation.started_at

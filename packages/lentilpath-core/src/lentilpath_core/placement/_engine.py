"""The scheduling pass of a zone: starts, preemption and refusals."""

from __future__ import annotations

import heapq
from enum import Enum

from lentilpath_core.ids import Instant, WallTime
from lentilpath_core.placement._drains import evict_from_draining
from lentilpath_core.placement._events import handle_event, queue_due_tasks
from lentilpath_core.placement._evidence import allow_due_probes, allow_due_trials
from lentilpath_core.placement._feasibility import find_size_refusal
from lentilpath_core.placement._headroom import leaves_headroom
from lentilpath_core.placement._messages import Decision, PlacementEvent, StopTask, WaitRule
from lentilpath_core.placement._permissions import is_allowed_to_start, requeue_awaiting_wall_time
from lentilpath_core.placement._preemption import (
    create_priority_predicate,
    create_reclaim_predicate,
    find_preemption_plan,
)
from lentilpath_core.placement._queues import (
    allocate_sequence_number,
    apply_due_aging,
    block_by_quota,
    block_shape,
    count_unreserved_tasks,
    enqueue_job,
    estimate_needed,
    find_head,
    find_ready_group,
    find_shape_key,
    is_held_back,
    list_reviewed_groups,
    unblock_shape,
)
from lentilpath_core.placement._quotas import is_within_quota, rank_team
from lentilpath_core.placement._records import Group, Job, PlacementState, Reservation, Tier
from lentilpath_core.placement._reservations import (
    count_reserved_tasks,
    is_deadline_near,
    plan_reservation,
    should_reserve,
    trim_reservations,
)
from lentilpath_core.placement._rooms import add_reservation
from lentilpath_core.placement._starts import fulfil_reservations, place_tasks
from lentilpath_core.placement._stops import request_stop, resend_stops
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import PriorityClass, WorkloadKind

RECLAIM_AFTER_MS = 10_000
"""A job within its team's guarantee that waited this long preempts tasks on borrowed resources."""
REVIEWS_PER_DECISION = 2
"""Groups of waiting jobs that each decision call retries in rotation, even if no room was freed."""
RETRY_URGENT_MS = 250
"""Shortest interval between retries of blocked urgent work after preemptible tasks started."""


class _Result(Enum):
    PLACED = "placed"
    NO_ROOM = "no_room"
    NO_QUOTA = "no_quota"
    SET_ASIDE = "set_aside"


def create_placement() -> PlacementState:
    """Return the placement state of a zone with no workers and no tasks."""
    return PlacementState()


def apply_event(state: PlacementState, event: PlacementEvent, now: Instant) -> None:
    """Update `state` with `event`.

    Events about unknown tasks or workers change nothing, except those that introduce them.
    """
    handle_event(event, state, now)


def decide_placements(
    state: PlacementState, now: Instant, limit: int, wall_now: WallTime | None = None
) -> tuple[Decision, ...]:
    """Return about `limit` decisions at most, and allocate resources to the tasks they start.

    `wall_now` is the current wall time, used to compute the age of inputs and the time left until
    a deadline. Without it, jobs whose policy bounds the age of their input are not started.
    """
    decisions: list[Decision] = []
    state.decision_calls += 1
    allow_due_trials(state, now)
    allow_due_probes(state, now)
    queue_due_tasks(state, now)
    apply_due_aging(state, now)
    if wall_now is not None:
        state.wall_offset_ms = wall_now - now
        requeue_awaiting_wall_time(state)
    fulfil_reservations(state, now, wall_now, decisions)
    evict_from_draining(state, decisions, limit, now)
    resend_stops(state, now, decisions)
    _retry_urgent(state, now)
    _run_pass(state, now, wall_now, (Tier.URGENT,), limit, decisions)
    tiers = (Tier.AGED_NORMAL, Tier.NORMAL, Tier.BACKGROUND)
    _run_pass(state, now, wall_now, tiers, limit, decisions)
    # Reviews run last, because they ignore the priority order of groups.
    _review_groups(state, now, wall_now, decisions)
    decisions.extend(each for each in state.pending_decisions if _is_still_valid(state, each))
    state.pending_decisions.clear()
    return tuple(decisions)


def _is_still_valid(state: PlacementState, decision: Decision) -> bool:
    """Return whether a decision made while an event was applied still has an attempt to act on."""
    if not isinstance(decision, StopTask):
        return True
    allocation = state.allocations.get(decision.task)
    return allocation is not None and allocation.attempt == decision.attempt


def _review_groups(
    state: PlacementState, now: Instant, wall_now: WallTime | None, decisions: list[Decision]
) -> None:
    """Try the next few groups in rotation on all workers, even if their shape is blocked."""
    for group in list_reviewed_groups(state, REVIEWS_PER_DECISION):
        if not group.quota_blocked:
            group.shape.candidates = None
            _try_group(state, group, now, wall_now, decisions)


def _retry_urgent(state: PlacementState, now: Instant) -> None:
    """Unblock urgent work if preemptible tasks have started since it was last tried."""
    if not state.has_new_preemptible or now < state.urgent_retried_at + RETRY_URGENT_MS:
        return
    state.has_new_preemptible = False
    state.urgent_retried_at = now
    for groups in state.groups[Tier.URGENT].values():
        for group in groups.values():
            unblock_shape(state, group.shape)


def _run_pass(
    state: PlacementState,
    now: Instant,
    wall_now: WallTime | None,
    tiers: tuple[Tier, ...],
    limit: int,
    decisions: list[Decision],
) -> None:
    if not state.unblocked_shapes:
        return
    order = [
        (rank_team(state, name, tier), name, tier) for tier in tiers for name in state.groups[tier]
    ]
    heapq.heapify(order)
    while order and state.unblocked_shapes and len(decisions) < limit:
        _, name, tier = heapq.heappop(order)
        group = find_ready_group(state, tier, name)
        if group is None:
            continue
        _try_group(state, group, now, wall_now, decisions)
        heapq.heappush(order, (rank_team(state, name, tier), name, tier))


def _try_group(
    state: PlacementState,
    group: Group,
    now: Instant,
    wall_now: WallTime | None,
    decisions: list[Decision],
) -> None:
    job = find_head(group)
    if job is None:
        return
    if find_shape_key(job) != group.shape.key:
        # The estimate of the job's size changed after it was queued.
        _remove_from_group(group, job)
        enqueue_job(state, job)
        return
    result = _try_job(state, group, job, now, wall_now, decisions)
    if result is _Result.NO_ROOM:
        block_shape(state, group.shape)
    elif result is _Result.NO_QUOTA:
        block_by_quota(state, group)
    elif result is _Result.SET_ASIDE:
        _remove_from_group(group, job)


def _remove_from_group(group: Group, job: Job) -> None:
    if job.group is group:
        job.group = None
    if group.jobs and group.jobs[0][2] is job:
        heapq.heappop(group.jobs)


def _try_job(
    state: PlacementState,
    group: Group,
    job: Job,
    now: Instant,
    wall_now: WallTime | None,
    decisions: list[Decision],
) -> _Result:
    if not is_allowed_to_start(state, job, wall_now):
        return _Result.SET_ASIDE
    if is_held_back(job) or job.workload.probe_task is not None:
        job.wait_rule = WaitRule.HELD_BACK
        job.workload.held_jobs[job.spec.job] = job
        return _Result.SET_ASIDE
    needed = estimate_needed(job)
    count = count_unreserved_tasks(job) if job.spec.kind is WorkloadKind.GANG else 1
    if not is_within_quota(state, job, needed.multiply(count)):
        job.wait_rule = WaitRule.TEAM_QUOTA
        return _Result.NO_QUOTA
    if not leaves_headroom(state, job, needed.multiply(count)):
        job.wait_rule = WaitRule.RESERVED
        return _Result.NO_QUOTA
    if place_tasks(state, job, needed, count, now, decisions):
        job.blocked_since = None
        trim_reservations(state, job)
        return _Result.PLACED
    if job.blocked_since is None:
        job.blocked_since = now
    return _handle_no_room(state, job, needed, now, wall_now, decisions)


def _handle_no_room(
    state: PlacementState,
    job: Job,
    needed: Resources,
    now: Instant,
    wall_now: WallTime | None,
    decisions: list[Decision],
) -> _Result:
    if find_size_refusal(job.spec, needed, state.capacities) is not None:
        # An accepted job is not refused for its size, because the worker that it fits on may not
        # have reported to a new leader yet. Submission checked that it fits on some worker.
        job.wait_rule = WaitRule.TOO_LARGE
        if job.size_limit is None and job.spec.kind is not WorkloadKind.GANG:
            job.size_limit = _find_largest_fitting_capacity(state, job)
        return _Result.NO_ROOM
    is_gang = job.spec.kind is WorkloadKind.GANG
    job.wait_rule = WaitRule.GANG_INCOMPLETE if is_gang else WaitRule.NO_ROOM
    deadline_near = is_deadline_near(job, wall_now)
    if not is_gang and _preempt_for_job(state, job, needed, deadline_near, now, decisions):
        return _Result.PLACED
    if should_reserve(state, job, now, wall_now) and plan_reservation(state, job, now) is not None:
        job.wait_rule = WaitRule.RESERVED
        return _Result.PLACED if is_gang else _Result.NO_ROOM
    return _Result.NO_ROOM


def _find_largest_fitting_capacity(state: PlacementState, job: Job) -> Resources | None:
    """Return the largest worker capacity that the declared size fits in, or `None`."""
    declared = job.spec.resources
    fitting = [capacity for capacity in state.capacities if declared.fits_in(capacity)]
    return max(fitting, default=None)


def _preempt_for_job(
    state: PlacementState,
    job: Job,
    needed: Resources,
    deadline_near: bool,
    now: Instant,
    decisions: list[Decision],
) -> bool:
    if count_reserved_tasks(job) >= len(job.waiting):
        return False
    urgent = job.spec.policy.priority is PriorityClass.URGENT
    is_within_guarantee = (job.team.allocated + needed).fits_in(job.team.guaranteed)
    waited_ms = now - (job.blocked_since if job.blocked_since is not None else now)
    plan = None
    if urgent or deadline_near:
        plan = find_preemption_plan(state, job, needed, create_priority_predicate(job), now)
    if plan is None and is_within_guarantee and (urgent or waited_ms >= RECLAIM_AFTER_MS):
        plan = find_preemption_plan(state, job, needed, create_reclaim_predicate(job), now)
    if plan is None:
        return False
    for allocation in plan.victims:
        reason = f"makes room for {job.spec.job} ({job.spec.policy.priority.value})"
        decisions.append(request_stop(state, allocation, reason, now))
    reservation = Reservation(
        job,
        (False, allocate_sequence_number(state)),
        {plan.worker.worker: 1},
        needed,
        plan.ready_at,
        now,
        follows_preemption=True,
    )
    add_reservation(state, reservation)
    job.wait_rule = WaitRule.RESERVED
    return True

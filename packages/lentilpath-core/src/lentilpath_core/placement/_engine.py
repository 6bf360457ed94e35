"""The decisions of a zone: who starts where, who makes room, and who is refused."""

from __future__ import annotations

import heapq
from enum import Enum

from lentilpath_core.ids import Instant, WallTime
from lentilpath_core.placement._drains import move_from_draining
from lentilpath_core.placement._events import fire_backoffs, take_event
from lentilpath_core.placement._evidence import fire_holds, fire_quarantines
from lentilpath_core.placement._feasibility import find_size_refusal
from lentilpath_core.placement._headroom import keeps_headroom
from lentilpath_core.placement._messages import Decision, PlacementEvent, StopTask, WaitRule
from lentilpath_core.placement._permissions import is_allowed_to_start, queue_undated, refuse_job
from lentilpath_core.placement._preemption import find_room_to_make, is_borrowed, is_less_urgent
from lentilpath_core.placement._queues import (
    block_by_quota,
    close_shape,
    count_unreserved,
    enqueue_job,
    find_head,
    find_needed,
    find_ready_group,
    find_shape_key,
    fire_aging,
    is_held_back,
    list_reviewed_groups,
    open_shape,
    take_number,
)
from lentilpath_core.placement._quotas import is_within_quota, rank_team
from lentilpath_core.placement._records import Group, Job, PlacementState, Reservation, Tier
from lentilpath_core.placement._reservations import (
    count_reserved,
    is_deadline_near,
    may_reserve,
    plan_reservation,
    trim_reservations,
)
from lentilpath_core.placement._rooms import add_reservation
from lentilpath_core.placement._starts import fulfil_reservations, place_tasks
from lentilpath_core.placement._stops import repeat_stops, request_stop
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import PriorityClass, WorkloadKind

REFUSE_TOO_LARGE_AFTER_MS = 60_000
"""A job larger than every worker is refused if no worker has joined for so long."""
RECLAIM_AFTER_MS = 10_000
"""A team without its guaranteed room gets it back from borrowers after this wait."""
REVIEWS_PER_DECISION = 2
"""Groups of waiting jobs that are tried in turn whether or not room was freed."""
RETRY_URGENT_MS = 250
"""Blocked urgent work is tried again this often, if tasks started that could make room."""


class _Result(Enum):
    PLACED = "placed"
    NO_ROOM = "no_room"
    NO_QUOTA = "no_quota"
    SET_ASIDE = "set_aside"


def create_placement() -> PlacementState:
    """Return the placement of a zone with no worker and no task."""
    return PlacementState()


def apply_event(state: PlacementState, event: PlacementEvent, now: Instant) -> None:
    """Take `event` into `state`. Events about unknown tasks or workers change nothing."""
    take_event(event, state, now)


def decide_placements(
    state: PlacementState, now: Instant, limit: int, wall_now: WallTime | None = None
) -> tuple[Decision, ...]:
    """Return at most about `limit` decisions; their room is held from now on.

    `wall_now` is the present wall time, by which the age of inputs is judged. Without it, jobs
    whose policy bounds the age of their input are not started.
    """
    decisions: list[Decision] = []
    state.decision_calls += 1
    fire_holds(state, now)
    fire_quarantines(state, now)
    fire_backoffs(state, now)
    fire_aging(state, now)
    if wall_now is not None:
        state.wall_ahead_ms = wall_now - now
        queue_undated(state)
    fulfil_reservations(state, now, wall_now, decisions)
    move_from_draining(state, decisions, limit, now)
    repeat_stops(state, now, decisions)
    _retry_urgent(state, now)
    _run_pass(state, now, wall_now, (Tier.URGENT,), limit, decisions)
    tiers = (Tier.PRESSING, Tier.NORMAL, Tier.BACKGROUND)
    _run_pass(state, now, wall_now, tiers, limit, decisions)
    # Reviews come last, so that nobody takes room out of turn.
    _review(state, now, wall_now, decisions)
    decisions.extend(each for each in state.pending if _is_wanted(state, each))
    state.pending.clear()
    return tuple(decisions)


def _is_wanted(state: PlacementState, decision: Decision) -> bool:
    """Return whether a decision that an event gave rise to still has something to act on."""
    if not isinstance(decision, StopTask):
        return True
    held = state.placed.get(decision.task)
    return held is not None and held.attempt == decision.attempt


def _review(
    state: PlacementState, now: Instant, wall_now: WallTime | None, decisions: list[Decision]
) -> None:
    """Try a few groups in turn on all workers, also those whose shape found no room before."""
    for group in list_reviewed_groups(state, REVIEWS_PER_DECISION):
        if not group.quota_blocked:
            group.shape.candidates = None
            _try_group(state, group, now, wall_now, decisions)


def _retry_urgent(state: PlacementState, now: Instant) -> None:
    """Try blocked urgent work again if there are new tasks that could make room for it."""
    if not state.room_to_make or now < state.urgent_retried_at + RETRY_URGENT_MS:
        return
    state.room_to_make = False
    state.urgent_retried_at = now
    for groups in state.groups[Tier.URGENT].values():
        for group in groups.values():
            open_shape(state, group.shape)


def _run_pass(
    state: PlacementState,
    now: Instant,
    wall_now: WallTime | None,
    tiers: tuple[Tier, ...],
    limit: int,
    decisions: list[Decision],
) -> None:
    if not state.open_shapes:
        return
    order = [
        (rank_team(state, name, tier), name, tier) for tier in tiers for name in state.groups[tier]
    ]
    heapq.heapify(order)
    while order and state.open_shapes and len(decisions) < limit:
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
        # What is known of its size has changed since the job was queued.
        _set_aside(group, job)
        enqueue_job(state, job)
        return
    result = _try_job(state, group, job, now, wall_now, decisions)
    if result is _Result.NO_ROOM:
        close_shape(state, group.shape)
    elif result is _Result.NO_QUOTA:
        block_by_quota(state, group)
    elif result is _Result.SET_ASIDE:
        _set_aside(group, job)


def _set_aside(group: Group, job: Job) -> None:
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
    if is_held_back(job) or job.workload.probe is not None:
        job.rule = WaitRule.HELD_BACK
        job.workload.held_jobs[job.spec.job] = job
        return _Result.SET_ASIDE
    needed = find_needed(job)
    count = count_unreserved(job) if job.spec.kind is WorkloadKind.GANG else 1
    if not is_within_quota(state, job, needed.multiply(count)):
        job.rule = WaitRule.TEAM_QUOTA
        return _Result.NO_QUOTA
    if not keeps_headroom(state, job, needed.multiply(count)):
        job.rule = WaitRule.RESERVED
        return _Result.NO_QUOTA
    if place_tasks(state, job, needed, count, now, decisions):
        job.blocked_since = None
        trim_reservations(state, job)
        return _Result.PLACED
    if job.blocked_since is None:
        job.blocked_since = now
    return _answer_no_room(state, job, needed, now, wall_now, decisions)


def _answer_no_room(
    state: PlacementState,
    job: Job,
    needed: Resources,
    now: Instant,
    wall_now: WallTime | None,
    decisions: list[Decision],
) -> _Result:
    refusal = find_size_refusal(job.spec, needed, state.capacities)
    if refusal is not None:
        job.rule = WaitRule.TOO_LARGE
        if now - state.last_joined_at >= REFUSE_TOO_LARGE_AFTER_MS:
            refuse_job(state, job, WaitRule.TOO_LARGE, refusal)
            return _Result.SET_ASIDE
        return _Result.NO_ROOM
    gang = job.spec.kind is WorkloadKind.GANG
    job.rule = WaitRule.GANG_INCOMPLETE if gang else WaitRule.NO_ROOM
    pressing = is_deadline_near(job, wall_now)
    if not gang and _make_room(state, job, needed, pressing, now, decisions):
        return _Result.PLACED
    if may_reserve(state, job, now, wall_now) and plan_reservation(state, job, now) is not None:
        job.rule = WaitRule.RESERVED
        return _Result.PLACED if gang else _Result.NO_ROOM
    return _Result.NO_ROOM


def _make_room(
    state: PlacementState,
    job: Job,
    needed: Resources,
    pressing: bool,
    now: Instant,
    decisions: list[Decision],
) -> bool:
    if count_reserved(job) >= len(job.waiting):
        return False
    urgent = job.spec.policy.priority is PriorityClass.URGENT
    within = (job.team.used + needed).fits_in(job.team.guaranteed)
    waited = now - (job.blocked_since if job.blocked_since is not None else now)
    plan = None
    if urgent or pressing:
        plan = find_room_to_make(state, job, needed, is_less_urgent(job), now)
    if plan is None and within and (urgent or waited >= RECLAIM_AFTER_MS):
        plan = find_room_to_make(state, job, needed, is_borrowed(job), now)
    if plan is None:
        return False
    for held in plan.victims:
        reason = f"makes room for {job.spec.job} ({job.spec.policy.priority.value})"
        decisions.append(request_stop(state, held, reason, now))
    reservation = Reservation(
        job,
        (False, take_number(state)),
        {plan.worker.worker: 1},
        needed,
        plan.ready_at,
        now,
        makes_room=True,
    )
    add_reservation(state, reservation)
    job.rule = WaitRule.RESERVED
    return True

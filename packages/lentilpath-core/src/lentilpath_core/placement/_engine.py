"""The decisions of a zone: who starts where, who makes room, and who is refused."""

from __future__ import annotations

import heapq
from enum import Enum

from lentilpath_core.ids import Instant, TaskId, TeamId, WallTime, WorkerId
from lentilpath_core.placement._drains import move_from_draining
from lentilpath_core.placement._events import fire_backoffs, make_held, take_event
from lentilpath_core.placement._evidence import (
    fire_holds,
    fire_quarantines,
    is_probe_for_workers,
    start_worker_probe,
)
from lentilpath_core.placement._feasibility import (
    count_tasks_in,
    describe_stale_input,
    find_size_refusal,
    is_input_stale,
)
from lentilpath_core.placement._headroom import keeps_headroom
from lentilpath_core.placement._learning import estimate_run_ms
from lentilpath_core.placement._messages import (
    Decision,
    PlacementEvent,
    RefuseJob,
    StartTask,
    WaitRule,
)
from lentilpath_core.placement._preemption import (
    find_room_to_make,
    is_borrowed,
    is_less_urgent,
    stop_for_room,
)
from lentilpath_core.placement._queues import (
    block_by_quota,
    can_make_room,
    clear_waiting,
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
    take_waiting,
)
from lentilpath_core.placement._records import Group, Job, PlacementState, Reservation, Tier, Worker
from lentilpath_core.placement._reservations import (
    count_reserved,
    is_deadline_near,
    is_overdue,
    may_reserve,
    plan_reservation,
    trim_reservations,
)
from lentilpath_core.placement._rooms import (
    add_reservation,
    drop_reservation,
    find_backfill_worker,
    find_worker,
    hold_room,
    is_reservation_satisfied,
    take_unused,
)
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.workloads import PriorityClass, WorkloadKind

REFUSE_TOO_LARGE_AFTER_MS = 60_000
"""A job larger than every worker is refused if no worker has joined for so long."""
RECLAIM_AFTER_MS = 10_000
"""A team without its guaranteed room gets it back from borrowers after this wait."""
LENDABLE_RUN_MS = 900_000
"""Tasks no longer than this may borrow room that is guaranteed to others."""
REVIEWS_PER_DECISION = 2
"""Groups of waiting jobs that are tried in turn whether or not room was freed."""
RETRY_URGENT_MS = 250
"""Blocked urgent work is tried again this often, if tasks started that could make room."""
MIN_WEIGHT = 0.02
"""Weight of a team with no guarantee, as a share of the zone."""


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
    fire_holds(state, now)
    fire_quarantines(state, now)
    fire_backoffs(state, now)
    fire_aging(state, now)
    if wall_now is not None:
        _queue_undated(state)
    _fulfil_reservations(state, now, wall_now, decisions)
    move_from_draining(state, decisions, limit)
    _retry_urgent(state, now)
    _run_pass(state, now, wall_now, (Tier.URGENT,), limit, decisions)
    _run_pass(state, now, wall_now, (Tier.NORMAL, Tier.BACKGROUND), limit, decisions)
    # Reviews come last, so that nobody takes room out of turn.
    _review(state, now, wall_now, decisions)
    decisions.extend(state.pending)
    state.pending.clear()
    return tuple(decisions)


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
        (_rank_team(state, name, tier), name, tier) for tier in tiers for name in state.groups[tier]
    ]
    heapq.heapify(order)
    while order and state.open_shapes and len(decisions) < limit:
        _, name, tier = heapq.heappop(order)
        group = find_ready_group(state, tier, name)
        if group is None:
            continue
        _try_group(state, group, now, wall_now, decisions)
        heapq.heappush(order, (_rank_team(state, name, tier), name, tier))


def _rank_team(state: PlacementState, name: TeamId, tier: Tier) -> tuple[bool, Tier, float]:
    """Return the order of a team's work: what is guaranteed first, then class, then share."""
    team = state.teams[name]
    known = team.share_of
    if (
        known is None
        or known[0] is not team.used
        or known[1] is not team.guaranteed
        or known[2] is not state.total
    ):
        weight = max(MIN_WEIGHT, _find_share(team.guaranteed, state.total))
        team.share = _find_share(team.used, state.total) / weight
        team.share_of = (team.used, team.guaranteed, state.total)
    # A team that holds more than its guarantee has a weighted share above 1.
    return (team.share > 1, tier, team.share)


def _find_share(amount: Resources, total: Resources) -> float:
    share = 0.0
    if total.millicores:
        share = amount.millicores / total.millicores
    if total.memory_mib:
        share = max(share, amount.memory_mib / total.memory_mib)
    if total.accelerators:
        share = max(share, amount.accelerators / total.accelerators)
    return share


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
    if not _is_allowed_to_start(state, job, wall_now):
        return _Result.SET_ASIDE
    if is_held_back(job) or job.workload.probe is not None:
        job.rule = WaitRule.HELD_BACK
        job.workload.held_jobs[job.spec.job] = job
        return _Result.SET_ASIDE
    needed = find_needed(job)
    count = count_unreserved(job) if job.spec.kind is WorkloadKind.GANG else 1
    if not _is_within_quota(state, job, needed.multiply(count)):
        job.rule = WaitRule.TEAM_QUOTA
        return _Result.NO_QUOTA
    if not keeps_headroom(state, job, needed.multiply(count)):
        job.rule = WaitRule.RESERVED
        return _Result.NO_QUOTA
    if _place(state, job, needed, count, now, decisions):
        job.blocked_since = None
        trim_reservations(state, job)
        return _Result.PLACED
    if job.blocked_since is None:
        job.blocked_since = now
    return _answer_no_room(state, job, needed, now, wall_now, decisions)


def _is_allowed_to_start(state: PlacementState, job: Job, wall_now: WallTime | None) -> bool:
    if job.spec.policy.input_max_age_ms is None:
        return True
    if wall_now is None:
        job.rule = WaitRule.STALE_INPUT
        state.undated[job.spec.job] = job
        return False
    if not is_input_stale(job.spec, wall_now):
        return True
    _refuse(state, job, WaitRule.STALE_INPUT, describe_stale_input(job.spec, wall_now))
    return False


def _queue_undated(state: PlacementState) -> None:
    undated, state.undated = state.undated, {}
    for job in undated.values():
        enqueue_job(state, job)


def _refuse(state: PlacementState, job: Job, rule: WaitRule, reason: str) -> None:
    job.refused = True
    job.rule = rule
    job.refusal = reason
    clear_waiting(state, job)
    state.pending.append(RefuseJob(job.spec.job, reason))


def _is_within_quota(state: PlacementState, job: Job, needed: Resources) -> bool:
    team = job.team
    if state.unused_guarantees == NO_RESOURCES or (team.used + needed).fits_in(team.guaranteed):
        return True
    if can_make_room(job):
        return True
    if job.spec.kind is not WorkloadKind.SERVICE and estimate_run_ms(job) <= LENDABLE_RUN_MS:
        return True
    kept_for_others = state.unused_guarantees - take_unused(team)
    return (state.used + needed + kept_for_others).fits_in(state.total)


def _place(
    state: PlacementState,
    job: Job,
    needed: Resources,
    count: int,
    now: Instant,
    decisions: list[Decision],
) -> bool:
    if job.spec.kind is WorkloadKind.GANG:
        return _place_gang(state, job, needed, count, now, decisions)
    task = next(iter(job.waiting))
    candidates = job.group.shape.candidates if job.group is not None else None
    worker = _find_place(state, job, needed, job.avoided.get(task), candidates, now)
    if worker is None:
        return False
    _start(state, job, task, worker, _describe_place(worker, needed), now, decisions)
    return True


def _find_place(
    state: PlacementState,
    job: Job,
    needed: Resources,
    avoided: set[WorkerId] | None,
    candidates: dict[WorkerId, Worker] | None,
    now: Instant,
) -> Worker | None:
    if state.probing_workers and is_probe_for_workers(job):
        for probed in state.probing_workers.values():
            if needed.fits_in(probed.open):
                return probed
    worker = find_worker(state, job, needed, avoided, candidates)
    if worker is None and avoided:
        worker = find_worker(state, job, needed, None, candidates)
    if worker is None and state.reservations and job.spec.kind is not WorkloadKind.SERVICE:
        ends_at = Instant(now + estimate_run_ms(job))
        if job.spec.policy.priority is PriorityClass.URGENT:
            ends_at = now
        worker = find_backfill_worker(state, needed, ends_at, avoided)
    return worker


def _describe_place(worker: Worker, needed: Resources) -> str:
    left = worker.open - needed
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
    if not needed.multiply(count).fits_in(state.total - state.used):
        return False
    places = _find_gang_places(state, job, needed, count)
    if places is None:
        return False
    tasks = tuple(job.waiting)[:count]
    for task, worker in zip(tasks, places, strict=True):
        reason = f"placed on {worker.worker}: all {count} tasks start together"
        _start(state, job, task, worker, reason, now, decisions)
    return True


def _find_gang_places(
    state: PlacementState, job: Job, needed: Resources, count: int
) -> list[Worker] | None:
    places: list[Worker] = []
    for index in (state.plain_index, state.accelerated_index):
        if needed.accelerators and index is state.plain_index:
            continue
        for open_millicores, ordinal in reversed(index):
            if open_millicores < needed.millicores:
                break
            worker = state.workers[state.ordinals[ordinal]]
            fitting = count_tasks_in(needed, worker.open)
            places.extend([worker] * min(fitting, count - len(places)))
            if len(places) == count:
                return places
    return None


def _start(
    state: PlacementState,
    job: Job,
    task: TaskId,
    worker: Worker,
    reason: str,
    now: Instant,
    decisions: list[Decision],
) -> None:
    attempt = take_waiting(state, job, task)
    held = make_held(job, task, attempt, worker.worker, now, reason)
    if worker.probe_due:
        start_worker_probe(state, worker, held)
    if job.workload.held_until is not None:
        job.workload.probe = task
        job.workload.trial = None
        job.workload.held_jobs[job.spec.job] = job
    hold_room(state, held)
    decisions.append(StartTask(task, attempt, worker.worker, reason, held.room))


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
            _refuse(state, job, WaitRule.TOO_LARGE, refusal)
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
        decisions.append(stop_for_room(held, state, reason))
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


def _fulfil_reservations(
    state: PlacementState, now: Instant, wall_now: WallTime | None, decisions: list[Decision]
) -> None:
    touched, state.touched = state.touched, {}
    for order in sorted(touched):
        reservation = state.reservations.get(order)
        if reservation is not None and is_reservation_satisfied(state, reservation):
            _fulfil(state, reservation, now, wall_now, decisions)
    for reservation in tuple(state.reservations.values()):
        if is_overdue(reservation, now):
            drop_reservation(state, reservation)
            enqueue_job(state, reservation.job)


def _fulfil(
    state: PlacementState,
    reservation: Reservation,
    now: Instant,
    wall_now: WallTime | None,
    decisions: list[Decision],
) -> None:
    job = reservation.job
    drop_reservation(state, reservation)
    if not _is_allowed_to_start(state, job, wall_now):
        return
    if not find_needed(job).fits_in(reservation.room):
        # The workload was seen to use more since the room was reserved.
        enqueue_job(state, job)
        return
    tasks = iter(tuple(job.waiting))
    for name, count in reservation.claims.items():
        worker = state.workers[name]
        for task in [task for _, task in zip(range(count), tasks, strict=False)]:
            _start(state, job, task, worker, f"placed on {name}: its reserved room", now, decisions)
    job.blocked_since = None
    enqueue_job(state, job)

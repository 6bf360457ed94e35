"""The waiting jobs of a zone, in the order in which they are tried.

Jobs stand in groups by team, tier and shape. A shape that found no room is closed, and opened again
by a worker that has room for it; only the workers that gave it room since are looked at then. So a
pass looks only at work that may start, however much waits. Besides, each decision reviews a few
groups in turn, for what changes by time alone: deadlines that draw near, and room for gangs.
"""

from __future__ import annotations

import heapq
import math

from lentilpath_core.ids import Instant, TaskId, TeamId, WallTime
from lentilpath_core.placement._records import (
    Group,
    Job,
    PlacementState,
    Shape,
    ShapeKey,
    Team,
    Tier,
    Worker,
)
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.workloads import JobSpec, PriorityClass, WorkloadKind

SIGNIFICANT_BITS = 4
"""Sizes that agree in their leading bits share a shape."""
DUE_AFTER_MS = {
    PriorityClass.URGENT: 2_300,
    PriorityClass.NORMAL: 3_600_000,
    PriorityClass.BACKGROUND: 28_800_000,
}
"""When a job without a deadline is due, in milliseconds after its acceptance."""


def find_due_time(spec: JobSpec, accepted_at: WallTime) -> WallTime:
    """Return when the job should have started; earlier ones go first."""
    due = accepted_at + DUE_AFTER_MS[spec.policy.priority]
    if spec.policy.deadline_ms is not None:
        due = min(due, accepted_at + spec.policy.deadline_ms - spec.run_ms)
    return WallTime(due)


def find_team(state: PlacementState, team: TeamId) -> Team:
    """Return the record of a team, made at its first mention."""
    known = state.teams.get(team)
    if known is None:
        known = state.teams[team] = Team(team)
    return known


def take_number(state: PlacementState) -> int:
    """Return a number that was not given before in this state."""
    state.next_number += 1
    return state.next_number


def find_needed(job: Job) -> Resources:
    """Return the room of one task: as declared, or more if the workload was seen to use more."""
    declared = job.spec.resources
    processors, memory = job.workload.largest_excess
    if processors <= 1 and memory <= 1:
        return declared
    return Resources(
        math.ceil(declared.millicores * processors),
        math.ceil(declared.memory_mib * memory),
        declared.accelerators,
    )


def find_shape_key(job: Job) -> ShapeKey:
    """Return the shape of the job's need; its sizes are rounded down."""
    needed = find_needed(job)
    whole = len(job.waiting) if job.spec.kind is WorkloadKind.GANG else 1
    return (
        _round_down(needed.millicores),
        _round_down(needed.memory_mib),
        needed.accelerators,
        whole,
        max(job.spec.run_ms, job.workload.longest_run_ms).bit_length(),
    )


def add_waiting(state: PlacementState, job: Job, task: TaskId, attempt: int) -> None:
    """Let the task wait for room."""
    job.waiting[task] = attempt
    _count_waiting(state, job, job.spec.resources)


def take_waiting(state: PlacementState, job: Job, task: TaskId) -> int:
    """Let the task wait no longer; returns the number of its next attempt, 0 if it did not wait."""
    attempt = job.waiting.pop(task, 0)
    if attempt:
        _count_waiting(state, job, NO_RESOURCES - job.spec.resources)
    return attempt


def clear_waiting(state: PlacementState, job: Job) -> None:
    """Let no task of the job wait any longer."""
    _count_waiting(state, job, NO_RESOURCES - job.spec.resources.multiply(len(job.waiting)))
    job.waiting.clear()
    job.delayed.clear()


def enqueue_job(state: PlacementState, job: Job) -> None:
    """Put a job with waiting tasks into its group; one that stands in it already stays."""
    if not is_startable(job):
        job.group = None
        return
    if is_held_back(job):
        job.group = None
        job.workload.held_jobs[job.spec.job] = job
        return
    group = _find_group(state, job, find_tier(job), find_shape_key(job))
    if job.group is group:
        return
    job.group = group
    heapq.heappush(group.jobs, (job.due, job.sequence, job))


def can_make_room(job: Job) -> bool:
    """Return whether policy lets tasks of the job be ended to make room.

    One task of a gang is not ended, since the others would hold room without it.
    """
    policy = job.spec.policy
    whole = job.spec.kind is WorkloadKind.GANG
    return not whole and (policy.checkpointable or policy.stoppable)


def count_unreserved(job: Job) -> int:
    """Return how many waiting tasks of the job have no room of their own reserved."""
    if not job.reservations:
        return len(job.waiting)
    reserved = sum(sum(each.claims.values()) for each in job.reservations if each.exclusive)
    return len(job.waiting) - reserved


def is_startable(job: Job) -> bool:
    """Return whether the job has tasks that wait for room."""
    return not job.withdrawn and not job.refused and count_unreserved(job) > 0


def is_held_back(job: Job) -> bool:
    """Return whether the job waits because its workload fails everywhere."""
    return job.workload.held_until is not None and job.workload.trial != job.spec.job


def find_head(group: Group) -> Job | None:
    """Return the first job of the group that still belongs to it."""
    while group.jobs:
        job = group.jobs[0][2]
        if job.group is group and is_startable(job):
            return job
        heapq.heappop(group.jobs)
        if job.group is group:
            job.group = None
    return None


def find_tier(job: Job) -> Tier:
    """Return the tier of the job: work that has waited long goes before its class."""
    if job.spec.policy.priority is PriorityClass.URGENT:
        return Tier.URGENT
    if job.spec.policy.priority is PriorityClass.NORMAL:
        return Tier.PRESSING if job.aged else Tier.NORMAL
    return Tier.NORMAL if job.aged else Tier.BACKGROUND


def fire_aging(state: PlacementState, now: Instant) -> None:
    """Let the jobs move up a tier that have waited long."""
    while state.aging and state.aging[0][0] <= now:
        job = state.jobs.get(heapq.heappop(state.aging)[1])
        if job is not None:
            job.aged = True
            normal_due = job.accepted_at + DUE_AFTER_MS[PriorityClass.NORMAL]
            job.due = min(job.due, WallTime(normal_due))
            enqueue_job(state, job)


def find_ready_group(state: PlacementState, tier: Tier, team: TeamId) -> Group | None:
    """Return the team's group with the earliest due head among those that may find room."""
    groups = state.groups[tier].get(team, {})
    found: Group | None = None
    earliest: Job | None = None
    for key, shape in tuple(state.open_shapes.items()):
        group = groups.get(key)
        if group is None or group.quota_blocked:
            continue
        if tier is not Tier.URGENT and _has_lost_its_room(shape):
            close_shape(state, shape)
            continue
        head = find_head(group)
        if head is None:
            forget_group(state, group)
        elif earliest is None or (head.due, head.sequence) < (earliest.due, earliest.sequence):
            found = group
            earliest = head
    return found


def _has_lost_its_room(shape: Shape) -> bool:
    """Return whether the workers that opened the shape have no room for it any more."""
    if shape.candidates is None:
        return False
    millicores, memory_mib, accelerators, _, _ = shape.key
    for name, worker in tuple(shape.candidates.items()):
        room = worker.free
        if (
            millicores > room.millicores
            or memory_mib > room.memory_mib
            or accelerators > room.accelerators
        ):
            del shape.candidates[name]
    return not shape.candidates


def list_reviewed_groups(state: PlacementState, count: int) -> list[Group]:
    """Return the next `count` groups in turn, whether they may find room or not."""
    found: list[Group] = []
    for _ in range(min(count, len(state.reviews))):
        group = state.reviews.popleft()
        if group.forgotten:
            continue
        if find_head(group) is None:
            forget_group(state, group)
            continue
        state.reviews.append(group)
        found.append(group)
    return found


def close_shape(state: PlacementState, shape: Shape) -> None:
    """Let no group of this shape be tried until there is new room for it."""
    shape.candidates = {}
    shape.blocked = True
    state.open_shapes.pop(shape.key, None)


def offer_room(state: PlacementState, worker: Worker, room: Resources) -> None:
    """Let the shapes be tried on `worker` of which one task may fit into its new room."""
    for key, shape in state.shapes.items():
        if shape.candidates is None or key[3] > 1:
            continue
        if key[0] > room.millicores or key[1] > room.memory_mib or key[2] > room.accelerators:
            continue
        shape.candidates[worker.worker] = worker
        if shape.blocked:
            open_shape(state, shape)


def open_shape(state: PlacementState, shape: Shape) -> None:
    """Let the groups of this shape be tried."""
    shape.blocked = False
    state.open_shapes[shape.key] = shape


def block_by_quota(state: PlacementState, group: Group) -> None:
    """Keep the group out until some room is released or a quota changes."""
    group.quota_blocked = True
    state.quota_blocked.append(group)


def unblock_quotas(state: PlacementState) -> None:
    """Let the groups be tried again that waited for a quota."""
    blocked, state.quota_blocked = state.quota_blocked, []
    for group in blocked:
        group.quota_blocked = False


def forget_group(state: PlacementState, group: Group) -> None:
    """Forget a group without jobs, and its shape with its last group."""
    if group.forgotten:
        return
    group.forgotten = True
    teams = state.groups[group.tier]
    groups = teams[group.team.team]
    del groups[group.shape.key]
    if not groups:
        del teams[group.team.team]
    group.shape.groups -= 1
    if not group.shape.groups:
        state.shapes.pop(group.shape.key, None)
        state.open_shapes.pop(group.shape.key, None)


def _count_waiting(state: PlacementState, job: Job, change: Resources) -> None:
    state.waiting += change
    if job.spec.policy.priority is PriorityClass.URGENT:
        state.urgent_waiting += change


def _find_group(state: PlacementState, job: Job, tier: Tier, key: ShapeKey) -> Group:
    groups = state.groups[tier].setdefault(job.spec.team, {})
    group = groups.get(key)
    if group is not None:
        return group
    shape = state.shapes.get(key)
    if shape is None:
        shape = state.shapes[key] = Shape(key)
        open_shape(state, shape)
    shape.groups += 1
    group = groups[key] = Group(job.team, tier, shape)
    state.reviews.append(group)
    return group


def _round_down(amount: int) -> int:
    spare = max(0, amount.bit_length() - SIGNIFICANT_BITS)
    return amount >> spare << spare

"""The waiting jobs of a zone, in the order in which they are tried.

Jobs stand in groups by team, tier and shape. A group whose shape found no room is parked, and
returns to its team's queue when a worker has room for that shape. So a pass looks only at work
that may start, however much waits.
"""

from __future__ import annotations

import heapq

from benches.measure.previous._records import (
    Group,
    Job,
    PlacementState,
    Shape,
    ShapeKey,
    Team,
    Tier,
)
from lentilpath_core.ids import Instant, TaskId, TeamId, WallTime
from lentilpath_core.resources import Resources
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
    seen = job.workload.largest_peak
    if seen.fits_in(declared):
        return declared
    return Resources(
        max(declared.millicores, seen.millicores),
        max(declared.memory_mib, seen.memory_mib),
        max(declared.accelerators, seen.accelerators),
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
    state.waiting += job.spec.resources


def take_waiting(state: PlacementState, job: Job, task: TaskId) -> int:
    """Let the task wait no longer; returns the number of its next attempt, 0 if it did not wait."""
    attempt = job.waiting.pop(task, 0)
    if attempt:
        state.waiting -= job.spec.resources
    return attempt


def clear_waiting(state: PlacementState, job: Job) -> None:
    """Let no task of the job wait any longer."""
    state.waiting -= job.spec.resources.multiply(len(job.waiting))
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
    key = find_shape_key(job)
    group = _find_group(state, job.team, find_tier(job), key)
    if job.group is group:
        return
    job.group = group
    heapq.heappush(group.jobs, (job.due, job.sequence, job))
    _queue_group(state, group)


def count_unreserved(job: Job) -> int:
    """Return how many waiting tasks of the job have no room reserved."""
    reserved = sum(sum(each.claims.values()) for each in job.reservations)
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


def requeue_group(state: PlacementState, group: Group) -> None:
    """Let the group be tried again in its turn."""
    group.queued = False
    _queue_group(state, group)


def find_tier(job: Job) -> Tier:
    """Return the tier of the job: background work that has aged counts as normal."""
    if job.spec.policy.priority is PriorityClass.URGENT:
        return Tier.URGENT
    if job.spec.policy.priority is PriorityClass.NORMAL or job.aged:
        return Tier.NORMAL
    return Tier.BACKGROUND


def fire_aging(state: PlacementState, now: Instant) -> None:
    """Let background jobs count as normal that have waited long."""
    while state.aging and state.aging[0][0] <= now:
        job = state.jobs.get(heapq.heappop(state.aging)[1])
        if job is not None:
            job.aged = True
            enqueue_job(state, job)


def pop_group(state: PlacementState, tier: Tier, team: TeamId) -> Group | None:
    """Take the group with the earliest due head out of the team's queue."""
    queue = state.queues[tier].get(team)
    while queue:
        group = heapq.heappop(queue)[2]
        if not group.queued:
            continue
        group.queued = False
        if find_head(group) is None:
            _forget_group(group)
            continue
        if group.shape.blocked:
            _park_group(group)
            continue
        return group
    state.queues[tier].pop(team, None)
    return None


def block_shape(state: PlacementState, group: Group) -> None:
    """Keep all groups of this shape out of the queues until there is new room for it."""
    shape = group.shape
    shape.blocked = True
    _park_group(group)
    state.blocked_shapes[shape.key] = shape


def unblock_shapes(state: PlacementState, room: Resources) -> None:
    """Let the shapes be tried again of which one task may fit into `room`."""
    freed = [
        shape
        for key, shape in state.blocked_shapes.items()
        if key[0] <= room.millicores and key[1] <= room.memory_mib and key[2] <= room.accelerators
    ]
    for shape in freed:
        unblock_shape(state, shape)


def unblock_shape(state: PlacementState, shape: Shape) -> None:
    """Let the groups of this shape be tried again."""
    shape.blocked = False
    state.blocked_shapes.pop(shape.key, None)
    parked, shape.parked = shape.parked, []
    for group in parked:
        group.parked = False
        _queue_group(state, group)


def block_by_quota(state: PlacementState, group: Group) -> None:
    """Keep the group out until some room is released or a quota changes."""
    group.parked = True
    group.team.quota_blocked.append(group)
    state.quota_blocked_teams[group.team.team] = group.team


def unblock_quotas(state: PlacementState) -> None:
    """Let the groups be tried again that waited for a quota."""
    teams, state.quota_blocked_teams = state.quota_blocked_teams, {}
    for team in teams.values():
        blocked, team.quota_blocked = team.quota_blocked, []
        for group in blocked:
            group.parked = False
            _queue_group(state, group)


def _queue_group(state: PlacementState, group: Group) -> None:
    head = find_head(group)
    if head is None:
        _forget_group(group)
        return
    if group.parked:
        return
    if group.shape.blocked:
        _park_group(group)
        return
    queue = state.queues[group.tier].setdefault(group.team.team, [])
    group.queued = True
    heapq.heappush(queue, (head.due, take_number(state), group))


def _park_group(group: Group) -> None:
    if not group.parked:
        group.parked = True
        group.shape.parked.append(group)


def _forget_group(group: Group) -> None:
    key = (group.tier, group.shape.key)
    if group.team.groups.get(key) is group:
        del group.team.groups[key]


def _find_group(state: PlacementState, team: Team, tier: Tier, key: ShapeKey) -> Group:
    group = team.groups.get((tier, key))
    if group is None:
        shape = state.shapes.get(key)
        if shape is None:
            shape = state.shapes[key] = Shape(key)
        group = team.groups[(tier, key)] = Group(team, tier, shape)
    return group


def _round_down(amount: int) -> int:
    spare = max(0, amount.bit_length() - SIGNIFICANT_BITS)
    return amount >> spare << spare

"""Queues of the waiting jobs of a zone, in scheduling order.

Jobs are grouped by team, tier and shape. A shape that found no room is blocked. It is unblocked
when a worker has room for it again, and then only the workers that freed resources since are
candidates. A scheduling pass therefore looks only at jobs that may start, however many wait. In
addition, each decision call reviews a few groups in rotation, for changes that unblock no shape:
approaching deadlines, and room for gangs.
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
"""Leading bits of a size that are kept; sizes that agree in them share a shape."""
DUE_AFTER_MS = {
    PriorityClass.URGENT: 2_300,
    PriorityClass.NORMAL: 3_600_000,
    PriorityClass.BACKGROUND: 28_800_000,
}
"""Latest due time of a job by priority class, in milliseconds after its acceptance."""


def find_due_time(spec: JobSpec, accepted_at: WallTime) -> WallTime:
    """Return the latest intended start of the job; jobs with earlier due times are tried first."""
    due = accepted_at + DUE_AFTER_MS[spec.policy.priority]
    if spec.policy.deadline_ms is not None:
        due = min(due, accepted_at + spec.policy.deadline_ms - spec.run_ms)
    return WallTime(due)


def get_or_create_team(state: PlacementState, team: TeamId) -> Team:
    """Return the record of a team, created on first use."""
    known = state.teams.get(team)
    if known is None:
        known = state.teams[team] = Team(team)
    return known


def allocate_sequence_number(state: PlacementState) -> int:
    """Return the next sequence number, unique within `state`."""
    state.last_sequence_number += 1
    return state.last_sequence_number


def estimate_needed(job: Job) -> Resources:
    """Return the resources to allocate to one task of the job.

    They are the declared ones, or more if the workload has used more, up to `job.size_limit`.
    """
    declared = job.spec.resources
    cpu_ratio, memory_ratio = job.workload.max_usage_ratio
    if cpu_ratio <= 1 and memory_ratio <= 1:
        return declared
    needed = Resources(
        math.ceil(declared.millicores * cpu_ratio),
        math.ceil(declared.memory_mib * memory_ratio),
        declared.accelerators,
    )
    limit = job.size_limit
    if limit is None or needed.fits_in(limit):
        return needed
    return Resources(
        min(needed.millicores, limit.millicores),
        min(needed.memory_mib, limit.memory_mib),
        needed.accelerators,
    )


def find_shape_key(job: Job) -> ShapeKey:
    """Return the shape key: rounded task size, tasks to start at once, bits of the run time."""
    needed = estimate_needed(job)
    tasks_at_once = len(job.waiting) if job.spec.kind is WorkloadKind.GANG else 1
    return (
        _round_down(needed.millicores),
        _round_down(needed.memory_mib),
        needed.accelerators,
        tasks_at_once,
        max(job.spec.run_ms, job.workload.longest_run_ms).bit_length(),
    )


def add_waiting(state: PlacementState, job: Job, task: TaskId, attempt: int) -> None:
    """Add the task to the waiting tasks of the job."""
    job.waiting[task] = attempt
    _adjust_waiting(state, job, job.spec.resources)


def remove_waiting(state: PlacementState, job: Job, task: TaskId) -> int:
    """Remove a waiting task; returns the number of its next attempt, or 0 if it was not waiting."""
    attempt = job.waiting.pop(task, 0)
    if attempt:
        _adjust_waiting(state, job, NO_RESOURCES - job.spec.resources)
    return attempt


def clear_waiting(state: PlacementState, job: Job) -> None:
    """Remove all waiting and delayed tasks of the job."""
    _adjust_waiting(state, job, NO_RESOURCES - job.spec.resources.multiply(len(job.waiting)))
    job.waiting.clear()
    job.delayed.clear()


def enqueue_job(state: PlacementState, job: Job) -> None:
    """Add a job with waiting tasks to its group, or to the held jobs of its workload.

    A job that is already in its group keeps its position.
    """
    if not is_startable(job):
        job.group = None
        return
    if is_held_back(job):
        job.group = None
        job.workload.held_jobs[job.spec.job] = job
        return
    group = _get_or_create_group(state, job, find_tier(job), find_shape_key(job))
    if job.group is group:
        return
    job.group = group
    heapq.heappush(group.jobs, (job.due, job.sequence, job))


def is_preemptible(job: Job) -> bool:
    """Return whether policy lets lentilpath preempt tasks of the job.

    A gang task is never preempted, because the others would occupy resources without it.
    """
    policy = job.spec.policy
    is_gang = job.spec.kind is WorkloadKind.GANG
    return not is_gang and (policy.checkpointable or policy.stoppable)


def count_unreserved_tasks(job: Job) -> int:
    """Return how many waiting tasks of the job have no exclusive reservation."""
    if not job.reservations:
        return len(job.waiting)
    reserved = sum(
        sum(each.tasks_per_worker.values()) for each in job.reservations if each.exclusive
    )
    return len(job.waiting) - reserved


def is_startable(job: Job) -> bool:
    """Return whether a scheduling pass may start tasks of the job.

    Some waiting task must have no exclusive reservation, and the job must be neither withdrawn nor
    refused.
    """
    return not job.withdrawn and not job.refused and count_unreserved_tasks(job) > 0


def is_held_back(job: Job) -> bool:
    """Return whether the hold on the job's workload keeps it from starting tasks."""
    return job.workload.held_until is not None and job.workload.trial_job != job.spec.job


def find_head(group: Group) -> Job | None:
    """Return the first startable job of the group, or `None`; outdated heap entries are removed."""
    while group.jobs:
        job = group.jobs[0][2]
        if job.group is group and is_startable(job):
            return job
        heapq.heappop(group.jobs)
        if job.group is group:
            job.group = None
    return None


def find_tier(job: Job) -> Tier:
    """Return the tier of the job: that of its priority class, or the one above if it has aged."""
    if job.spec.policy.priority is PriorityClass.URGENT:
        return Tier.URGENT
    if job.spec.policy.priority is PriorityClass.NORMAL:
        return Tier.AGED_NORMAL if job.aged else Tier.NORMAL
    return Tier.NORMAL if job.aged else Tier.BACKGROUND


def apply_due_aging(state: PlacementState, now: Instant) -> None:
    """Move each job whose aging time has passed up a tier."""
    while state.aging_times and state.aging_times[0][0] <= now:
        job = state.jobs.get(heapq.heappop(state.aging_times)[1])
        if job is not None:
            job.aged = True
            normal_due = job.accepted_at + DUE_AFTER_MS[PriorityClass.NORMAL]
            job.due = min(job.due, WallTime(normal_due))
            enqueue_job(state, job)


def find_ready_group(state: PlacementState, tier: Tier, team: TeamId) -> Group | None:
    """Return the team's group with the earliest due head among unblocked shapes, or `None`."""
    groups = state.groups[tier].get(team, {})
    found: Group | None = None
    earliest: Job | None = None
    for key, shape in tuple(state.unblocked_shapes.items()):
        group = groups.get(key)
        if group is None or group.quota_blocked:
            continue
        if tier is not Tier.URGENT and _has_no_candidates(shape):
            block_shape(state, shape)
            continue
        head = find_head(group)
        if head is None:
            remove_group(state, group)
        elif earliest is None or (head.due, head.sequence) < (earliest.due, earliest.sequence):
            found = group
            earliest = head
    return found


def _has_no_candidates(shape: Shape) -> bool:
    """Drop candidate workers without room for the shape; return whether none are left."""
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
    """Return up to `count` groups in rotation, whether their shapes are blocked or not."""
    found: list[Group] = []
    for _ in range(min(count, len(state.review_queue))):
        group = state.review_queue.popleft()
        if group.removed:
            continue
        if find_head(group) is None:
            remove_group(state, group)
            continue
        state.review_queue.append(group)
        found.append(group)
    return found


def block_shape(state: PlacementState, shape: Shape) -> None:
    """Skip the groups of this shape until a worker frees resources that may fit it."""
    shape.candidates = {}
    shape.blocked = True
    state.unblocked_shapes.pop(shape.key, None)


def unblock_fitting_shapes(state: PlacementState, worker: Worker, room: Resources) -> None:
    """Make `worker` a candidate of shapes whose task may fit into `room`, and unblock these.

    Shapes of gangs are left out; they are retried by the review of groups.
    """
    for key, shape in state.shapes.items():
        if shape.candidates is None or key[3] > 1:
            continue
        if key[0] > room.millicores or key[1] > room.memory_mib or key[2] > room.accelerators:
            continue
        shape.candidates[worker.worker] = worker
        if shape.blocked:
            unblock_shape(state, shape)


def unblock_shape(state: PlacementState, shape: Shape) -> None:
    """Let scheduling passes try the groups of this shape."""
    shape.blocked = False
    state.unblocked_shapes[shape.key] = shape


def block_by_quota(state: PlacementState, group: Group) -> None:
    """Skip the group until an attempt ends, a quota changes or a worker joins or changes."""
    group.quota_blocked = True
    state.quota_blocked.append(group)


def unblock_quotas(state: PlacementState) -> None:
    """Try the groups that were blocked by a quota again."""
    blocked, state.quota_blocked = state.quota_blocked, []
    for group in blocked:
        group.quota_blocked = False


def remove_group(state: PlacementState, group: Group) -> None:
    """Remove a group without jobs, and its shape if this was its last group."""
    if group.removed:
        return
    group.removed = True
    teams = state.groups[group.tier]
    groups = teams[group.team.team]
    del groups[group.shape.key]
    if not groups:
        del teams[group.team.team]
    group.shape.group_count -= 1
    if not group.shape.group_count:
        state.shapes.pop(group.shape.key, None)
        state.unblocked_shapes.pop(group.shape.key, None)


def _adjust_waiting(state: PlacementState, job: Job, change: Resources) -> None:
    state.waiting += change
    if job.spec.policy.priority is PriorityClass.URGENT:
        state.urgent_waiting += change


def _get_or_create_group(state: PlacementState, job: Job, tier: Tier, key: ShapeKey) -> Group:
    groups = state.groups[tier].setdefault(job.spec.team, {})
    group = groups.get(key)
    if group is not None:
        return group
    shape = state.shapes.get(key)
    if shape is None:
        shape = state.shapes[key] = Shape(key)
        unblock_shape(state, shape)
    shape.group_count += 1
    group = groups[key] = Group(job.team, tier, shape)
    state.review_queue.append(group)
    return group


def _round_down(amount: int) -> int:
    dropped_bits = max(0, amount.bit_length() - SIGNIFICANT_BITS)
    return amount >> dropped_bits << dropped_bits

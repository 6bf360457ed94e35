"""Explains on request why a task waits, or why it was placed on its worker."""

from __future__ import annotations

from lentilpath_core.ids import Instant, TaskId, get_job_of_task
from lentilpath_core.placement._feasibility import describe_room
from lentilpath_core.placement._messages import Explanation, WaitRule
from lentilpath_core.placement._queues import estimate_needed, is_held_back
from lentilpath_core.placement._records import Job, PlacementState
from lentilpath_core.placement._rooms import is_schedulable
from lentilpath_core.workloads import WorkloadKind


def explain_task(state: PlacementState, task: TaskId, now: Instant) -> Explanation | None:
    """Return why `task` waits, was placed or was refused, or `None` if none of these holds."""
    allocation = state.allocations.get(task)
    if allocation is not None:
        return Explanation(task, WaitRule.PLACED, allocation.reason, len(state.workers))
    job = state.jobs.get(get_job_of_task(task))
    if job is None:
        return None
    if job.refused:
        return Explanation(
            task, job.wait_rule, job.refusal_reason, waits_for="nothing: it was refused"
        )
    delayed = job.delayed.get(task)
    if delayed is not None:
        return _explain_backoff(job, task, delayed[0] - now)
    if task not in job.waiting:
        return None
    return _explain_waiting(state, job, task, now)


def _explain_backoff(job: Job, task: TaskId, left_ms: int) -> Explanation:
    failures = job.failures.get(task, 0)
    cause = f"it failed {failures} times in a row" if failures else "the zone's retry budget"
    text = f"waits: retry in {max(0, left_ms)} ms, {cause}"
    return Explanation(task, WaitRule.BACKOFF, text, waits_for=f"{max(0, left_ms)} ms to pass")


def _explain_waiting(state: PlacementState, job: Job, task: TaskId, now: Instant) -> Explanation:
    if is_held_back(job):
        return _explain_held_back(job, task, now)
    if job.reservations:
        return _explain_reserved(job, task, now)
    if job.wait_rule is WaitRule.STALE_INPUT:
        text = "waits: the wall time is unknown, so the age of its input is"
        return Explanation(task, job.wait_rule, text, waits_for="a known wall time")
    group = job.group
    if group is not None and group.quota_blocked and job.wait_rule is WaitRule.TEAM_QUOTA:
        text = (
            f"waits: team quota; {job.team.team} holds {describe_room(job.team.allocated)} of its "
        )
        text += f"{describe_room(job.team.guaranteed)}, and the rest is guaranteed to others"
        return Explanation(task, WaitRule.TEAM_QUOTA, text, waits_for="room that may be borrowed")
    return _explain_no_room(state, job, task)


def _explain_held_back(job: Job, task: TaskId, now: Instant) -> Explanation:
    workload = job.workload
    left_ms = max(0, (workload.held_until or now) - now)
    text = (
        f"waits: held back, {workload.name} failed on {len(workload.failed_workers)} workers "
        f"without a success; next trial in {left_ms} ms"
    )
    return Explanation(task, WaitRule.HELD_BACK, text, waits_for="a trial that succeeds")


def _explain_reserved(job: Job, task: TaskId, now: Instant) -> Explanation:
    reservation = job.reservations[0]
    workers = ", ".join(sorted(reservation.tasks_per_worker)[:4])
    left_ms = max(0, reservation.starts_at - now)
    text = (
        f"waits: room for {sum(reservation.tasks_per_worker.values())} tasks "
        f"is reserved on {workers}, "
        f"expected free in {left_ms} ms"
    )
    return Explanation(
        task,
        WaitRule.RESERVED,
        text,
        len(reservation.tasks_per_worker),
        f"tasks on {workers} to end",
    )


def _explain_no_room(state: PlacementState, job: Job, task: TaskId) -> Explanation:
    needed = estimate_needed(job)
    usable = [worker for worker in state.workers.values() if is_schedulable(worker)]
    free = sum(1 for worker in usable if needed.fits_in(worker.free))
    reserved = free - sum(1 for worker in usable if needed.fits_in(worker.unreserved))
    is_gang = job.spec.kind is WorkloadKind.GANG
    tasks = f"{len(job.waiting)} tasks at once, each" if is_gang else "a task of"
    text = (
        f"waits: {tasks} {describe_room(needed)}; of {len(state.workers)} workers {len(usable)} "
        f"are in use, {free} have room for one and {reserved} of these are reserved"
    )
    rule = WaitRule.TOO_LARGE if job.wait_rule is WaitRule.TOO_LARGE else WaitRule.NO_ROOM
    if rule is WaitRule.NO_ROOM and reserved and reserved == free:
        rule = WaitRule.RESERVED
    elif rule is WaitRule.NO_ROOM and is_gang:
        rule = WaitRule.GANG_INCOMPLETE
    waits_for = "room on a worker"
    if rule is WaitRule.TOO_LARGE:
        waits_for = "a worker, or enough workers, of that size to join"
    return Explanation(task, rule, text, len(state.workers), waits_for)

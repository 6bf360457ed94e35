"""Applies events to the placement state of a zone."""

from __future__ import annotations

import heapq
from functools import singledispatch

from lentilpath_core.ids import Instant, TaskId, WallTime, WorkerId, get_job_of_task
from lentilpath_core.placement._evidence import (
    allow_trial,
    clear_probe,
    compute_backoff_ms,
    record_failure,
    record_success,
    reserve_retry,
)
from lentilpath_core.placement._headroom import record_urgent_peak
from lentilpath_core.placement._learning import estimate_run_ms, record_run, record_usage
from lentilpath_core.placement._messages import (
    AttemptFinished,
    JobWithdrawn,
    QuotaSet,
    TaskFound,
    TasksReady,
    UsageReported,
    WorkerOffered,
    WorkerRemoved,
)
from lentilpath_core.placement._queues import (
    add_waiting,
    allocate_sequence_number,
    clear_waiting,
    enqueue_job,
    estimate_needed,
    find_due_time,
    get_or_create_team,
    remove_waiting,
    unblock_fitting_shapes,
    unblock_quotas,
)
from lentilpath_core.placement._records import Allocation, Job, PlacementState, Worker, Workload
from lentilpath_core.placement._reservations import drop_all_reservations
from lentilpath_core.placement._rooms import (
    add_allocation,
    attach_allocation,
    compute_unused_guarantee,
    detach_allocation,
    drop_reservation,
    is_schedulable,
    reindex_worker,
    remove_allocation,
    unindex_worker,
)
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.states import AttemptOutcome, WorkerState
from lentilpath_core.workloads import JobSpec, PriorityClass, WorkloadKind

AGING_MS = 3_600_000
"""Wait after which a background job moves to the normal tier."""
MAX_IDLE_JOBS = 2_000
"""Idle jobs whose records are kept for their failure counts; the oldest are evicted first."""

EXEMPT_UNSTARTED_ATTEMPTS = 2


@singledispatch
def handle_event(event: object, state: PlacementState, now: Instant) -> None:
    """Update `state` with one event."""
    raise TypeError(f"unsupported placement event: {event!r}")


@handle_event.register
def _(event: WorkerOffered, state: PlacementState, now: Instant) -> None:
    worker = state.workers.get(event.worker)
    if worker is None:
        worker = _add_worker(state, event)
    change = event.capacity - worker.capacity
    _adjust_capacity_count(state, worker.capacity, -1)
    _adjust_capacity_count(state, event.capacity, 1)
    unindex_worker(state, worker)
    worker.capacity = event.capacity
    worker.rack = event.rack
    worker.state = event.state
    worker.free += change
    worker.unreserved += change
    state.total += change
    state.draining.pop(worker.worker, None)
    if worker.state is WorkerState.DRAINING:
        state.draining[worker.worker] = None
    reindex_worker(state, worker)
    for reservation in worker.reservations:
        state.reservations_to_check[reservation.order] = reservation
    if is_schedulable(worker):
        unblock_fitting_shapes(state, worker, worker.free)
        unblock_quotas(state)


@handle_event.register
def _(event: WorkerRemoved, state: PlacementState, now: Instant) -> None:
    worker = state.workers.get(event.worker)
    if worker is None:
        return
    for reservation in tuple(worker.reservations):
        drop_reservation(state, reservation)
        enqueue_job(state, reservation.job)
    worker.state = WorkerState.LOST
    for allocation in tuple(worker.allocations.values()):
        detach_allocation(state, worker, allocation)
        state.detached_allocations.setdefault(event.worker, {})[allocation.task] = allocation
    reindex_worker(state, worker)
    state.total -= worker.capacity
    _adjust_capacity_count(state, worker.capacity, -1)
    state.draining.pop(event.worker, None)
    state.workers_to_probe.pop(event.worker, None)
    state.free_ordinals.append(worker.ordinal)
    del state.workers[event.worker]


@handle_event.register
def _(event: TasksReady, state: PlacementState, now: Instant) -> None:
    job = _get_or_create_job(state, event.spec, now)
    job.accepted_at = event.accepted_at
    job.due = find_due_time(event.spec, event.accepted_at)
    if not job.aging_scheduled:
        _schedule_aging(state, job, now)
    if job.refused:
        return
    # A job whose starts need the table is also withdrawn while the table is unavailable.
    job.withdrawn = False
    attempts = dict(event.attempts)
    for task in event.tasks:
        if task in state.allocations or task in job.waiting or task in job.delayed:
            continue
        _schedule_task(state, job, task, attempts.get(task, 0), now)
    record_urgent_peak(state, now)
    enqueue_job(state, job)


@handle_event.register
def _(event: TaskFound, state: PlacementState, now: Instant) -> None:
    if event.task in state.allocations:
        return
    job = _get_or_create_job(state, event.spec, now)
    remove_waiting(state, job, event.task)
    job.delayed.pop(event.task, None)
    allocation = create_allocation(
        job, event.task, event.attempt, event.worker, now, "found running"
    )
    allocation.resources = event.room or allocation.resources
    add_allocation(state, allocation)


@handle_event.register
def _(event: JobWithdrawn, state: PlacementState, now: Instant) -> None:
    job = state.jobs.get(event.job)
    if job is None:
        return
    job.withdrawn = True
    clear_waiting(state, job)
    drop_all_reservations(state, job)
    job.workload.held_jobs.pop(event.job, None)
    if job.workload.trial_job == event.job:
        allow_trial(state, job.workload)
    _mark_if_idle(state, job)


@handle_event.register
def _(event: AttemptFinished, state: PlacementState, now: Instant) -> None:
    allocation = state.allocations.get(event.task)
    if allocation is None or allocation.attempt != event.attempt:
        return
    remove_allocation(state, allocation)
    unblock_quotas(state)
    if event.outcome is AttemptOutcome.SUCCEEDED:
        record_run(allocation, event.ran_ms)
        record_success(state, allocation)
    elif event.outcome is AttemptOutcome.FAILED:
        record_failure(state, allocation, now)
    else:
        clear_probe(state, allocation)
    if _is_exempt_from_retry_budget(event):
        allocation.job.exempt_from_retry_budget.add(event.task)
    _mark_if_idle(state, allocation.job)


@handle_event.register
def _(event: UsageReported, state: PlacementState, now: Instant) -> None:
    record_usage(state, event, now)


@handle_event.register
def _(event: QuotaSet, state: PlacementState, now: Instant) -> None:
    team = get_or_create_team(state, event.team)
    state.unused_guarantees -= compute_unused_guarantee(team)
    team.guaranteed = event.guaranteed
    state.unused_guarantees += compute_unused_guarantee(team)
    unblock_quotas(state)


def _is_exempt_from_retry_budget(event: AttemptFinished) -> bool:
    # After a change of leader many attempts end without having started; charging them to the
    # retry budget would only lengthen their wait. Only the first attempts of a task are exempt,
    # since a worker may refuse every start.
    if event.outcome is AttemptOutcome.NOT_STARTED:
        return event.attempt <= EXEMPT_UNSTARTED_ATTEMPTS
    return event.outcome is AttemptOutcome.STOPPED


def create_allocation(
    job: Job, task: TaskId, attempt: int, worker: WorkerId, now: Instant, reason: str
) -> Allocation:
    """Return the allocation of an attempt that starts at `now`, without adding it to the state."""
    estimated_end = None
    if job.spec.kind is not WorkloadKind.SERVICE:
        estimated_end = Instant(now + estimate_run_ms(job))
    return Allocation(task, attempt, worker, job, estimate_needed(job), now, estimated_end, reason)


def queue_due_tasks(state: PlacementState, now: Instant) -> None:
    """Queue the tasks whose delay, by backoff or retry budget, has ended."""
    while state.delay_expiries and state.delay_expiries[0][0] <= now:
        task = heapq.heappop(state.delay_expiries)[1]
        job = state.jobs.get(get_job_of_task(task))
        if job is None or task not in job.delayed or job.delayed[task][0] > now:
            continue
        add_waiting(state, job, task, job.delayed.pop(task)[1])
        enqueue_job(state, job)


def _schedule_task(
    state: PlacementState, job: Job, task: TaskId, attempts: int, now: Instant
) -> None:
    start_at = now
    failures = job.failures.get(task, 0)
    if failures:
        start_at = Instant(now + compute_backoff_ms(task, failures))
    is_exempt = task in job.exempt_from_retry_budget
    job.exempt_from_retry_budget.discard(task)
    urgent = job.spec.policy.priority is PriorityClass.URGENT
    if attempts and not is_exempt and not urgent:
        start_at = max(start_at, reserve_retry(state, now))
    if start_at <= now:
        add_waiting(state, job, task, attempts + 1)
        return
    job.delayed[task] = (start_at, attempts + 1)
    heapq.heappush(state.delay_expiries, (start_at, task))


def _adjust_capacity_count(state: PlacementState, capacity: Resources, change: int) -> None:
    state.capacities[capacity] += change
    if state.capacities[capacity] <= 0:
        del state.capacities[capacity]


def _add_worker(state: PlacementState, event: WorkerOffered) -> Worker:
    if state.free_ordinals:
        ordinal = state.free_ordinals.pop()
        state.workers_by_ordinal[ordinal] = event.worker
    else:
        ordinal = len(state.workers_by_ordinal)
        state.workers_by_ordinal.append(event.worker)
    worker = Worker(
        event.worker, ordinal, event.rack, NO_RESOURCES, event.state, NO_RESOURCES, NO_RESOURCES
    )
    state.workers[event.worker] = worker
    for allocation in state.detached_allocations.pop(event.worker, {}).values():
        attach_allocation(state, worker, allocation)
    return worker


def _get_or_create_job(state: PlacementState, spec: JobSpec, now: Instant) -> Job:
    job = state.jobs.get(spec.job)
    if job is not None:
        state.idle_jobs.pop(spec.job, None)
        return job
    name = f"{spec.team}:{spec.workload or spec.job}"
    workload = state.workloads.get(name)
    if workload is None:
        workload = state.workloads[name] = Workload(name)
    team = get_or_create_team(state, spec.team)
    number = allocate_sequence_number(state)
    job = Job(spec, number, WallTime(0), WallTime(0), team, workload)
    state.jobs[spec.job] = job
    return job


def _schedule_aging(state: PlacementState, job: Job, now: Instant) -> None:
    """Schedule when the job moves up a tier; its wait under earlier leaders counts too."""
    job.aging_scheduled = True
    policy = job.spec.policy
    waited_ms = max(0, state.wall_offset_ms + now - job.accepted_at) if state.wall_offset_ms else 0
    if policy.priority is PriorityClass.BACKGROUND:
        ages_at = now + AGING_MS - waited_ms
    elif policy.priority is PriorityClass.NORMAL and policy.deadline_ms is not None:
        ages_at = now + (job.due - job.accepted_at) // 2 - waited_ms
    else:
        return
    heapq.heappush(state.aging_times, (Instant(ages_at), job.spec.job))


def _mark_if_idle(state: PlacementState, job: Job) -> None:
    if job.waiting or job.delayed or job.allocations:
        return
    state.idle_jobs[job.spec.job] = None
    while len(state.idle_jobs) > MAX_IDLE_JOBS:
        oldest = next(iter(state.idle_jobs))
        del state.idle_jobs[oldest]
        evicted = state.jobs.pop(oldest)
        if not evicted.spec.workload:
            state.workloads.pop(evicted.workload.name, None)

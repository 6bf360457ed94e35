"""Taking events into the placement of a zone."""

from __future__ import annotations

import heapq
from functools import singledispatch

from lentilpath_core.ids import Instant, TaskId, WallTime, WorkerId, get_job_of_task
from lentilpath_core.placement._evidence import (
    book_retry,
    end_probe,
    find_backoff,
    note_failure,
    note_success,
    release_trial,
)
from lentilpath_core.placement._headroom import note_urgent_need
from lentilpath_core.placement._learning import estimate_run_ms, learn_run, take_usage
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
    clear_waiting,
    enqueue_job,
    find_due_time,
    find_needed,
    find_team,
    offer_room,
    take_number,
    take_waiting,
    unblock_quotas,
)
from lentilpath_core.placement._records import HeldRoom, Job, PlacementState, Worker, Workload
from lentilpath_core.placement._reservations import drop_all_reservations
from lentilpath_core.placement._rooms import (
    attach_task,
    detach_task,
    drop_reservation,
    hold_room,
    is_usable,
    reindex_worker,
    release_room,
    take_unused,
)
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.states import AttemptOutcome, WorkerState
from lentilpath_core.workloads import JobSpec, PriorityClass, WorkloadKind

AGING_MS = 3_600_000
"""Background work that waited so long counts as normal."""
MAX_IDLE_JOBS = 2_000
"""Jobs without a waiting or running task that are remembered for their failures."""

FREE_UNSTARTED_ATTEMPTS = 2


@singledispatch
def take_event(event: object, state: PlacementState, now: Instant) -> None:
    """Take one event into `state`."""
    raise TypeError(f"not a placement event: {event!r}")


@take_event.register
def _(event: WorkerOffered, state: PlacementState, now: Instant) -> None:
    worker = state.workers.get(event.worker)
    if worker is None:
        worker = _add_worker(state, event)
        state.last_joined_at = now
    change = event.capacity - worker.capacity
    _count_capacity(state, worker.capacity, -1)
    _count_capacity(state, event.capacity, 1)
    worker.capacity = event.capacity
    worker.rack = event.rack
    worker.state = event.state
    worker.free += change
    worker.open += change
    state.total += change
    state.draining.pop(worker.worker, None)
    if worker.state is WorkerState.DRAINING:
        state.draining[worker.worker] = None
    reindex_worker(state, worker)
    for reservation in worker.claims:
        state.touched[reservation.order] = reservation
    if is_usable(worker):
        offer_room(state, worker, worker.free)
        unblock_quotas(state)


@take_event.register
def _(event: WorkerRemoved, state: PlacementState, now: Instant) -> None:
    worker = state.workers.get(event.worker)
    if worker is None:
        return
    for reservation in tuple(worker.claims):
        drop_reservation(state, reservation)
        enqueue_job(state, reservation.job)
    worker.state = WorkerState.LOST
    for held in tuple(worker.tasks.values()):
        detach_task(state, worker, held)
        state.held_elsewhere.setdefault(event.worker, {})[held.task] = held
    reindex_worker(state, worker)
    state.total -= worker.capacity
    _count_capacity(state, worker.capacity, -1)
    state.draining.pop(event.worker, None)
    state.probing_workers.pop(event.worker, None)
    state.free_ordinals.append(worker.ordinal)
    del state.workers[event.worker]


@take_event.register
def _(event: TasksReady, state: PlacementState, now: Instant) -> None:
    job = _find_job(state, event.spec, now)
    job.accepted_at = event.accepted_at
    job.due = find_due_time(event.spec, event.accepted_at)
    if not job.ages:
        _let_age(state, job, now)
    if job.refused:
        return
    # A job is also withdrawn for a while, when its starts need the table and the table is away.
    job.withdrawn = False
    attempts = dict(event.attempts)
    for task in event.tasks:
        if task in state.placed or task in job.waiting or task in job.delayed:
            continue
        _make_ready(state, job, task, attempts.get(task, 0), now)
    note_urgent_need(state, now)
    enqueue_job(state, job)


@take_event.register
def _(event: TaskFound, state: PlacementState, now: Instant) -> None:
    if event.task in state.placed:
        return
    job = _find_job(state, event.spec, now)
    take_waiting(state, job, event.task)
    job.delayed.pop(event.task, None)
    held = make_held(job, event.task, event.attempt, event.worker, now, "found running")
    hold_room(state, held)


@take_event.register
def _(event: JobWithdrawn, state: PlacementState, now: Instant) -> None:
    job = state.jobs.get(event.job)
    if job is None:
        return
    job.withdrawn = True
    clear_waiting(state, job)
    drop_all_reservations(state, job)
    job.workload.held_jobs.pop(event.job, None)
    if job.workload.trial == event.job:
        release_trial(state, job.workload)
    _forget_if_idle(state, job)


@take_event.register
def _(event: AttemptFinished, state: PlacementState, now: Instant) -> None:
    held = state.placed.get(event.task)
    if held is None or held.attempt != event.attempt:
        return
    release_room(state, held)
    unblock_quotas(state)
    if event.outcome is AttemptOutcome.SUCCEEDED:
        learn_run(held, event.ran_ms)
        note_success(state, held)
    elif event.outcome is AttemptOutcome.FAILED:
        note_failure(state, held, now)
    else:
        end_probe(state, held)
    if _is_blameless(event):
        held.job.blameless.add(event.task)
    _forget_if_idle(state, held.job)


@take_event.register
def _(event: UsageReported, state: PlacementState, now: Instant) -> None:
    take_usage(state, event, now)


@take_event.register
def _(event: QuotaSet, state: PlacementState, now: Instant) -> None:
    team = find_team(state, event.team)
    state.unused_guarantees -= take_unused(team)
    team.guaranteed = event.guaranteed
    state.unused_guarantees += take_unused(team)
    unblock_quotas(state)


def _is_blameless(event: AttemptFinished) -> bool:
    # A change of leader leaves many starts that never happened, and delaying them would only add
    # to their wait. A worker may also refuse every start, so only the first ones are free.
    if event.outcome is AttemptOutcome.NOT_STARTED:
        return event.attempt <= FREE_UNSTARTED_ATTEMPTS
    return event.outcome is AttemptOutcome.STOPPED


def make_held(
    job: Job, task: TaskId, attempt: int, worker: WorkerId, now: Instant, reason: str
) -> HeldRoom:
    """Return the record of an attempt that starts now."""
    ends = None
    if job.spec.kind is not WorkloadKind.SERVICE:
        ends = Instant(now + estimate_run_ms(job))
    return HeldRoom(task, attempt, worker, job, find_needed(job), now, ends, reason)


def fire_backoffs(state: PlacementState, now: Instant) -> None:
    """Let the tasks start whose backoff is over."""
    while state.backoffs and state.backoffs[0][0] <= now:
        task = heapq.heappop(state.backoffs)[1]
        job = state.jobs.get(get_job_of_task(task))
        if job is None or task not in job.delayed or job.delayed[task][0] > now:
            continue
        add_waiting(state, job, task, job.delayed.pop(task)[1])
        enqueue_job(state, job)


def _make_ready(state: PlacementState, job: Job, task: TaskId, attempts: int, now: Instant) -> None:
    start_at = now
    failures = job.failures.get(task, 0)
    if failures:
        start_at = Instant(now + find_backoff(task, failures))
    blameless = task in job.blameless
    job.blameless.discard(task)
    urgent = job.spec.policy.priority is PriorityClass.URGENT
    if attempts and not blameless and not urgent:
        start_at = max(start_at, book_retry(state, now))
    if start_at <= now:
        add_waiting(state, job, task, attempts + 1)
        return
    job.delayed[task] = (start_at, attempts + 1)
    heapq.heappush(state.backoffs, (start_at, task))


def _count_capacity(state: PlacementState, capacity: Resources, change: int) -> None:
    state.capacities[capacity] += change
    if state.capacities[capacity] <= 0:
        del state.capacities[capacity]


def _add_worker(state: PlacementState, event: WorkerOffered) -> Worker:
    if state.free_ordinals:
        ordinal = state.free_ordinals.pop()
        state.ordinals[ordinal] = event.worker
    else:
        ordinal = len(state.ordinals)
        state.ordinals.append(event.worker)
    worker = Worker(
        event.worker, ordinal, event.rack, NO_RESOURCES, event.state, NO_RESOURCES, NO_RESOURCES
    )
    state.workers[event.worker] = worker
    for held in state.held_elsewhere.pop(event.worker, {}).values():
        attach_task(state, worker, held)
    return worker


def _find_job(state: PlacementState, spec: JobSpec, now: Instant) -> Job:
    job = state.jobs.get(spec.job)
    if job is not None:
        state.idle_jobs.pop(spec.job, None)
        return job
    name = f"{spec.team}:{spec.workload or spec.job}"
    workload = state.workloads.get(name)
    if workload is None:
        workload = state.workloads[name] = Workload(name)
    team = find_team(state, spec.team)
    number = take_number(state)
    job = Job(spec, number, WallTime(0), WallTime(0), team, workload)
    state.jobs[spec.job] = job
    return job


def _let_age(state: PlacementState, job: Job, now: Instant) -> None:
    """Note when the job moves up a tier; what it waited under earlier leaders counts too."""
    job.ages = True
    policy = job.spec.policy
    waited_ms = max(0, state.wall_ahead_ms + now - job.accepted_at) if state.wall_ahead_ms else 0
    if policy.priority is PriorityClass.BACKGROUND:
        ages_at = now + AGING_MS - waited_ms
    elif policy.priority is PriorityClass.NORMAL and policy.deadline_ms is not None:
        ages_at = now + (job.due - job.accepted_at) // 2 - waited_ms
    else:
        return
    heapq.heappush(state.aging, (Instant(ages_at), job.spec.job))


def _forget_if_idle(state: PlacementState, job: Job) -> None:
    if job.waiting or job.delayed or job.placed:
        return
    state.idle_jobs[job.spec.job] = None
    while len(state.idle_jobs) > MAX_IDLE_JOBS:
        oldest = next(iter(state.idle_jobs))
        del state.idle_jobs[oldest]
        forgotten = state.jobs.pop(oldest)
        if not forgotten.spec.workload:
            state.workloads.pop(forgotten.workload.name, None)

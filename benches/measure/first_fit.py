"""The baseline: places each waiting task on the first worker that fits, in order of acceptance."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch

from lentilpath_core.ids import Instant, JobId, TaskId, WorkerId, get_job_of_task
from lentilpath_core.placement._messages import (
    AttemptFinished,
    Decision,
    Explanation,
    JobWithdrawn,
    PlacementEvent,
    StartTask,
    TaskFound,
    TasksReady,
    UsageReported,
    WaitRule,
    WorkerOffered,
    WorkerRemoved,
)
from lentilpath_core.resources import Resources
from lentilpath_core.states import WorkerState
from lentilpath_core.workloads import JobSpec, WorkloadKind


@dataclass(slots=True)
class _WorkerCapacity:
    worker: WorkerId
    free: Resources
    capacity: Resources
    state: WorkerState


@dataclass(slots=True)
class PlacementState:
    """Workers, waiting tasks and allocations of one zone."""

    workers: dict[WorkerId, _WorkerCapacity] = field(default_factory=dict)
    specs: dict[JobId, JobSpec] = field(default_factory=dict)
    waiting: dict[JobId, dict[TaskId, int]] = field(default_factory=dict)
    """Ready tasks by job, each with the number of its next attempt."""
    allocations: dict[TaskId, tuple[WorkerId, Resources, str]] = field(default_factory=dict)


def create_placement() -> PlacementState:
    """Return the placement state of a zone without workers and tasks."""
    return PlacementState()


def apply_event(state: PlacementState, event: PlacementEvent, now: Instant) -> None:
    """Apply `event` to `state`. Events about unknown tasks or workers have no effect."""
    _apply(event, state, now)


def decide_placements(state: PlacementState, now: Instant, limit: int) -> tuple[Decision, ...]:
    """Return about `limit` decisions at most and allocate their resources.

    A gang starts as a whole, so its decisions may exceed `limit`.
    """
    decisions: list[Decision] = []
    for job in tuple(state.waiting):
        if len(decisions) >= limit:
            break
        decisions.extend(_place_job(state, job, limit - len(decisions)))
    return tuple(decisions)


def explain_task(state: PlacementState, task: TaskId, now: Instant) -> Explanation | None:
    """Return why `task` waits or was placed on its worker, or `None` if it is unknown."""
    allocation = state.allocations.get(task)
    if allocation is not None:
        return Explanation(task, WaitRule.PLACED, allocation[2])
    if task in state.waiting.get(get_job_of_task(task), {}):
        return Explanation(task, WaitRule.NO_ROOM, "waits: no worker has room for it")
    return None


@singledispatch
def _apply(event: object, state: PlacementState, now: Instant) -> None:
    raise TypeError(f"not a placement event: {event!r}")


@_apply.register
def _(event: WorkerOffered, state: PlacementState, now: Instant) -> None:
    known = state.workers.get(event.worker)
    allocated = known.capacity - known.free if known else _sum_allocations(state, event.worker)
    state.workers[event.worker] = _WorkerCapacity(
        event.worker, event.capacity - allocated, event.capacity, event.state
    )


@_apply.register
def _(event: WorkerRemoved, state: PlacementState, now: Instant) -> None:
    state.workers.pop(event.worker, None)


@_apply.register
def _(event: TasksReady, state: PlacementState, now: Instant) -> None:
    state.specs[event.spec.job] = event.spec
    attempts = dict(event.attempts)
    waiting = state.waiting.setdefault(event.spec.job, {})
    for task in event.tasks:
        waiting[task] = attempts.get(task, 0) + 1


@_apply.register
def _(event: TaskFound, state: PlacementState, now: Instant) -> None:
    if event.task in state.allocations:
        return
    state.specs[event.spec.job] = event.spec
    _add_allocation(state, event.task, event.worker, event.spec.resources, "found running")


@_apply.register
def _(event: JobWithdrawn, state: PlacementState, now: Instant) -> None:
    state.waiting.pop(event.job, None)


@_apply.register
def _(event: AttemptFinished, state: PlacementState, now: Instant) -> None:
    placed = state.allocations.pop(event.task, None)
    if placed is None:
        return
    worker = state.workers.get(placed[0])
    if worker is not None:
        worker.free = worker.free + placed[1]


@_apply.register
def _(event: UsageReported, state: PlacementState, now: Instant) -> None:
    return


def _sum_allocations(state: PlacementState, worker: WorkerId) -> Resources:
    allocated = Resources()
    for where, resources, _ in state.allocations.values():
        if where == worker:
            allocated = allocated + resources
    return allocated


def _add_allocation(
    state: PlacementState, task: TaskId, worker: WorkerId, amount: Resources, reason: str
) -> None:
    state.allocations[task] = (worker, amount, reason)
    known = state.workers.get(worker)
    if known is not None:
        known.free = known.free - amount


def _place_job(state: PlacementState, job: JobId, limit: int) -> list[Decision]:
    spec = state.specs[job]
    waiting = state.waiting[job]
    is_gang = spec.kind is WorkloadKind.GANG
    starts: list[Decision] = []
    for task, attempt in tuple(waiting.items()):
        if not is_gang and len(starts) >= limit:
            break
        worker = _find_first_fit(state, spec.resources)
        if worker is None:
            break
        reason = f"first fit: {worker} had room"
        _add_allocation(state, task, worker, spec.resources, reason)
        starts.append(StartTask(task, attempt, worker, reason))
    if is_gang and len(starts) < len(waiting):
        for start in starts:
            assert isinstance(start, StartTask)
            allocation = state.allocations.pop(start.task)
            state.workers[allocation[0]].free = state.workers[allocation[0]].free + allocation[1]
        return []
    for start in starts:
        assert isinstance(start, StartTask)
        del waiting[start.task]
    if not waiting:
        del state.waiting[job]
    return starts


def _find_first_fit(state: PlacementState, resources: Resources) -> WorkerId | None:
    for worker in state.workers.values():
        if worker.state is WorkerState.ACTIVE and resources.fits_in(worker.free):
            return worker.worker
    return None

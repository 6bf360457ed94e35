"""Explains where a job would be placed now, and why, without changing the pool's state.

Answers an operator's question about a job that has not been submitted. It uses the functions by
which placement and admission decide, all of which only read the state.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool._admission import decide_admission, measure_loads
from lentilpath_core.pool._advice import needs_advice
from lentilpath_core.pool._model import JobRecord, QueuePolicy, get_completion_objective_ms
from lentilpath_core.pool._options import Options
from lentilpath_core.pool._order import rank_step
from lentilpath_core.pool._placement import MAX_REPORT_AGE_MS
from lentilpath_core.pool._reservations import compute_usable_room, make_reservation
from lentilpath_core.pool._state import Job, PoolState, Step, Worker
from lentilpath_core.pool._steps import begin_occurrence, estimate_critical_paths

MAX_NAMED_WORKERS = 10
"""Workers that an answer names per step and obstacle, so that its size does not grow with the
fleet."""


class Obstacle(Enum):
    """Why a worker does not take a task of a step now."""

    OTHER_SERVICE = "other-service"
    LABEL = "label-missing"
    LEAVING = "leaving"
    NO_REPORT = "no-recent-report"
    COOLDOWN = "cooldown-after-failures"
    SUSPECTED_TASK = "kept-for-a-suspected-task"
    TOO_SMALL = "capacity-too-small"
    RESERVED = "reserved-for-a-gang"
    NO_ROOM = "no-free-room"


class ObstacleCount(msgspec.Struct, frozen=True):
    """How many workers one obstacle excludes, and some of them."""

    obstacle: Obstacle
    workers: int
    examples: tuple[WorkerId, ...]


class StepExplanation(msgspec.Struct, frozen=True):
    """Where the tasks of one step would be placed."""

    step: int
    tasks: int
    placed: int
    """Tasks for which there is room now; a gang has room for all of its tasks or for none."""
    workers: tuple[WorkerId, ...]
    """Some of the workers that would be chosen."""
    obstacles: tuple[ObstacleCount, ...]
    starts_in_ms: int | None
    """Expected time until all tasks have started; `None` if it cannot be estimated. It counts the
    runs in progress, but not the waiting steps of higher rank."""
    needs_advice: bool
    """Whether the advice service may still exclude workers."""


class JobExplanation(msgspec.Struct, frozen=True):
    """Whether a job would be accepted now, and where its first steps would be placed."""

    is_accepted: bool
    reason: str
    retry_after_ms: int
    objective_ms: int
    critical_path_ms: int
    wait_ms: int
    """Estimated time until the work ahead of the job's queue is done."""
    steps_ahead: int
    """Waiting steps of a smaller rank."""
    steps_waiting: int
    steps: tuple[StepExplanation, ...]
    """The steps that depend on no other step."""
    oldest_report_ms: int | None
    """Age of the oldest last report of a listed worker; `None` if none has reported."""


def explain_job(
    state: PoolState, record: JobRecord, policy: QueuePolicy, now: Instant
) -> JobExplanation:
    """Return where the job would be placed at `now`. Changes nothing in `state`."""
    load = measure_loads(state, now).get(record.queue)
    refusal_ms = decide_admission(record, policy, load)
    critical_path_ms = max(estimate_critical_paths(record.steps), default=0.0)
    objective_ms = get_completion_objective_ms(policy, critical_path_ms)
    job = Job(record, policy, now, objective_ms)
    # The steps are created in a state of their own, so that they are not open in the pool's.
    begin_occurrence(PoolState(state.epoch, now), job, 0)
    first = [step for step in job.steps.values() if not step.spec.after]
    ranks = [rank_step(state, step, now) for step in state.open_steps.values()]
    own_rank = min(rank_step(state, step, now) for step in first)
    ages = [
        now - worker.reported_at
        for worker in state.workers.values()
        if worker.is_listed and worker.reported_at is not None
    ]
    return JobExplanation(
        is_accepted=refusal_ms is None,
        reason="" if refusal_ms is None else "the work ahead of it leaves too little time",
        retry_after_ms=refusal_ms or 0,
        objective_ms=int(objective_ms),
        critical_path_ms=int(critical_path_ms),
        wait_ms=load.wait_ms if load is not None else 0,
        steps_ahead=sum(rank < own_rank for rank in ranks),
        steps_waiting=len(ranks),
        steps=tuple(_explain_step(state, step, now) for step in first),
        oldest_report_ms=max(ages, default=None),
    )


def _explain_step(state: PoolState, step: Step, now: Instant) -> StepExplanation:
    fitting: list[Worker] = []
    excluded: dict[Obstacle, list[WorkerId]] = {}
    for worker in state.workers.values():
        obstacle = _find_obstacle(state, step, worker, now)
        if obstacle is None:
            fitting.append(worker)
        else:
            excluded.setdefault(obstacle, []).append(worker.worker)
    places = _choose_workers(state, step, fitting, now)
    return StepExplanation(
        step=step.key.step,
        tasks=step.spec.count,
        placed=len(places),
        workers=_name_some(dict.fromkeys(worker.worker for worker in places)),
        obstacles=tuple(
            ObstacleCount(obstacle, len(workers), _name_some(workers))
            for obstacle, workers in sorted(excluded.items(), key=lambda each: -len(each[1]))
        ),
        starts_in_ms=0 if len(places) == step.spec.count else _estimate_start(state, step, now),
        needs_advice=needs_advice(step),
    )


def _name_some(workers: Iterable[WorkerId]) -> tuple[WorkerId, ...]:
    return tuple(sorted(workers)[:MAX_NAMED_WORKERS])


def _choose_workers(
    state: PoolState, step: Step, fitting: list[Worker], now: Instant
) -> list[Worker]:
    options = Options(state, step, fitting, now)
    chosen: list[Worker] = []
    for index in range(step.spec.count):
        worker = options.take_cheapest(index)
        if worker is None:
            break
        chosen.append(worker)
    return [] if step.spec.gang and len(chosen) < step.spec.count else chosen


def _find_obstacle(state: PoolState, step: Step, worker: Worker, now: Instant) -> Obstacle | None:
    """Return the first reason for which the worker takes no task of the step, or `None`."""
    lasting_obstacle = _find_lasting_obstacle(step, worker)
    if lasting_obstacle is not None:
        return lasting_obstacle
    if worker.reported_at is None or now > worker.reported_at + MAX_REPORT_AGE_MS:
        return Obstacle.NO_REPORT
    if now < worker.cooldown_until:
        return Obstacle.COOLDOWN
    if worker.kept_for is not None:
        return Obstacle.SUSPECTED_TASK
    room = step.spec.counted_room
    if not room.fits_in(worker.free):
        return Obstacle.NO_ROOM
    if not room.fits_in(compute_usable_room(state, step, worker, now)):
        return Obstacle.RESERVED
    return None


def _find_lasting_obstacle(step: Step, worker: Worker) -> Obstacle | None:
    """Return a reason that waiting does not remove, or `None`."""
    policy = step.job.policy
    if policy is None or worker.listed.service != policy.service:
        return Obstacle.OTHER_SERVICE
    if step.spec.label and step.spec.label not in worker.listed.labels:
        return Obstacle.LABEL
    if not worker.is_listed or worker.listed.leaves_in_ms is not None:
        return Obstacle.LEAVING
    if not step.spec.counted_room.fits_in(worker.listed.capacity):
        return Obstacle.TOO_SMALL
    return None


def _estimate_start(state: PoolState, step: Step, now: Instant) -> int | None:
    usable = [
        worker
        for worker in state.workers.values()
        if _find_lasting_obstacle(step, worker) is None and worker.is_recorded
    ]
    reservation = make_reservation(state, step, usable, now)
    return max(0, reservation.starts_at - now) if reservation is not None else None

"""Explains where a job would be placed now, and why, without changing the pool's state.

Answers an operator's question about a job that has not been submitted. It uses the functions by
which placement and admission decide, all of which only read the state.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from lentilpath_core.errors import QuotaTooSmall
from lentilpath_core.ids import CustomerId, Instant, WorkerId
from lentilpath_core.pool._access import NO_CUSTOMER
from lentilpath_core.pool._admission import (
    QueueLoad,
    decide_admission,
    find_wait_ms,
    measure_loads,
)
from lentilpath_core.pool._advice import needs_advice
from lentilpath_core.pool._candidates import MAX_REPORT_AGE_MS
from lentilpath_core.pool._crowding import is_crowded_for
from lentilpath_core.pool._customers import (
    check_job_fits_quota,
    compute_weighted_share,
    count_allowed,
)
from lentilpath_core.pool._model import (
    CustomerPolicy,
    JobRecord,
    QueuePolicy,
    get_completion_objective_ms,
)
from lentilpath_core.pool._options import Options
from lentilpath_core.pool._order import rank_step
from lentilpath_core.pool._reservations import compute_usable_room, make_reservation
from lentilpath_core.pool._share_admission import (
    ShareLoads,
    decide_share_admission,
    measure_shares,
)
from lentilpath_core.pool._state import CustomerUsage, Job, PoolState, Step, Worker, create_pool
from lentilpath_core.pool._steps import begin_occurrence, estimate_critical_paths
from lentilpath_core.resources import Resources

MAX_NAMED_WORKERS = 10
"""Workers that an answer names per step and obstacle, so that its size does not grow with the
fleet."""
MAX_EXPLAINED_STEPS = 4
"""Steps that an answer explains, each at the cost of placing one. The deployments' jobs have up to
four; a question about 100 independent ones took 0.85 s of a leader with 1,000 workers."""


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
    CROWDED = "too-many-runs"
    """One task of a job that has nothing running, a gang and lasting tasks start all the same."""


class ObstacleCount(msgspec.Struct, frozen=True):
    """How many workers one obstacle excludes, and some of them."""

    obstacle: Obstacle
    workers: int
    examples: tuple[WorkerId, ...]


class StepExplanation(msgspec.Struct, frozen=True):
    """Where the tasks of one step would be placed."""

    step: int
    tasks: int
    allowed: int
    """Tasks that the customer's quota lets start now; a gang starts whole or not at all."""
    placed: int
    """Allowed tasks for which there is room now; a gang has room for all of its tasks or for none.
    """
    workers: tuple[WorkerId, ...]
    """Some of the workers that would be chosen."""
    obstacles: tuple[ObstacleCount, ...]
    starts_in_ms: int | None
    """Expected time until all tasks have started; `None` if it cannot be estimated. It counts the
    runs in progress, but not the waiting steps of higher rank."""
    needs_advice: bool
    """Whether the advice service may still exclude workers."""


class CustomerExplanation(msgspec.Struct, frozen=True):
    """What the job's customer holds of the fleet, and what it is entitled to."""

    customer: CustomerId
    is_known: bool
    """Whether the leader has a policy of the customer. Without one, and where calls need keys, one
    task or gang of the customer runs at a time."""
    held: Resources
    """What its runs hold, and its plans that wait for tickets."""
    unseen: Resources
    """Most that workers which have not reported to this leader may still run; counted as held."""
    quota: Resources
    """Most that its running tasks may hold; 0 for no limit."""
    weight: float
    """Jobs per second that it is entitled to."""
    weighted_share: float
    """The dominant share of the fleet that it holds, over its weight; the smallest goes first."""
    is_over_share: bool
    """Whether the job would be beyond the customer's share, and so wait behind all others."""
    within_share_in_ms: int
    """Time until a job of the customer is within its share again."""


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
    """Waiting steps of a smaller rank, or of an equal one, of which earlier jobs go first."""
    steps_waiting: int
    steps: tuple[StepExplanation, ...]
    """The first `MAX_EXPLAINED_STEPS` of the steps that depend on no other step."""
    oldest_report_ms: int | None
    """Age of the oldest last report of a listed worker; `None` if none has reported."""
    customer: CustomerExplanation | None = None
    """`None` for a job without a customer."""


def explain_job(
    state: PoolState, record: JobRecord, policy: QueuePolicy, now: Instant
) -> JobExplanation:
    """Return where the job would be placed at `now`. Changes nothing in `state`."""
    load = measure_loads(state, now).get(policy)
    shares = measure_shares(state, now) if record.customer != NO_CUSTOMER else ShareLoads()
    refusal_ms, reason = _decide_answer(state, record, policy, load, shares)
    critical_path_ms = max(estimate_critical_paths(record.steps), default=0.0)
    objective_ms = get_completion_objective_ms(policy, critical_path_ms)
    job = Job(record, policy, now, objective_ms)
    # The steps are created in a state of their own, so that they are not open in the pool's.
    begin_occurrence(create_pool(state.epoch, now), job, 0)
    customer = _explain_customer(state, job)
    job.is_over_share = customer is not None and customer.is_over_share
    wait_ms = load.wait_ms
    if job.is_over_share and shares.delays_ms:
        wait_ms = find_wait_ms(shares.waits_ms, policy.priority)
    first = [step for step in job.steps.values() if not step.spec.after]
    ranks = [rank_step(state, step, now) for step in state.open_steps.values()]
    own_rank = min(rank_step(state, step, now) for step in first)
    ages = [
        now - worker.reported_at
        for worker in state.workers.values()
        if worker.is_listed and worker.reported_at is not None
    ]
    return JobExplanation(
        is_accepted=not reason,
        reason=reason,
        retry_after_ms=refusal_ms,
        objective_ms=int(objective_ms),
        critical_path_ms=int(critical_path_ms),
        wait_ms=wait_ms,
        steps_ahead=sum(rank <= own_rank for rank in ranks),
        steps_waiting=len(ranks),
        steps=tuple(_explain_step(state, step, now) for step in first[:MAX_EXPLAINED_STEPS]),
        oldest_report_ms=max(ages, default=None),
        customer=customer,
    )


def _decide_answer(
    state: PoolState,
    record: JobRecord,
    policy: QueuePolicy,
    load: QueueLoad,
    shares: ShareLoads,
) -> tuple[int, str]:
    """Return the retry delay and the reason of a refusal, in the order in which hosts decide.

    An empty reason means that the job would be accepted. A delay of 0 with a reason means that
    waiting does not help.
    """
    usage = state.customers.get(record.customer)
    try:
        check_job_fits_quota(record, usage.policy if usage is not None else None)
    except QuotaTooSmall as error:
        return 0, str(error)
    refusal_ms = decide_admission(record, policy, load)
    if refusal_ms is not None:
        return refusal_ms, "the work ahead of it leaves too little time"
    refusal_ms = decide_share_admission(record, policy, load, shares)
    if refusal_ms is not None:
        return refusal_ms, "its customer is over its share, and all other work goes first"
    return 0, ""


def _explain_customer(state: PoolState, job: Job) -> CustomerExplanation | None:
    customer = job.record.customer
    if customer == NO_CUSTOMER:
        return None
    usage = state.customers.get(customer) or CustomerUsage()
    policy = usage.policy or CustomerPolicy(customer)
    delay_ms = usage.bucket.compute_delay_ms(state.wall_now) if usage.policy is not None else 0
    return CustomerExplanation(
        customer=customer,
        is_known=usage.policy is not None,
        held=usage.held,
        unseen=usage.unseen,
        quota=policy.quota,
        weight=policy.weight,
        weighted_share=compute_weighted_share(state, job),
        is_over_share=delay_ms > 0,
        within_share_in_ms=delay_ms,
    )


def _explain_step(state: PoolState, step: Step, now: Instant) -> StepExplanation:
    fitting: list[Worker] = []
    excluded: dict[Obstacle, list[WorkerId]] = {}
    for worker in state.workers.values():
        obstacle = _find_obstacle(state, step, worker, now)
        if obstacle is None:
            fitting.append(worker)
            if is_crowded_for(state, step, worker):
                obstacle = Obstacle.CROWDED
        if obstacle is not None:
            excluded.setdefault(obstacle, []).append(worker.worker)
    allowed = count_allowed(state, step)
    places = _choose_workers(state, step, fitting, allowed, now)
    return StepExplanation(
        step=step.key.step,
        tasks=step.spec.count,
        allowed=allowed,
        placed=len(places),
        workers=_name_some(dict.fromkeys(worker.worker for worker in places)),
        obstacles=tuple(
            ObstacleCount(obstacle, len(workers), _name_some(workers))
            for obstacle, workers in sorted(excluded.items(), key=lambda each: -len(each[1]))
        ),
        starts_in_ms=_estimate_start(state, step, len(places), allowed, now),
        needs_advice=needs_advice(step),
    )


def _name_some(workers: Iterable[WorkerId]) -> tuple[WorkerId, ...]:
    return tuple(sorted(workers)[:MAX_NAMED_WORKERS])


def _choose_workers(
    state: PoolState, step: Step, fitting: list[Worker], allowed: int, now: Instant
) -> list[Worker]:
    options = Options(state, step, fitting, now)
    chosen: list[Worker] = []
    for index in range(allowed):
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


def _estimate_start(
    state: PoolState, step: Step, placed: int, allowed: int, now: Instant
) -> int | None:
    if placed == step.spec.count:
        return 0
    if allowed < step.spec.count:
        # A reservation plans by the workers' room alone, so it says nothing about the quota.
        return None
    usable = [
        worker
        for worker in state.workers.values()
        if _find_lasting_obstacle(step, worker) is None and worker.is_recorded
    ]
    reservation = make_reservation(state, step, usable, now)
    return max(0, reservation.starts_at - now) if reservation is not None else None

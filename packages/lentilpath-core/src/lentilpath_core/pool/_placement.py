"""Placement: chooses which waiting tasks start, and on which workers.

Designed for a fleet at four fifths of its capacity that gets a burst of twice the traffic. Jobs
that can still complete in time go first, workers are reserved for gangs, and small urgent tasks use
the capacity that is left.
"""

from __future__ import annotations

from collections.abc import Iterable

from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool._events import AskAdvice, PoolEffect, StartRun
from lentilpath_core.pool._model import Permission, RunNumber, TaskKey
from lentilpath_core.pool._order import Rank, rank_step
from lentilpath_core.pool._state import Attempt, Phase, Plan, PoolState, Step, Ticket, Worker
from lentilpath_core.pool._steps import (
    allocate_run_number,
    drop_plan,
    get_shared_index,
    update_open_steps,
)
from lentilpath_core.pool._workers import add_attempt
from lentilpath_core.resources import Resources

MAX_REPORT_AGE_MS = 2_000
"""A worker gets no starts if its last answered renewal was sent longer ago than this. It is twice
the interval between renewals."""
TICKET_MARGIN_MS = 250
"""A ticket that expires sooner than this is renewed before use: a start may take this long."""
PLAN_MARGIN_MS = 1_000
"""How much longer than the expected duration of an advice call a plan holds resources."""
ADVICE_RETRY_MS = 600
"""Pause before the next advice call for a step whose call was not answered."""
MAX_RESERVING_GANGS = 3
"""Largest number of gangs that reserve workers at once. More would leave too much of the fleet
idle."""
MAX_UNPLACED_STEPS = 40
"""A pass stops placing after this many steps that fit on no worker, which bounds its duration."""
MAX_WORKERS_PER_CALL = 100
"""Largest number of workers that one advice call may name."""

Places = dict[int, Worker]


def place_waiting(state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    """Start waiting tasks that fit, in the order of their rank, and request missing advice."""
    state.needs_placement = False
    ranked = sorted(
        ((rank_step(step, now), step) for step in state.open_steps.values()),
        key=lambda pair: pair[0],
    )
    state.gang_reservations.clear()
    schedulable = [each for each in state.workers.values() if _is_schedulable(each, now)]
    effects: list[PoolEffect] = []
    unplaced = 0
    reserving = 0
    for rank, step in ranked:
        if step.job.is_recovered and state.unconfirmed_workers:
            continue
        if step.plan is not None:
            if now < step.plan.expires_at:
                continue
            drop_plan(step)
        if step.spec.gang and step.attempts:
            continue
        candidates = _list_candidates(step, schedulable)
        if step.tickets is None and _needs_advice(step):
            effects.extend(_ask_about_new_workers(step, candidates, rank, now))
            continue
        if step.tickets is not None:
            candidates = [each for each in candidates if each.worker in step.tickets]
        if unplaced >= MAX_UNPLACED_STEPS:
            continue
        places = _choose_places(state, step, candidates)
        if not places:
            unplaced += 1
            if _has_unasked_worker(step, schedulable):
                effects.extend(
                    _ask_about_new_workers(step, _list_candidates(step, schedulable), rank, now)
                )
            if step.spec.gang and reserving < MAX_RESERVING_GANGS and rank[0] < 2:
                reserving += _reserve_workers(state, step, candidates)
            continue
        effects.extend(_start_or_renew_tickets(state, step, places, rank, now))
    return tuple(effects)


def _needs_advice(step: Step) -> bool:
    return step.job.policy is not None and step.job.policy.advice is not None


def _is_schedulable(worker: Worker, now: Instant) -> bool:
    return (
        worker.is_listed
        and worker.is_recorded
        and worker.reported_at is not None
        and now <= worker.reported_at + MAX_REPORT_AGE_MS
        and now >= worker.cooldown_until
        and worker.listed.leaves_in_ms is None
    )


def _list_candidates(step: Step, schedulable: Iterable[Worker]) -> list[Worker]:
    """Return the workers with the step's service and label, whether or not they have room."""
    policy = step.job.policy
    if policy is None:
        return []
    label = step.spec.label
    return [
        each
        for each in schedulable
        if each.listed.service == policy.service and (not label or label in each.listed.labels)
    ]


def _has_unasked_worker(step: Step, schedulable: list[Worker]) -> bool:
    policy = step.job.policy
    return (
        _needs_advice(step)
        and policy is not None
        and any(
            each.worker not in step.asked_workers
            for each in schedulable
            if each.listed.service == policy.service
        )
    )


def _ask_about_new_workers(
    step: Step, candidates: list[Worker], rank: Rank, now: Instant
) -> tuple[PoolEffect, ...]:
    if now < step.next_ask_at:
        return ()
    unasked = tuple(each.worker for each in candidates if each.worker not in step.asked_workers)
    if not unasked:
        return ()
    return _request_advice(step, unasked[:MAX_WORKERS_PER_CALL], rank, now)


def _request_advice(
    step: Step, workers: tuple[WorkerId, ...], rank: Rank, now: Instant
) -> tuple[PoolEffect, ...]:
    policy = step.job.policy
    assert policy is not None
    assert policy.advice is not None
    cost_ms = policy.advice.estimate_call_ms(len(workers))
    step.next_ask_at = Instant(int(now + ADVICE_TIMEOUT_MS + cost_ms))
    return (AskAdvice(step.key, workers, cost_ms, rank),)


ADVICE_TIMEOUT_MS = 3_000
"""An advice call is repeated if it is not answered this long after its expected duration."""


def handle_advice(
    state: PoolState,
    step: Step,
    asked: tuple[WorkerId, ...],
    allowed: tuple[Permission, ...] | None,
    valid_until: Instant,
    now: Instant,
) -> tuple[PoolEffect, ...]:
    """Store the tickets that the advice service granted, and start the tasks that waited for them.

    `allowed` is `None` if the service did not answer.
    """
    state.needs_placement = True
    step.next_ask_at = Instant(now)
    if allowed is None:
        step.next_ask_at = Instant(now + ADVICE_RETRY_MS)
        drop_plan(step)
        return ()
    step.asked_workers.update(asked)
    tickets = step.tickets if step.tickets is not None else {}
    step.tickets = tickets
    for permission in allowed:
        tickets[permission.worker] = Ticket(permission.ticket, valid_until)
    plan = step.plan
    drop_plan(step)
    if plan is None or step.key not in state.open_steps:
        return ()
    places = {
        index: worker
        for index, worker in plan.places.items()
        if index in step.waiting
        and _is_schedulable(worker, now)
        and step.spec.counted_room.fits_in(worker.free)
        and _has_fresh_ticket(step, worker, now)
    }
    if step.spec.gang and len(places) < step.spec.count:
        return ()
    return _start_all(state, step, places, now)


def _has_fresh_ticket(step: Step, worker: Worker, now: Instant) -> bool:
    if not _needs_advice(step):
        return True
    ticket = (step.tickets or {}).get(worker.worker)
    return ticket is not None and now + TICKET_MARGIN_MS <= ticket.valid_until


def _choose_places(state: PoolState, step: Step, candidates: list[Worker]) -> Places:
    """Return the cheapest worker for each waiting task that fits, by task index.

    A gang gets places for all its tasks or for none.
    """
    spec = step.spec
    room = spec.counted_room
    fitting = [each for each in candidates if room.fits_in(each.free)]
    if not fitting:
        return {}
    free = {each.worker: each.free for each in fitting}
    running_by_worker: dict[WorkerId, int] = {}
    if spec.most_per_worker:
        for attempt in step.attempts.values():
            running_by_worker[attempt.worker.worker] = (
                running_by_worker.get(attempt.worker.worker, 0) + 1
            )
    if spec.gang and not _has_gang_slots(step, fitting, running_by_worker):
        return {}
    rack_costs = _compute_rack_costs(step, fitting) if spec.gang and spec.one_rack else None
    places: Places = {}
    for index in sorted(step.waiting):
        avoided_workers = step.avoided_workers.get(index, ())
        best: Worker | None = None
        best_cost = 0.0
        for worker in fitting:
            remaining = free[worker.worker]
            if not room.fits_in(remaining):
                continue
            if (
                spec.most_per_worker
                and running_by_worker.get(worker.worker, 0) >= spec.most_per_worker
            ):
                continue
            reserved_for = state.gang_reservations.get(worker.worker)
            if (
                reserved_for is not None
                and reserved_for != step.key
                and not _may_use_reserved_workers(step)
            ):
                continue
            cost = _compute_cost(step, worker, remaining)
            if reserved_for is not None and reserved_for != step.key:
                cost += RESERVED_COST
            if worker.worker in avoided_workers:
                cost += AVOIDED_COST
            if rack_costs is not None:
                cost += rack_costs[worker.listed.rack]
            if best is None or cost < best_cost:
                best, best_cost = worker, cost
        if best is None:
            if spec.gang:
                return {}
            break
        places[index] = best
        free[best.worker] = free[best.worker] - room
        running_by_worker[best.worker] = running_by_worker.get(best.worker, 0) + 1
    return places


REMOTE_COST = 4.0
"""Cost of a worker on another rack than the step's data. Remote runs take up to three times as
long, so it exceeds any difference in fit, which is at most 2. Also the cost of a rack that is too
small for a gang, and of a worker with serving tasks for a filling step."""
SLOW_COST = 8.0
"""Cost of a slow worker. It exceeds `REMOTE_COST`, because a slow worker delays a run by more than
a remote one does."""
RESERVED_COST = 16.0
"""Cost of a worker that is reserved for a gang. It exceeds `SLOW_COST`, because a gang that lacks
one worker delays all its tasks."""
AVOIDED_COST = 32.0
"""Cost of a worker on which the task has failed. It exceeds all other costs, because the task most
likely fails there again."""


def _compute_cost(step: Step, worker: Worker, remaining: Resources) -> float:
    """Return the cost of a worker for the step; the lowest cost wins.

    Without penalties the fullest worker costs least (best fit).
    """
    capacity = worker.listed.capacity
    if step.spec.fills:
        return _compute_filling_cost(step, worker, remaining)
    room = step.spec.counted_room
    cost = (remaining.millicores - room.millicores) / max(capacity.millicores, 1)
    cost += (remaining.memory_mib - room.memory_mib) / max(capacity.memory_mib, 1)
    if step.spec.data_rack and worker.listed.rack != step.spec.data_rack:
        cost += REMOTE_COST
    if worker.is_slow:
        cost += SLOW_COST
    return cost


def _compute_filling_cost(step: Step, worker: Worker, remaining: Resources) -> float:
    """Return the cost of a worker for a filling step, which gets only idle processor time.

    Workers with more idle processor time cost less; those that run serving tasks cost more.
    """
    capacity = max(worker.listed.capacity.millicores, 1)
    filling_millicores = 0
    cost = 0.0
    for attempt in worker.attempts.values():
        if attempt.step is None:
            continue
        if attempt.step.spec.fills:
            filling_millicores += attempt.step.spec.room.millicores
        if attempt.step.spec.tail_target_ms:
            cost = REMOTE_COST
    if step.spec.data_rack and worker.listed.rack != step.spec.data_rack:
        cost += REMOTE_COST
    return cost + (filling_millicores - remaining.millicores) / capacity


def _may_use_reserved_workers(step: Step) -> bool:
    return step.job.policy is not None and step.job.policy.priority == 0


def _count_slots(step: Step, room_left: Resources, running: int) -> int:
    room = step.spec.counted_room
    slots = step.spec.count
    if room.millicores:
        slots = min(slots, room_left.millicores // room.millicores)
    if room.memory_mib:
        slots = min(slots, room_left.memory_mib // room.memory_mib)
    if room.accelerators:
        slots = min(slots, room_left.accelerators // room.accelerators)
    if step.spec.most_per_worker:
        slots = min(slots, step.spec.most_per_worker - running)
    return max(0, int(slots))


def _has_gang_slots(
    step: Step, fitting: list[Worker], running_by_worker: dict[WorkerId, int]
) -> bool:
    need = step.spec.count
    for worker in fitting:
        need -= _count_slots(step, worker.free, running_by_worker.get(worker.worker, 0))
        if need <= 0:
            return True
    return False


def _compute_rack_costs(step: Step, fitting: list[Worker]) -> dict[str, float]:
    """Return a cost for each rack that steers a gang into the rack with the most free slots."""
    slots: dict[str, int] = {}
    for worker in fitting:
        rack = worker.listed.rack
        slots[rack] = slots.get(rack, 0) + _count_slots(step, worker.free, 0)
    return {
        rack: REMOTE_COST * (0 if count >= step.spec.count else 1) - count * 1e-3
        for rack, count in slots.items()
    }


def _reserve_workers(state: PoolState, step: Step, candidates: list[Worker]) -> int:
    """Reserve for a gang the workers that are closest to having room for it.

    Returns 1, or 0 if the workers that are not reserved yet are too few for the gang.
    """
    need = step.spec.count
    order = sorted(
        (each for each in candidates if each.worker not in state.gang_reservations),
        key=lambda each: (each.is_slow, -_count_slots(step, each.free, 0), each.worker),
    )
    chosen: list[Worker] = []
    for worker in order:
        if need <= 0:
            break
        slots = _count_slots(step, worker.listed.capacity, 0)
        if slots:
            chosen.append(worker)
            need -= slots
    if need > 0:
        return 0
    for worker in chosen:
        state.gang_reservations[worker.worker] = step.key
    return 1


def _start_or_renew_tickets(
    state: PoolState, step: Step, places: Places, rank: Rank, now: Instant
) -> tuple[PoolEffect, ...]:
    stale = {
        index: worker
        for index, worker in places.items()
        if not _has_fresh_ticket(step, worker, now)
    }
    if not stale:
        return _start_all(state, step, places, now)
    effects: list[PoolEffect] = []
    if not step.spec.gang:
        fresh = {index: worker for index, worker in places.items() if index not in stale}
        effects.extend(_start_all(state, step, fresh, now))
        places = stale
    if now < step.next_ask_at or step.key not in state.open_steps:
        return tuple(effects)
    workers = tuple(dict.fromkeys(worker.worker for worker in places.values()))
    ask = _request_advice(step, workers[:MAX_WORKERS_PER_CALL], rank, now)
    policy = step.job.policy
    assert policy is not None
    assert policy.advice is not None
    hold_ms = policy.advice.estimate_call_ms(len(workers)) + PLAN_MARGIN_MS
    step.plan = Plan(dict(places), Instant(int(now + hold_ms)))
    for worker in places.values():
        worker.free = worker.free - step.spec.counted_room
    effects.extend(ask)
    return tuple(effects)


def _start_all(
    state: PoolState, step: Step, places: Places, now: Instant
) -> tuple[PoolEffect, ...]:
    effects: list[PoolEffect] = []
    shared_run: RunNumber | None = None
    for index, worker in sorted(places.items()):
        if step.spec.gang and shared_run is not None:
            run = shared_run
        else:
            run = shared_run = allocate_run_number(state, step, index)
        task = TaskKey(*step.key, index)
        attempt = Attempt(task, run, worker, step, step.spec.counted_room, Phase.STARTING, now)
        attempt.progressed_at = now
        add_attempt(attempt)
        ticket = (step.tickets or {}).get(worker.worker)
        checkpoint = step.checkpoints.get(get_shared_index(step.spec, index), "")
        effects.append(
            StartRun(
                worker.worker,
                worker.life,
                task,
                run,
                step.job.record.text,
                checkpoint,
                ticket.value if ticket is not None else "",
                now - step.job.accepted_at,
                rank_step(step, now)[0],
            )
        )
    update_open_steps(state, step)
    return tuple(effects)

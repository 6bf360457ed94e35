"""Chooses which waiting tasks start and where, when the fleet is nearly full.

Answers the load pattern of a fleet at four fifths of its room that meets a burst of twice the
traffic: work that can still earn its full worth goes first, gangs get room gathered for them, and
small urgent work fills what is left.
"""

from __future__ import annotations

from collections.abc import Iterable

from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool._events import AskAdvice, PoolEffect, StartRun
from lentilpath_core.pool._model import Permission, Run, TaskKey
from lentilpath_core.pool._order import Rank, rank_step
from lentilpath_core.pool._state import Attempt, Phase, Plan, PoolState, Step, Ticket, Worker
from lentilpath_core.pool._steps import (
    drop_plan,
    get_shared_index,
    note_waiting,
    take_run_number,
)
from lentilpath_core.pool._workers import hold_attempt
from lentilpath_core.resources import Resources

FRESH_MS = 2_000
"""A worker whose last answered renewal was sent longer ago gets no starts; twice its spacing."""
TICKET_MARGIN_MS = 250
"""A ticket that lapses sooner is renewed before it is used; a start may take this long."""
PLAN_MARGIN_MS = 1_000
"""How much longer than the answer's expected time room is held for a step."""
ASK_AGAIN_MS = 600
"""Pause after an advice call that was not answered or allowed no worker."""
MAX_GATHERING_GANGS = 3
"""Gangs for which room gathers at once; more would leave too much of the fleet idle."""
MAX_FAILED_TRIES = 40
"""Steps that may find no room in one pass, which bounds its time."""
MAX_ASKED_WORKERS = 100
"""Workers that one advice call may name."""

Places = dict[int, Worker]


def place_waiting(state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    """Start what can start now, by rank, and ask for the advice that is missing."""
    state.needs_placing = False
    ranked = sorted(
        ((rank_step(step, now), step) for step in state.open_steps.values()),
        key=lambda pair: pair[0],
    )
    state.reserved.clear()
    usable = [each for each in state.workers.values() if _is_usable(each, now)]
    effects: list[PoolEffect] = []
    failed = 0
    gathering = 0
    for rank, step in ranked:
        if step.job.is_recovered and state.unsettled:
            continue
        if step.plan is not None:
            if now < step.plan.expires_at:
                continue
            drop_plan(step)
        if step.spec.gang and step.attempts:
            continue
        candidates = _list_candidates(step, usable)
        if step.tickets is None and _needs_advice(step):
            effects.extend(_ask_first(step, candidates, rank, now))
            continue
        if step.tickets is not None:
            candidates = [each for each in candidates if each.worker in step.tickets]
        if failed >= MAX_FAILED_TRIES:
            continue
        places = _choose_places(state, step, candidates)
        if not places:
            failed += 1
            if _is_unasked_somewhere(step, usable):
                effects.extend(_ask_first(step, _list_candidates(step, usable), rank, now))
            if step.spec.gang and gathering < MAX_GATHERING_GANGS and rank[0] < 2:
                gathering += _gather_room(state, step, candidates)
            continue
        effects.extend(_use_places(state, step, places, rank, now))
    return tuple(effects)


def _needs_advice(step: Step) -> bool:
    return step.job.policy is not None and step.job.policy.advice is not None


def _is_usable(worker: Worker, now: Instant) -> bool:
    return (
        worker.is_listed
        and worker.is_recorded
        and worker.reported_at is not None
        and now <= worker.reported_at + FRESH_MS
        and now >= worker.closed_until
        and worker.listed.leaves_in_ms is None
    )


def _list_candidates(step: Step, usable: Iterable[Worker]) -> list[Worker]:
    """Return the workers that the step's queue and label permit, whether or not they have room."""
    policy = step.job.policy
    if policy is None:
        return []
    label = step.spec.label
    return [
        each
        for each in usable
        if each.listed.service == policy.service and (not label or label in each.listed.labels)
    ]


def _is_unasked_somewhere(step: Step, usable: list[Worker]) -> bool:
    policy = step.job.policy
    return (
        _needs_advice(step)
        and policy is not None
        and any(
            each.worker not in step.asked
            for each in usable
            if each.listed.service == policy.service
        )
    )


def _ask_first(
    step: Step, candidates: list[Worker], rank: Rank, now: Instant
) -> tuple[PoolEffect, ...]:
    if now < step.ask_due_at:
        return ()
    unasked = tuple(each.worker for each in candidates if each.worker not in step.asked)
    if not unasked:
        return ()
    return _ask(step, unasked[:MAX_ASKED_WORKERS], rank, now)


def _ask(
    step: Step, workers: tuple[WorkerId, ...], rank: Rank, now: Instant
) -> tuple[PoolEffect, ...]:
    policy = step.job.policy
    assert policy is not None
    assert policy.advice is not None
    cost_ms = policy.advice.estimate_call_ms(len(workers))
    step.ask_due_at = Instant(int(now + ASK_TIMEOUT_MS + cost_ms))
    return (AskAdvice(step.key, workers, cost_ms, rank),)


ASK_TIMEOUT_MS = 3_000
"""An advice call that was not answered this long after its expected time is made again."""


def take_advice(
    state: PoolState,
    step: Step,
    asked: tuple[WorkerId, ...],
    allowed: tuple[Permission, ...] | None,
    valid_until: Instant,
    now: Instant,
) -> tuple[PoolEffect, ...]:
    """Take in the advice service's answer, and start what was planned on it."""
    state.needs_placing = True
    step.ask_due_at = Instant(now)
    if allowed is None:
        step.ask_due_at = Instant(now + ASK_AGAIN_MS)
        drop_plan(step)
        return ()
    step.asked.update(asked)
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
        and _is_usable(worker, now)
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
    """Return a worker for as many waiting tasks as have room; all of a gang or none."""
    spec = step.spec
    room = spec.counted_room
    fitting = [each for each in candidates if room.fits_in(each.free)]
    if not fitting:
        return {}
    free = {each.worker: each.free for each in fitting}
    held: dict[WorkerId, int] = {}
    if spec.most_per_worker:
        for attempt in step.attempts.values():
            held[attempt.worker.worker] = held.get(attempt.worker.worker, 0) + 1
    if spec.gang and not _has_slots(step, fitting, held):
        return {}
    racks = _prefer_racks(step, fitting) if spec.gang and spec.one_rack else None
    places: Places = {}
    for index in sorted(step.waiting):
        avoided = step.avoided.get(index, ())
        best: Worker | None = None
        best_cost = 0.0
        for worker in fitting:
            left = free[worker.worker]
            if not room.fits_in(left):
                continue
            if spec.most_per_worker and held.get(worker.worker, 0) >= spec.most_per_worker:
                continue
            reserved_for = state.reserved.get(worker.worker)
            if reserved_for is not None and reserved_for != step.key and not _may_intrude(step):
                continue
            cost = _get_cost(step, worker, left)
            if reserved_for is not None and reserved_for != step.key:
                cost += RESERVED_COST
            if worker.worker in avoided:
                cost += AVOIDED_COST
            if racks is not None:
                cost += racks[worker.listed.rack]
            if best is None or cost < best_cost:
                best, best_cost = worker, cost
        if best is None:
            if spec.gang:
                return {}
            break
        places[index] = best
        free[best.worker] = free[best.worker] - room
        held[best.worker] = held.get(best.worker, 0) + 1
    return places


REMOTE_COST = 4.0
"""Outweighs any difference in fit, at most 2: remote runs take up to three times as long."""
SLOW_COST = 8.0
"""Outweighs a remote place: a slow worker is slower than the remote factor."""
RESERVED_COST = 16.0
"""Outweighs a slow place: a gang that waits for one worker waits with all its tasks."""
AVOIDED_COST = 32.0
"""Outweighs all others: where a task has failed it most likely fails again."""


def _get_cost(step: Step, worker: Worker, left: Resources) -> float:
    """Return how bad a place is; among good ones the fullest worker wins."""
    capacity = worker.listed.capacity
    if step.spec.fills:
        return _get_filling_cost(step, worker, left)
    room = step.spec.counted_room
    cost = (left.millicores - room.millicores) / max(capacity.millicores, 1)
    cost += (left.memory_mib - room.memory_mib) / max(capacity.memory_mib, 1)
    if step.spec.data_rack and worker.listed.rack != step.spec.data_rack:
        cost += REMOTE_COST
    if worker.is_slow:
        cost += SLOW_COST
    return cost


def _get_filling_cost(step: Step, worker: Worker, left: Resources) -> float:
    """Return how bad a place is for work that only gets what others leave."""
    capacity = max(worker.listed.capacity.millicores, 1)
    taken = 0
    cost = 0.0
    for attempt in worker.attempts.values():
        if attempt.step is None:
            continue
        if attempt.step.spec.fills:
            taken += attempt.step.spec.room.millicores
        if attempt.step.spec.tail_target_ms:
            cost = REMOTE_COST
    if step.spec.data_rack and worker.listed.rack != step.spec.data_rack:
        cost += REMOTE_COST
    return cost + (taken - left.millicores) / capacity


def _may_intrude(step: Step) -> bool:
    return step.job.policy is not None and step.job.policy.priority == 0


def _count_slots(step: Step, room_left: Resources, held: int) -> int:
    room = step.spec.counted_room
    slots = step.spec.count
    if room.millicores:
        slots = min(slots, room_left.millicores // room.millicores)
    if room.memory_mib:
        slots = min(slots, room_left.memory_mib // room.memory_mib)
    if room.accelerators:
        slots = min(slots, room_left.accelerators // room.accelerators)
    if step.spec.most_per_worker:
        slots = min(slots, step.spec.most_per_worker - held)
    return max(0, int(slots))


def _has_slots(step: Step, fitting: list[Worker], held: dict[WorkerId, int]) -> bool:
    need = step.spec.count
    for worker in fitting:
        need -= _count_slots(step, worker.free, held.get(worker.worker, 0))
        if need <= 0:
            return True
    return False


def _prefer_racks(step: Step, fitting: list[Worker]) -> dict[str, float]:
    """Return a cost for each rack, so that a gang gathers in the rack with the most room."""
    slots: dict[str, int] = {}
    for worker in fitting:
        rack = worker.listed.rack
        slots[rack] = slots.get(rack, 0) + _count_slots(step, worker.free, 0)
    return {
        rack: REMOTE_COST * (0 if count >= step.spec.count else 1) - count * 1e-3
        for rack, count in slots.items()
    }


def _gather_room(state: PoolState, step: Step, candidates: list[Worker]) -> int:
    """Keep later work off the workers on which a gang will soonest find room; return 1 if so."""
    need = step.spec.count
    order = sorted(
        (each for each in candidates if each.worker not in state.reserved),
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
        state.reserved[worker.worker] = step.key
    return 1


def _use_places(
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
    if now < step.ask_due_at or step.key not in state.open_steps:
        return tuple(effects)
    workers = tuple(dict.fromkeys(worker.worker for worker in places.values()))
    ask = _ask(step, workers[:MAX_ASKED_WORKERS], rank, now)
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
    shared_run: Run | None = None
    for index, worker in sorted(places.items()):
        if step.spec.gang and shared_run is not None:
            run = shared_run
        else:
            run = shared_run = take_run_number(state, step, index)
        task = TaskKey(*step.key, index)
        attempt = Attempt(task, run, worker, step, step.spec.counted_room, Phase.STARTING, now)
        attempt.percent_at = now
        hold_attempt(attempt)
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
    note_waiting(state, step)
    return tuple(effects)

"""Placement: chooses which waiting tasks start, and on which workers.

Designed for a fleet at four fifths of its capacity that gets a burst of twice the traffic. Jobs
that can still complete in time go first, workers are reserved for gangs, and small urgent tasks use
the capacity that is left.
"""

from __future__ import annotations

from collections.abc import Iterable

from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool._advice import (
    ask_about_new_workers,
    has_fresh_ticket,
    is_awaiting_advice,
    may_request_advice,
    may_start_or_ask,
    needs_advice,
    record_answer,
    request_advice,
)
from lentilpath_core.pool._candidates import (
    Candidates,
    is_schedulable,
    list_allowed,
    list_candidates,
)
from lentilpath_core.pool._crashes import (
    count_suspicions,
    list_startable,
    may_start,
    record_suspicion,
    starts_apart,
)
from lentilpath_core.pool._customers import count_allowed, count_unseen_runs, hold_room
from lentilpath_core.pool._events import PoolEffect, StartRun
from lentilpath_core.pool._model import Permission, RunNumber, TaskKey
from lentilpath_core.pool._options import Options
from lentilpath_core.pool._order import Rank, rank_step
from lentilpath_core.pool._reservations import (
    count_reserving_gangs,
    hold_reservation,
    is_plan_due,
    make_reservation,
    reduce_spare,
)
from lentilpath_core.pool._runs import add_attempt, count_unanswered_starts
from lentilpath_core.pool._shares import list_by_rank
from lentilpath_core.pool._state import Attempt, Phase, Plan, PoolState, Step, Worker
from lentilpath_core.pool._steps import (
    allocate_run_number,
    drop_plan,
    get_shared_index,
    update_open_steps,
)
from lentilpath_core.resources import Resources

PLAN_MARGIN_MS = 1_000
"""How much longer than the expected duration of an advice call a plan holds resources."""
MAX_RESERVING_GANGS = 3
"""Largest number of gangs that reserve workers at once. More would leave too much of the fleet
idle where there is usually room."""
MAX_RESERVING_GANGS_UNDER_CONTENTION = 8
"""The same where callers are expected to compete for too little capacity. A gang without a
reservation waits until smaller work leaves room by chance, so it covers the gangs that a burst
leaves waiting at once. More gangs find no workers that are not reserved."""
MAX_UNPLACED_STEPS = 40
"""A pass examines steps in the order of their rank until this many have fit on no worker. The bound
keeps a pass short on a small host."""
MAX_UNPLACED_TURNS = 20
"""After that, a pass examines the remaining steps until this many more have fit on no worker, those
first that were not examined for longest. So each step has its turn, whatever waits before it."""
MAX_STARTS = 256
"""A pass starts this many tasks, or a last gang beyond them; the next pass goes on. All starts of a
pass are sent in one turn of the leader's event loop, which must stay far shorter than a lease."""
MAX_TURN_STARTS = 64
"""After that, a pass starts this many more, of those steps that were not examined for longest, if
the step that the bound has interrupted finds room for its other tasks. So a large step does not
hold up small ones that fit beside it."""
MAX_UNANSWERED_STARTS = 32
"""A step gets no more tasks on a worker while so many of its starts there have no answer, if it
finds room for all its tasks. A worker is sent a few starts at a time, and those of other jobs would
wait behind them."""

Places = dict[int, Worker]


def place_waiting(state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    """Start waiting tasks that fit, in the order of their rank, and request missing advice."""
    state.needs_placement = False
    count_unseen_runs(state)
    state.reservations.clear()
    schedulable = [each for each in state.workers.values() if is_schedulable(each, now)]
    known_candidates: Candidates = {}
    effects: list[PoolEffect] = []
    remaining: list[tuple[Rank, Step, list[Worker]]] = []
    unplaced = started = 0
    is_contended = has_room_left = False
    for rank, step in list_by_rank(state, now):
        if not _needs_places(state, step, now) or not may_start_or_ask(state, step, rank, now):
            continue
        candidates = list_candidates(step, schedulable, known_candidates)
        if step.tickets is None and needs_advice(step):
            effects.extend(ask_about_new_workers(state, step, candidates, rank, now))
            is_contended |= not candidates
        elif unplaced >= MAX_UNPLACED_STEPS or started >= MAX_STARTS:
            remaining.append((rank, step, candidates))
        else:
            most = MAX_STARTS - started
            is_placed, caused = _place_step(state, step, candidates, most, rank, now)
            effects.extend(caused)
            unplaced += not is_placed
            started += _count_starts(caused)
            is_contended |= not is_placed and not is_awaiting_advice(step, now)
            if started >= MAX_STARTS:
                has_room_left = bool(step.waiting) and _fits_whole(state, step, candidates, now)
    is_interrupted = started >= MAX_STARTS
    # The steps that an interrupted pass has not examined say nothing about the room.
    is_contended |= is_interrupted and state.lacks_room
    state.lacks_room = is_contended
    state.is_contended = is_contended and state.expects_contention
    if is_interrupted:
        state.needs_placement = True
        if not has_room_left:
            return tuple(effects)
    remaining.sort(key=lambda each: each[1].examined_at)
    left = MAX_TURN_STARTS if is_interrupted else MAX_STARTS - started
    unplaced = 0
    for rank, step, candidates in remaining:
        if unplaced >= MAX_UNPLACED_TURNS:
            break
        if left <= 0:
            state.needs_placement = True
            break
        is_placed, caused = _place_step(state, step, candidates, left, rank, now)
        effects.extend(caused)
        unplaced += not is_placed
        left -= _count_starts(caused)
    return tuple(effects)


def _count_starts(effects: Iterable[PoolEffect]) -> int:
    return sum(isinstance(each, StartRun) for each in effects)


def _fits_whole(state: PoolState, step: Step, candidates: list[Worker], now: Instant) -> bool:
    """Return whether there is room now for all waiting tasks of a step."""
    options = Options(state, step, list_allowed(step, candidates), now)
    return options.count_slots() >= len(step.waiting)


def _get_max_reserving_gangs(state: PoolState) -> int:
    if state.expects_contention:
        return MAX_RESERVING_GANGS_UNDER_CONTENTION
    return MAX_RESERVING_GANGS


def _needs_places(state: PoolState, step: Step, now: Instant) -> bool:
    """Return whether the step's waiting tasks are to be placed in this pass.

    Those of a customer at its quota are not, so they neither count as unplaced nor ask for advice.
    """
    if step.job.is_recovered and state.unconfirmed_workers:
        return False
    if step.plan is not None:
        if now < step.plan.expires_at:
            return False
        drop_plan(state, step)
    if not count_allowed(state, step):
        return False
    return bool(list_startable(step, now)) and not (step.spec.gang and step.attempts)


def _place_step(
    state: PoolState,
    step: Step,
    candidates: list[Worker],
    most_starts: int,
    rank: Rank,
    now: Instant,
) -> tuple[bool, tuple[PoolEffect, ...]]:
    """Start the step's tasks that fit, or prepare their start; return whether any task fits.

    At most `most_starts`, but for a gang, which is started whole.
    """
    step.examined_at = now
    step.awaits_answers = False
    allowed = list_allowed(step, candidates)
    places = _choose_places(state, step, allowed, most_starts, now)
    if places:
        return True, _start_or_renew_tickets(state, step, places, rank, now)
    if step.starting and not step.spec.gang and _fits_whole(state, step, candidates, now):
        step.awaits_answers = True
        return True, ()
    calls: tuple[PoolEffect, ...] = ()
    if needs_advice(step):
        calls = ask_about_new_workers(state, step, candidates, rank, now)
    if (
        step.spec.gang
        and not rank.is_worthless
        and count_reserving_gangs(state) < _get_max_reserving_gangs(state)
    ):
        _reserve(state, step, allowed, now)
    return False, calls


def _reserve(state: PoolState, step: Step, candidates: list[Worker], now: Instant) -> None:
    """Hold resources for a gang that does not fit, unless it can never fit there."""
    if is_plan_due(step, now):
        step.planned_at = now
        step.reservation = make_reservation(state, step, candidates, now)
    if step.reservation is not None:
        hold_reservation(state, step.reservation)


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
    record_answer(state, step, asked, allowed, valid_until, now)
    if allowed is None:
        drop_plan(state, step)
        return ()
    plan = step.plan
    if plan is not None and is_awaiting_advice(step, now):
        return ()
    drop_plan(state, step)
    if plan is None or step.key not in state.open_steps:
        return ()
    places = _confirm_places(state, step, plan.places, now)
    if step.spec.gang and len(places) < step.spec.count:
        return ()
    return _start_all(state, step, places, now)


def _confirm_places(state: PoolState, step: Step, planned: Places, now: Instant) -> Places:
    """Return the planned places that are still possible, all of them together."""
    places: Places = {}
    left: dict[WorkerId, Resources] = {}
    room = step.spec.counted_room
    most = count_allowed(state, step)
    for index, worker in sorted(planned.items()):
        if len(places) >= most:
            break
        free = left.get(worker.worker, worker.free)
        if (
            step.is_waiting(index)
            and is_schedulable(worker, now)
            and may_start(step, index, worker)
            and room.fits_in(free)
            and has_fresh_ticket(step, worker, now)
        ):
            places[index] = worker
            left[worker.worker] = free - room
    return places


def _choose_places(
    state: PoolState, step: Step, candidates: list[Worker], most_starts: int, now: Instant
) -> Places:
    """Return the cheapest worker for each waiting task that fits, by task index.

    Their number is limited by `most_starts` and by the quota of the step's customer. A gang gets
    places for all its tasks or for none.
    """
    options = Options(state, step, candidates, now)
    if step.spec.gang and options.count_slots() < step.spec.count:
        return {}
    places: Places = {}
    most = count_allowed(state, step)
    if not step.spec.gang:
        most = min(most, most_starts)
        if options.count_slots() >= len(step.waiting):
            options.bound_starts(MAX_UNANSWERED_STARTS, count_unanswered_starts(step))
    for index in list_startable(step, now):
        if len(places) >= most:
            break
        is_suspected = starts_apart(step, index)
        best = options.take_quietest() if is_suspected else options.take_cheapest(index)
        if best is None:
            if step.spec.gang:
                return {}
            if is_suspected:
                continue
            break
        places[index] = best
    return places


def _start_or_renew_tickets(
    state: PoolState, step: Step, places: Places, rank: Rank, now: Instant
) -> tuple[PoolEffect, ...]:
    stale = {
        index: worker for index, worker in places.items() if not has_fresh_ticket(step, worker, now)
    }
    if not stale:
        return _start_all(state, step, places, now)
    effects: list[PoolEffect] = []
    if not step.spec.gang:
        fresh = {index: worker for index, worker in places.items() if index not in stale}
        effects.extend(_start_all(state, step, fresh, now))
        places = stale
    if is_awaiting_advice(step, now) or step.key not in state.open_steps:
        return tuple(effects)
    if not may_request_advice(state, rank):
        return tuple(effects)
    workers = list(dict.fromkeys(worker.worker for worker in places.values()))
    calls = request_advice(state, step, workers, rank, now)
    hold_ms = max(call.cost_ms for call in calls) + PLAN_MARGIN_MS
    step.plan = Plan(dict(places), Instant(int(now + hold_ms)))
    for index, worker in places.items():
        worker.free = worker.free - step.spec.counted_room
        worker.planned_runs += 1
        hold_room(state, step.job.record.customer, step.spec.counted_room)
        if starts_apart(step, index):
            worker.kept_for = TaskKey(*step.key, index)
    effects.extend(calls)
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
        attempt.customer = step.job.record.customer
        add_attempt(state, attempt)
        is_suspected = count_suspicions(step, index) > 0
        if starts_apart(step, index):
            worker.kept_for = task
        reduce_spare(state, step, worker)
        ticket = (step.tickets or {}).get(worker.worker)
        checkpoint = step.checkpoints.get(get_shared_index(step.spec, index), "")
        if is_suspected:
            effects.extend(record_suspicion(attempt))
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
                rank_step(state, step, now).tier,
                is_suspected,
                ticket.valid_until if ticket is not None else None,
            )
        )
    update_open_steps(state, step)
    return tuple(effects)

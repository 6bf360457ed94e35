"""Advice: chooses which workers a step's calls to the advice service name, and splits the calls.

Designed for a burst of wide jobs on a fleet that is nearly full. A call takes longer the more
workers it names, and the service allows only some of them, so a gang that asks in one call after
the other starts seconds later than one that asks about all the workers it needs at once.
"""

from __future__ import annotations

import math

from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool._events import AskAdvice
from lentilpath_core.pool._fit import count_slots
from lentilpath_core.pool._model import AdvicePolicy, Permission
from lentilpath_core.pool._order import Rank
from lentilpath_core.pool._state import PoolState, Step, Ticket, Worker

TICKET_MARGIN_MS = 250
"""A ticket that expires sooner than this is renewed before use: a start may take this long."""
RETRY_MS = 600
"""Pause before the next advice call for a step whose call was not answered."""
ANSWER_TIMEOUT_MS = 3_000
"""An advice call is repeated if it is not answered this long after its expected duration."""
MAX_WORKERS_PER_CALL = 100
"""Largest number of workers that one advice call may name."""
MIN_WORKERS_ASKED = 30
"""Calls about fewer workers are hardly shorter, and leave a step little choice."""
MAX_BACKLOG_MS = 600
"""No call is requested while the calls that wait for a host take each host this long. A plan holds
its places for 1,000 ms more than its call takes. If answers came later, the places would be held by
the plans of other steps, whose answers would come too late as well."""
TOO_LATE_BACKLOG_MS = 300
"""The same for steps that are too late to be of value, so that others find room before them."""
SLOT_COVERAGE = 2.0
"""Slots that the allowed workers should have for each waiting task. Other steps take some of the
slots while the call is made."""
INITIAL_ALLOWED_SHARE = 0.5
"""Share of the workers that a queue's steps are expected to be allowed, before the first answer."""
ALLOWED_SHARE_WEIGHT = 0.1
"""Weight of a new answer in the moving average of a queue's allowed share."""


def needs_advice(step: Step) -> bool:
    """Return whether the step may start only on workers that the advice service allows."""
    return step.job.policy is not None and step.job.policy.advice is not None


def has_fresh_ticket(step: Step, worker: Worker, now: Instant) -> bool:
    """Return whether the step may start on the worker now."""
    if not needs_advice(step):
        return True
    ticket = (step.tickets or {}).get(worker.worker)
    if ticket is None or ticket.life != worker.life:
        return False
    return now + TICKET_MARGIN_MS <= ticket.valid_until


def is_awaiting_advice(step: Step, now: Instant) -> bool:
    """Return whether a call for the step is in flight, or it is too early for another one."""
    return now < step.next_ask_at or (bool(step.asking) and now < step.asking_until)


def may_request_advice(state: PoolState, rank: Rank) -> bool:
    """Return whether the service would answer another call soon enough.

    Calls are answered in the order of their rank, so only those that go first count.
    """
    limit_ms = TOO_LATE_BACKLOG_MS if rank.tier == 2 else MAX_BACKLOG_MS
    if not state.advice_hosts:
        return True
    ahead_ms = sum(ms for key, ms in state.advice_backlog_ms.items() if key <= rank.get_class())
    return ahead_ms < limit_ms * state.advice_hosts


def may_start_or_ask(state: PoolState, step: Step, rank: Rank, now: Instant) -> bool:
    """Return whether the step may have a fresh ticket, or may ask for one."""
    if not needs_advice(step) or now + TICKET_MARGIN_MS <= step.tickets_valid_until:
        return True
    return may_request_advice(state, rank)


def ask_about_new_workers(
    state: PoolState, step: Step, candidates: list[Worker], rank: Rank, now: Instant
) -> tuple[AskAdvice, ...]:
    """Return the calls for the workers that the step needs most and has not asked about yet.

    Several calls are made at the same time, by different hosts. Nothing is asked while an answer
    is awaited.
    """
    if is_awaiting_advice(step, now) or not may_request_advice(state, rank):
        return ()
    unasked = [each for each in candidates if each.worker not in step.asked_workers]
    if not unasked:
        return ()
    return request_advice(state, step, _choose_workers(state, step, unasked), rank, now)


def request_advice(
    state: PoolState, step: Step, workers: list[WorkerId], rank: Rank, now: Instant
) -> tuple[AskAdvice, ...]:
    """Return the calls about these workers, and note that their answers are awaited."""
    policy = _get_policy(step)
    calls = tuple(
        AskAdvice(step.key, part, policy.estimate_call_ms(len(part)), rank)
        for part in _split_calls(policy, workers)
    )
    longest_ms = max(call.cost_ms for call in calls)
    cost_ms = sum(call.cost_ms for call in calls)
    key = rank.get_class()
    state.advice_backlog_ms[key] = state.advice_backlog_ms.get(key, 0.0) + cost_ms
    step.asking.update(workers)
    step.asking_until = Instant(int(now + ANSWER_TIMEOUT_MS + longest_ms))
    return calls


def _get_policy(step: Step) -> AdvicePolicy:
    policy = step.job.policy
    assert policy is not None
    assert policy.advice is not None
    return policy.advice


def _choose_workers(state: PoolState, step: Step, unasked: list[Worker]) -> list[WorkerId]:
    """Return the workers with the most free slots, as many as the step is expected to need.

    A gang needs all its slots at the same moment, so it asks about all workers.
    """
    slots = {each.worker: count_slots(step, each.free, 0) for each in unasked}
    order = sorted(
        unasked, key=lambda each: (each.is_slow, -slots[each.worker], each.free, each.worker)
    )
    share = state.allowed_shares.get(step.job.record.queue, INITIAL_ALLOWED_SHARE)
    missing = math.inf if step.spec.gang else len(step.waiting) * SLOT_COVERAGE
    chosen: list[WorkerId] = []
    for worker in order:
        if missing <= 0 and len(chosen) >= MIN_WORKERS_ASKED:
            break
        chosen.append(worker.worker)
        missing -= slots[worker.worker] * share
    return chosen


def _split_calls(policy: AdvicePolicy, workers: list[WorkerId]) -> list[tuple[WorkerId, ...]]:
    """Return the workers of each call: calls of like size, short but not mostly overhead.

    A call takes a fixed time and a time for each worker; the largest call takes as much of both.
    """
    most = MAX_WORKERS_PER_CALL
    if policy.worker_ms > 0:
        balanced = math.ceil(policy.call_ms / policy.worker_ms)
        most = min(most, max(MIN_WORKERS_ASKED, balanced))
    count = math.ceil(len(workers) / most)
    return [tuple(workers[start::count]) for start in range(count)]


def record_answer(
    state: PoolState,
    step: Step,
    asked: tuple[WorkerId, ...],
    allowed: tuple[Permission, ...] | None,
    valid_until: Instant,
    now: Instant,
) -> None:
    """Store the tickets of an answer; `allowed` is `None` if the service did not answer."""
    step.asking.difference_update(asked)
    if allowed is None:
        step.next_ask_at = Instant(now + RETRY_MS)
        return
    step.asked_workers.update(asked)
    tickets = step.tickets if step.tickets is not None else {}
    step.tickets = tickets
    if allowed:
        step.tickets_valid_until = max(step.tickets_valid_until, valid_until)
    for permission in allowed:
        worker = state.workers.get(permission.worker)
        life = worker.life if worker is not None else None
        tickets[permission.worker] = Ticket(permission.ticket, valid_until, life)
    if asked:
        queue = step.job.record.queue
        known = state.allowed_shares.get(queue, INITIAL_ALLOWED_SHARE)
        share = len(allowed) / len(asked)
        state.allowed_shares[queue] = known + ALLOWED_SHARE_WEIGHT * (share - known)

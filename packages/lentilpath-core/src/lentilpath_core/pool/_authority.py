"""Decides whether a leader without word from the table may act, and when its leases are over.

A leader that cannot renew its lease may have been replaced. Workers refuse it once its successor
has reached them, but a partition may leave the two with different workers. So both count the
recorded workers: the former leader goes on only while it is in touch with more than half of them,
and its successor treats a worker that it cannot reach as free only after it has reached half of
them and the leases of the former leader are over. docs/design/cut-leader.md has the argument.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool._events import PoolEffect, RecordWorkers, WorkersRecorded
from lentilpath_core.pool._former_leader import (
    WorkerLives,
)
from lentilpath_core.pool._model import Life, MachineId
from lentilpath_core.pool._state import (
    PoolState,
    Worker,
)

IN_TOUCH_MS = 2_900
"""A worker is in touch if it has answered a request sent this recently. A reachable one answers
every 2 s at least: a long poll of 0.8 s, 0.4 s until its ends are stored, and the next poll."""
UNCONFIRMED_LEASE_MS = 3_500
"""Longest lease that a leader grants without word from the table, counted from the time since which
more than half of the workers have answered. A reachable worker answers every 2 s at least, so what
is left of it outlasts the next poll."""
UNCONFIRMED_LEASE_BOUND_MS = 3_750
"""The same on the clock of another host: a worker's clock may run slow by 2%, and 150 ms."""
NOTICE_MS = 3_000
"""Time after which a leader of an earlier release has noticed that half of the workers refuse it.
It grants full leases until then."""
FIRST_ANSWER_MS = 1_000
"""A worker that has not answered a new leader for this long is silent: a request times out after
700 ms."""
MIN_BOUND_GAIN_MS = 1_000
"""Another record of a suspended worker is stored if its runs end this much sooner by it."""
MAX_TICK_GAP_MS = 500
"""After a longer time between two ticks answers may have come that are still to be handled."""
MAX_UNCONFIRMED_MS = 120_000
"""A leader goes on for this long without word from the table. Longer outages end all runs, and a
successor that reaches less than half of the workers waits for as long."""


def may_lead_on(state: PoolState, unconfirmed_ms: int, now: Instant) -> bool:
    """Return whether a leader may act although its lease was last confirmed `unconfirmed_ms` ago.

    It may while more than half of the workers are in touch and none of them has seen a successor,
    by each list of workers that a successor may find recorded.
    """
    if unconfirmed_ms > MAX_UNCONFIRMED_MS:
        return False
    return all(_has_majority(state, lives, now) for lives in state.possible_records)


def get_unconfirmed_lease_ms(state: PoolState, now: Instant) -> int:
    """Return how long a lease may last, in ms, that a leader grants without word from the table.

    It ends a fixed time after the leader was last known to have a majority, whenever it is granted.
    So a successor that has reached half of the workers knows when the last of them is over.
    """
    majority_at = min(_find_majority_time(state, lives, now) for lives in state.possible_records)
    return max(0, UNCONFIRMED_LEASE_MS - (now - majority_at))


def _find_majority_time(state: PoolState, lives: WorkerLives, now: Instant) -> Instant:
    """Return the latest time since which more than half of the workers have answered a request."""
    if not lives:
        return now
    answered = sorted((_find_answer_time(state, *each) for each in lives), reverse=True)
    return answered[len(answered) // 2]


def _find_answer_time(state: PoolState, worker_id: WorkerId, life: Life) -> Instant:
    worker = state.workers.get(worker_id)
    if worker is None or worker.life != life:
        return Instant(0)
    return worker.reported_at or Instant(0)


def _has_majority(state: PoolState, lives: WorkerLives, now: Instant) -> bool:
    in_touch = sum(_is_in_touch(state, worker, life, now) for worker, life in lives)
    return not lives or 2 * in_touch > len(lives)


def _is_in_touch(state: PoolState, worker_id: WorkerId, life: Life, now: Instant) -> bool:
    return now <= _find_answer_time(state, worker_id, life) + IN_TOUCH_MS


def expect_former_leader(state: PoolState, workers: WorkerLives) -> None:
    """Note the workers that an earlier leader has recorded, with whom it may still go on."""
    state.possible_records = [workers]
    if workers and not state.former_leader.has_ended:
        ends_at = Instant(state.former_leases_end_at + MAX_UNCONFIRMED_MS)
        state.former_leader = replace(
            state.former_leader, workers=workers, is_outnumbered=False, leases_end_at=ends_at
        )


def update_former_leader(state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    """Note once half of the former leader's workers are reached; it loses its majority by that."""
    former = state.former_leader
    if former.is_outnumbered:
        return ()
    latest = _find_latest_processes(state)
    reached = sum(_is_reached(state, *each, latest) for each in former.workers)
    if 2 * reached < len(former.workers):
        return ()
    last_ms = UNCONFIRMED_LEASE_BOUND_MS
    if not former.bounds_leases:
        last_ms = NOTICE_MS + former.lease_ms
    ends_at = Instant(now + last_ms)
    state.former_leader = replace(former, is_outnumbered=True, leases_end_at=ends_at)
    return record_workers(state)


def note_former_leader_ended(state: PoolState, ended_at: Instant) -> tuple[PoolEffect, ...]:
    """Note that the former leader grants no leases since this time, whomever it may still reach."""
    former = state.former_leader
    last_ms = UNCONFIRMED_LEASE_BOUND_MS if former.bounds_leases else former.lease_ms
    leases_end_at = Instant(ended_at + last_ms)
    state.former_leader = replace(
        former,
        has_ended=True,
        is_outnumbered=True,
        leases_end_at=min(former.leases_end_at, leases_end_at),
    )
    return record_workers(state)


def _find_latest_processes(state: PoolState) -> dict[MachineId, Life]:
    """Return the latest process on each machine that has answered this leader.

    Entries of the registry alone are not enough here: other writers may have made them.
    """
    latest: dict[MachineId, Life] = {}
    for worker in state.workers.values():
        machine = worker.listed.machine
        if machine and worker.reported_at is not None:
            latest[machine] = max(worker.life, latest.get(machine, worker.life))
    return latest


def _is_reached(
    state: PoolState, worker_id: WorkerId, life: Life, latest: Mapping[MachineId, Life]
) -> bool:
    """Return whether a life of a worker refuses the former leader, or is over."""
    worker = state.workers.get(worker_id)
    if worker is None or worker.life != life or worker.reported_at is not None:
        return True
    return latest.get(worker.listed.machine, life) > life


def has_former_leader_ended(state: PoolState, now: Instant) -> bool:
    """Return whether all leases have expired that an earlier leader may have granted."""
    return now >= max(state.former_leases_end_at, state.former_leader.leases_end_at)


def is_former_leader_contained(state: PoolState, now: Instant) -> bool:
    """Return whether no earlier leader can act on a worker that the stored list lets be used.

    If so, a successor needs to know of no leader but this one.
    """
    if has_former_leader_ended(state, now):
        return True
    unconfirmed = (state.workers.get(each) for each in state.unconfirmed_workers)
    return all(
        worker is not None
        and (worker.reported_at is not None or _get_life(worker) in state.stored_suspensions)
        for worker in unconfirmed
    )


def _get_life(worker: Worker) -> tuple[WorkerId, Life]:
    return worker.worker, worker.life


def find_end_of_runs(state: PoolState, worker: Worker) -> Instant:
    """Return when the runs that may be on a worker that does not answer have ended."""
    if worker.are_runs_bounded or worker.worker not in state.unconfirmed_workers:
        return worker.lease_ends_at
    former_end = max(state.former_leases_end_at, state.former_leader.leases_end_at)
    return max(worker.lease_ends_at, former_end)


def note_tick(state: PoolState, now: Instant) -> None:
    """Note that time passes; silence counts only from the end of a pause of this process."""
    if not state.polled_since or now > state.ticked_at + MAX_TICK_GAP_MS:
        state.polled_since = now
    state.ticked_at = now


def suspend_silent_workers(state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    """Suspend the workers that do not answer, and on which this leader has no runs.

    Once that is stored, a later leader waits for these workers only until the runs of earlier
    leaders on them have ended: however many leaders follow, the wait does not begin anew.
    """
    for worker in state.workers.values():
        if not worker.is_suspended and _is_without_own_runs(state, worker, now):
            suspend_worker(state, worker)
    return record_workers(state)


def _is_without_own_runs(state: PoolState, worker: Worker, now: Instant) -> bool:
    """Return whether a silent worker certainly has no run or command of this leader."""
    if now < state.polled_since + FIRST_ANSWER_MS:
        return False
    if worker.reported_at is None:
        return worker.worker in state.unconfirmed_workers
    is_silent = now > worker.reported_at + IN_TOUCH_MS and now >= worker.lease_ends_at
    return is_silent and worker.is_recorded and not worker.attempts


def suspend_worker(state: PoolState, worker: Worker) -> None:
    """Send the worker nothing that starts or prolongs a run, as the next record says."""
    worker.suspended_after = state.last_record.number if worker.is_recorded else None
    worker.used_from = None
    worker.is_suspended = worker.awaits_record = True
    worker.is_recorded = False


def await_record(worker: Worker) -> None:
    """Give the worker no commands until the next record is durable."""
    worker.is_recorded = False
    worker.awaits_record = True
    worker.used_from = None
    worker.suspended_after = None


def resume_worker(state: PoolState, worker: Worker) -> None:
    """Use a worker that answers again, at once or once no durable record suspends it."""
    worker.is_suspended = False
    if worker.suspended_after == state.last_record.number:
        worker.awaits_record = False
        worker.is_recorded = True


def record_workers(state: PoolState) -> tuple[PoolEffect, ...]:
    """Record the workers that the pool uses, and those that are suspended, if they have changed.

    A new one is used, and counts, once it has reported: an entry of the registry that nobody
    answers for must not decide who has a majority. A list of other workers would change what half
    of them are, so the former leader's list stays until it is outnumbered.
    """
    if not state.former_leader.is_outnumbered:
        return ()
    known = {worker for worker, _ in state.possible_records[-1]}
    used = tuple(
        each
        for each in state.workers.values()
        if not each.is_suspended and (each.reported_at is not None or each.worker in known)
    )
    suspended = [each for each in state.workers.values() if each.is_suspended]
    recorded = {each.worker for each in (*used, *suspended)}
    # What a worker was sent may reach its next life, of which a later leader has to know.
    removed = (worker for worker, _ in state.removed_workers.values())
    suspended.extend(each for each in removed if each.worker not in recorded)
    lives = frozenset(_get_life(each) for each in used)
    held = tuple(
        (each.worker, None if each.may_take_former_commands else each.held_until)
        for each in (*used, *suspended)
        if each.may_take_former_commands or each.held_until
    )
    is_known = lives == state.possible_records[-1] and set(held) <= set(state.last_record.held)
    if is_known and not _has_new_suspension(state, suspended):
        return ()
    if lives != state.possible_records[-1]:
        state.possible_records.append(lives)
    record = RecordWorkers(
        tuple(each.listed for each in (*used, *suspended)),
        tuple((each.worker, find_end_of_runs(state, each)) for each in suspended),
        state.last_record.number + 1,
        held,
    )
    state.last_record = record
    for worker in used:
        if worker.awaits_record and worker.used_from is None:
            worker.used_from = record.number
    return (record,)


def _has_new_suspension(state: PoolState, suspended: Iterable[Worker]) -> bool:
    """Return whether the last record lacks a suspension, or its runs end at quite another time."""
    ends = dict(state.last_record.suspended)
    known = {each.worker: each.life for each in state.last_record.workers}
    for worker in suspended:
        ends_at = find_end_of_runs(state, worker)
        recorded_at = ends.get(worker.worker)
        if recorded_at is None or known.get(worker.worker) != worker.life:
            return True
        if ends_at > recorded_at or ends_at + MIN_BOUND_GAIN_MS <= recorded_at:
            return True
    return False


def note_recorded_workers(state: PoolState, event: WorkersRecorded) -> None:
    """Note that a list of workers is durable, so that none before it is found any more."""
    lives = frozenset(event.lives)
    if lives in state.possible_records:
        del state.possible_records[: state.possible_records.index(lives)]
    state.stored_suspensions = frozenset(event.suspended)
    for worker_id, life in event.lives:
        worker = state.workers.get(worker_id)
        if worker is None or worker.life != life or worker.is_suspended:
            continue
        if worker.awaits_record and (worker.used_from is None or event.number < worker.used_from):
            continue
        worker.is_recorded = True
        worker.awaits_record = False

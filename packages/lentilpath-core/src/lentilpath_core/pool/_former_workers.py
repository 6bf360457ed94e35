"""The workers of earlier leaders: whom a new leader waits for, and for how long."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool._authority import (
    expect_former_leader,
    find_end_of_runs,
    has_former_leader_ended,
    record_workers,
)
from lentilpath_core.pool._events import PoolEffect, RecordWorkers
from lentilpath_core.pool._model import ListedWorker
from lentilpath_core.pool._restarts import get_end_of_rest
from lentilpath_core.pool._state import PoolState, Worker


def restore_former_workers(
    state: PoolState,
    workers: tuple[ListedWorker, ...],
    unknown: Iterable[str] = (),
    suspended: Mapping[WorkerId, Instant] | None = None,
    held: Mapping[WorkerId, Instant | None] | None = None,
) -> None:
    """Add the workers that an earlier leader used.

    Each is unconfirmed until it reports, or until the leases of the earlier leader have expired.
    `unknown` stands for workers whose record cannot be read: they are unconfirmed until then too.
    `suspended` holds those to which it sent no commands, and when the runs on them have ended.
    `held` holds those whose runs a command for a former life may hold, and until when; `None` if
    such commands may still take effect.
    """
    ends = suspended or {}
    holds = held or {}
    state.unconfirmed_workers.update(WorkerId(each) for each in unknown)
    for entry in workers:
        if entry.worker not in state.workers:
            state.workers[entry.worker] = Worker(entry, entry.capacity, is_listed=False)
        worker = state.workers[entry.worker]
        worker.is_suspended = worker.are_runs_bounded = entry.worker in ends
        worker.awaits_record = worker.is_suspended
        worker.is_recorded = not worker.is_suspended
        worker.held_until = holds.get(entry.worker) or Instant(0)
        worker.may_take_former_commands = entry.worker in holds and not worker.held_until
        if worker.is_suspended:
            worker.rests_until = get_end_of_rest(worker.held_until)
        used_until = max(state.former_leases_end_at, worker.held_until)
        worker.lease_ends_at = ends.get(entry.worker, used_until)
        state.unconfirmed_workers.add(entry.worker)
    state.last_record = RecordWorkers(workers, tuple(ends.items()), held=tuple(holds.items()))
    state.stored_suspensions = frozenset(
        (each.worker, each.life) for each in workers if each.worker in ends
    )
    used = (each for each in state.workers.values() if not each.is_suspended)
    expect_former_leader(state, frozenset((each.worker, each.life) for each in used))


def expire_former_leases(state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    """Stop waiting for workers on which runs of an earlier leader have ended by now."""
    has_ended = has_former_leader_ended(state, now)
    if has_ended:
        state.former_leader = replace(state.former_leader, is_outnumbered=True)
    for worker_id in list(state.unconfirmed_workers):
        worker = state.workers.get(worker_id)
        if has_ended if worker is None else now >= find_end_of_runs(state, worker):
            state.unconfirmed_workers.discard(worker_id)
            state.needs_placement = True
    return record_workers(state)

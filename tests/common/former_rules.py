"""Earlier rules of the pool, to play a load with the old rule beside the new one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from lentilpath_core.errors import OutcomeUnknown, TableBusy, TableUnavailable
from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool import _advice, _order, _placement
from lentilpath_core.pool._fit import count_slots
from lentilpath_core.pool._model import AdvicePolicy
from lentilpath_core.pool._state import PoolState, Reservation, Step, Worker
from lentilpath_core.resources import NO_RESOURCES
from lentilpathd._clock import read_instant
from lentilpathd._pool import _held_calls, _jobs, _leadership, _records, _settling, _writer
from lentilpathd._pool._breaker import PathBreaker
from lentilpathd._pool._ports import PartitionTransaction
from lentilpathd._pool._settling import PartitionHealth, RepeatedCommit, Stored


def ask_in_one_call_after_the_other(patch: pytest.MonkeyPatch) -> None:
    """Ask about the first 100 workers of the list, then the next, instead of all at once."""

    def choose(state: PoolState, step: Step, unasked: list[Worker]) -> list[WorkerId]:
        return [each.worker for each in unasked][: _advice.MAX_WORKERS_PER_CALL]

    def split(policy: AdvicePolicy, workers: list[WorkerId]) -> list[tuple[WorkerId, ...]]:
        return [tuple(workers)]

    patch.setattr(_advice, "_choose_workers", choose)
    patch.setattr(_advice, "_split_calls", split)


def reserve_whole_workers(patch: pytest.MonkeyPatch) -> None:
    """Empty as few workers as the gang needs, instead of planning its start on all of them."""

    def make(
        state: PoolState, step: Step, candidates: list[Worker], now: Instant
    ) -> Reservation | None:
        need = step.spec.count
        spare = {}
        for worker in sorted(candidates, key=lambda each: -count_slots(step, each.free, 0)):
            slots = count_slots(step, worker.listed.capacity, 0)
            if need > 0 and slots and worker.worker not in state.reservations:
                spare[worker.worker] = NO_RESOURCES
                need -= slots
        return Reservation(step.key, now, spare) if need <= 0 else None

    patch.setattr(_placement, "make_reservation", make)


def order_by_deadline_alone(patch: pytest.MonkeyPatch) -> None:
    """Keep the order by deadline under contention, and reservations for three gangs at most."""
    patch.setattr(_order, "estimate_work", lambda state, step: 0.0)
    patch.setattr(_placement, "MAX_RESERVING_GANGS_UNDER_CONTENTION", 3)


def _read_virtual_instant() -> Instant:
    return Instant(int(asyncio.get_running_loop().time() * 1_000))


def cut_late_writes(patch: pytest.MonkeyPatch) -> None:
    """Give up a write when its answer is late, and repeat it, instead of waiting for both."""

    async def settle(
        table: Any,
        health: PartitionHealth,
        transactions: tuple[PartitionTransaction, ...],
        give_up_at: Instant,
        report_unclear: Callable[[Exception], None],
    ) -> Stored:
        is_unclear = False
        transaction = transactions[0]
        while True:
            left_seconds = (give_up_at - _read_virtual_instant()) / 1_000
            timeout = min(table.get_commit_timeout(), max(0.6, left_seconds / 2))
            try:
                return transaction, await table.commit(transaction, timeout, is_unclear)
            except TableUnavailable as error:
                is_over = not isinstance(error, TableBusy) or left_seconds <= 0
                if is_over and not is_unclear:
                    raise
            except OutcomeUnknown as error:
                is_unclear = True
                report_unclear(error)
            if _read_virtual_instant() >= give_up_at:
                raise OutcomeUnknown("not answered")
            await asyncio.sleep(_settling.RETRY_SECONDS)

    patch.setattr(_jobs, "settle_write", settle)
    patch.setattr(_held_calls, "SETTLE_DEADLINE_SHARE", 0.5)


def send_to_silent_paths(patch: pytest.MonkeyPatch) -> None:
    """Send writes whether or not the earlier ones on the path were answered."""
    patch.setattr(PathBreaker, "find_silent_at", lambda breaker: None)


def store_in_one_partition(patch: pytest.MonkeyPatch) -> None:
    """Store a job in its usual partition only."""
    former = _records.get_job_partitions
    patch.setattr(_jobs, "get_job_partitions", lambda job: former(job)[:1])


def crowd_the_leaders_partition(patch: pytest.MonkeyPatch) -> None:
    """Renew the lease beside records, and repeat each write of the leader that seems late."""
    patch.setattr(_leadership, "SLOW_RENEW_INTERVAL_MS", _leadership.RENEW_INTERVAL_MS)

    async def commit(
        table: Any, transaction: PartitionTransaction, timeout: float
    ) -> RepeatedCommit:
        _, result = await _settling.settle_write(
            table,
            PartitionHealth(),
            (transaction,),
            Instant(read_instant() + 1_500),
            lambda error: None,
            table.get_silence_seconds,
        )
        return RepeatedCommit(result, may_be_done_later=True)

    patch.setattr(_writer, "commit_repeatedly", commit)
    patch.setattr(_leadership, "commit_repeatedly", commit)

"""Earlier rules of the pool's placement, to play a load with the old rule beside the new one."""

from __future__ import annotations

import pytest

from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool import _advice, _placement
from lentilpath_core.pool._fit import count_slots
from lentilpath_core.pool._model import AdvicePolicy
from lentilpath_core.pool._state import PoolState, Reservation, Step, Worker
from lentilpath_core.resources import NO_RESOURCES


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
        return Reservation(step.key, now, now, spare) if need <= 0 else None

    patch.setattr(_placement, "make_reservation", make)

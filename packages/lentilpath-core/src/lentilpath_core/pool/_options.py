"""The workers that have room for a step's tasks, while places are chosen for them."""

from __future__ import annotations

import heapq

from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool._advice import has_fresh_ticket
from lentilpath_core.pool._crashes import is_quiet
from lentilpath_core.pool._crowding import (
    compute_crowding_cost,
    count_exempt_tasks,
    count_runs,
)
from lentilpath_core.pool._fit import (
    RESERVED_COST,
    compute_cost,
    compute_rack_costs,
    count_slots,
)
from lentilpath_core.pool._reservations import compute_usable_room
from lentilpath_core.pool._state import PoolState, Step, Worker
from lentilpath_core.resources import Resources


class Options:
    """The workers that have room for a step's tasks, while places are chosen for them.

    A worker on which a task has failed is the last choice for it, whatever the others cost, because
    the task most likely fails there again.
    """

    def __init__(
        self, state: PoolState, step: Step, candidates: list[Worker], now: Instant
    ) -> None:
        self._state = state
        self._step = step
        self._now = now
        self._room = step.spec.counted_room
        self._workers: list[Worker] = []
        self._free: list[Resources] = []
        for worker in candidates:
            if worker.kept_for is not None:
                continue
            free = compute_usable_room(state, step, worker, now)
            if self._room.fits_in(free):
                self._workers.append(worker)
                self._free.append(free)
        self._running: dict[WorkerId, int] = {}
        if step.spec.most_per_worker:
            for attempt in step.attempts.values():
                worker_id = attempt.worker.worker
                self._running[worker_id] = self._running.get(worker_id, 0) + 1
        self._runs = {worker.worker: count_runs(worker) for worker in self._workers}
        self._exempt_tasks = count_exempt_tasks(step)
        """How many of the next tasks may be placed on workers with as many runs as they may have.
        """
        self._rack_costs: dict[str, float] = {}
        if step.spec.gang and step.spec.one_rack:
            self._rack_costs = compute_rack_costs(step, self._workers)
        self._heap: list[tuple[float, int]] | None = None
        """Costs and positions of the workers that have room for one more task."""
        self._exclusive: set[int] = set()
        """Positions of workers that were taken for a suspected task, and get no other."""
        self._starts_left: dict[WorkerId, int] | None = None
        """How many more tasks may be placed on each worker; `None` for no bound."""

    def bound_starts(self, most: int, unanswered: dict[WorkerId, int]) -> None:
        """Place no more tasks on a worker than it has starts left until `most` are unanswered."""
        self._starts_left = {
            worker.worker: most - unanswered.get(worker.worker, 0) for worker in self._workers
        }

    def count_slots(self) -> int:
        """Return how many tasks of the step fit, counting no more than it has."""
        total = exempt = 0
        for worker, free in zip(self._workers, self._free, strict=True):
            slots = count_slots(self._step, free, self._running.get(worker.worker, 0))
            places_left = self._state.most_runs_per_worker - self._runs[worker.worker]
            total += min(slots, max(0, places_left))
            exempt = min(exempt + slots, self._exempt_tasks)
            if total >= self._step.spec.count:
                break
        return max(total, exempt)

    def take_cheapest(self, index: int) -> Worker | None:
        """Return the cheapest worker for a task, and allocate the room on it; `None` if none."""
        if self._heap is None:
            self._heap = [
                (self._compute_cost(position), position)
                for position in range(len(self._workers))
                if self._has_room(position)
            ]
            heapq.heapify(self._heap)
        while self._heap and not self._has_room(self._heap[0][1]):
            # The tasks that may exceed the number of runs of a worker have been placed.
            heapq.heappop(self._heap)
        if not self._heap:
            return None
        avoided = self._step.avoided_workers.get(index, ())
        passed: list[tuple[float, int]] = []
        while self._heap and self._workers[self._heap[0][1]].worker in avoided:
            passed.append(heapq.heappop(self._heap))
        _, position = heapq.heappop(self._heap) if self._heap else passed.pop(0)
        for entry in passed:
            heapq.heappush(self._heap, entry)
        self._allocate(position)
        if self._has_room(position):
            heapq.heappush(self._heap, (self._compute_cost(position), position))
        return self._workers[position]

    def take_quietest(self) -> Worker | None:
        """Return the worker with the fewest runs on which no start is in progress, or `None`.

        Workers with a ticket go first. The worker gets no other task, so the suspected tasks of a
        step are to be placed before its others.
        """
        quiet = [
            position
            for position, worker in enumerate(self._workers)
            if self._has_room(position) and is_quiet(worker)
        ]
        if not quiet:
            return None
        best = min(
            quiet,
            key=lambda position: (
                not has_fresh_ticket(self._step, self._workers[position], self._now),
                len(self._workers[position].attempts),
                self._compute_cost(position),
            ),
        )
        self._exclusive.add(best)
        return self._workers[best]

    def _allocate(self, position: int) -> None:
        worker_id = self._workers[position].worker
        self._free[position] = self._free[position] - self._room
        self._running[worker_id] = self._running.get(worker_id, 0) + 1
        self._exempt_tasks = max(0, self._exempt_tasks - 1)
        self._runs[worker_id] += 1
        if self._starts_left is not None:
            self._starts_left[worker_id] -= 1

    def _has_room(self, position: int) -> bool:
        if position in self._exclusive:
            return False
        worker_id = self._workers[position].worker
        if self._starts_left is not None and self._starts_left[worker_id] <= 0:
            return False
        if self._runs[worker_id] >= self._state.most_runs_per_worker and not self._exempt_tasks:
            return False
        most = self._step.spec.most_per_worker
        if most and self._running.get(worker_id, 0) >= most:
            return False
        return self._room.fits_in(self._free[position])

    def _compute_cost(self, position: int) -> float:
        worker = self._workers[position]
        cost = compute_cost(self._step, worker, self._free[position])
        cost += compute_crowding_cost(self._state, self._runs[worker.worker])
        reservation = self._state.reservations.get(worker.worker)
        if reservation is not None and reservation.step != self._step.key:
            cost += RESERVED_COST
        return cost + self._rack_costs.get(worker.listed.rack, 0.0)

"""Bounds that no engine can beat, to show how far the best possible is."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

import numpy as np
from scipy.optimize import linprog

from benches.measure.cell import Sample
from benches.measure.loads import WORKERS_PER_ZONE, ZONES, Load
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import PriorityClass, WorkloadKind


@dataclass(frozen=True, slots=True)
class Packing:
    """Shares of the capacity at the moments when something waited."""

    processors: float
    memory: float
    ratio_to_bound: float
    """Held room of the scarcer resource, over what a relaxed optimum would hold."""


def measure_packing(samples: list[Sample], limit: int = 120) -> Packing:
    """Return the mean packing over at most `limit` samples, evenly chosen."""
    if not samples:
        return Packing(float("nan"), float("nan"), float("nan"))
    step = max(1, len(samples) // limit)
    chosen = samples[::step]
    processors = [each.held.millicores / each.capacity.millicores for each in chosen]
    memory = [each.held.memory_mib / each.capacity.memory_mib for each in chosen]
    ratios = [_compare_with_relaxed_optimum(each) for each in chosen]
    return Packing(float(np.mean(processors)), float(np.mean(memory)), float(np.mean(ratios)))


def _compare_with_relaxed_optimum(sample: Sample) -> float:
    """Return held over held plus what fractions of waiting tasks could still fill in now.

    What runs stays where it is; a waiting task may be cut up, and gangs need not start together,
    so no engine can hold more. The value is of the resource of which more is held.
    """
    shapes = [(room, count) for room, count, _ in sample.waiting]
    held = sample.held.millicores / sample.capacity.millicores
    held_memory = sample.held.memory_mib / sample.capacity.memory_mib
    by_memory = held_memory > held
    extra = _solve(shapes, sample.free_by_worker, by_memory)
    if by_memory:
        return sample.held.memory_mib / max(1.0, sample.held.memory_mib + extra)
    return sample.held.millicores / max(1.0, sample.held.millicores + extra)


def _solve(shapes: list[tuple[Resources, int]], free: list[Resources], by_memory: bool) -> float:
    if not shapes:
        return 0.0
    workers = len(free)
    count = len(shapes)
    cost = np.zeros(count * workers)
    rooms = np.zeros((3 * workers, count * workers))
    limits = np.zeros(3 * workers)
    waiting = np.zeros((count, count * workers))
    for at, each in enumerate(free):
        limits[3 * at : 3 * at + 3] = (
            max(0, each.millicores),
            max(0, each.memory_mib),
            max(0, each.accelerators),
        )
    bounds = []
    for number, (room, _) in enumerate(shapes):
        for at, each in enumerate(free):
            column = number * workers + at
            cost[column] = -(room.memory_mib if by_memory else room.millicores)
            rooms[3 * at, column] = room.millicores
            rooms[3 * at + 1, column] = room.memory_mib
            rooms[3 * at + 2, column] = room.accelerators
            waiting[number, column] = 1
            # A task that does not fit whole into this worker's free room may not be cut up there.
            bounds.append((0, None if room.fits_in(each) else 0))
    totals = np.array([float(each) for _, each in shapes])
    solved = linprog(
        cost,
        A_ub=np.vstack((rooms, waiting)),
        b_ub=np.concatenate((limits, totals)),
        bounds=bounds,
        method="highs",
    )
    return float(-solved.fun) if solved.success else 0.0


def bound_urgent_waits(load: Load) -> tuple[list[int], int]:
    """Return waits and deadline misses of urgent tasks on one pooled worker that they alone use.

    The pool has all processors and memory that services leave, loses no time to starts, and gives
    way to nothing else, so an engine that keeps order of arrival cannot wait less.
    """
    capacity = load.size.capacity.multiply(WORKERS_PER_ZONE * ZONES)
    free_millicores = capacity.millicores
    ends: list[tuple[int, int]] = []
    waits: list[int] = []
    misses = 0
    for arrival in load.arrivals:
        room = arrival.spec.resources
        if arrival.spec.kind is WorkloadKind.SERVICE:
            free_millicores -= room.millicores * arrival.spec.tasks
            continue
        if arrival.spec.policy.priority is not PriorityClass.URGENT or arrival.fails:
            continue
        if not room.fits_in(load.size.capacity):
            continue
        now = arrival.at_ms
        while ends and (ends[0][0] <= now or free_millicores < room.millicores):
            ended_at, freed = heapq.heappop(ends)
            free_millicores += freed
            now = max(now, ended_at)
        free_millicores -= room.millicores
        heapq.heappush(ends, (now + arrival.true_run_ms, room.millicores))
        waits.append(now - arrival.at_ms)
        deadline_ms = arrival.spec.policy.deadline_ms
        if deadline_ms is not None and waits[-1] + arrival.true_run_ms > deadline_ms:
            misses += 1
    return waits, misses

"""Bounds that no engine can beat, to show how close the engines come to the optimum."""

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
    """Mean allocated shares of the capacity at samples with waiting tasks."""

    processor_share: float
    memory_share: float
    ratio_to_bound: float
    """Allocated amount of the more used resource, divided by that of a relaxed optimum."""


def measure_packing(samples: list[Sample], limit: int = 120) -> Packing:
    """Return the mean packing over at most `limit` samples at even distances."""
    if not samples:
        return Packing(float("nan"), float("nan"), float("nan"))
    step = max(1, len(samples) // limit)
    chosen = samples[::step]
    processors = [each.allocated.millicores / each.capacity.millicores for each in chosen]
    memory = [each.allocated.memory_mib / each.capacity.memory_mib for each in chosen]
    ratios = [_compare_with_relaxed_optimum(each) for each in chosen]
    return Packing(float(np.mean(processors)), float(np.mean(memory)), float(np.mean(ratios)))


def _compare_with_relaxed_optimum(sample: Sample) -> float:
    """Return the allocated amount divided by the most that could be allocated now.

    The optimum is relaxed: running tasks stay in place, but waiting tasks may be split across
    workers and gangs need not start together, so no engine can allocate more. The ratio is for
    the resource with the larger allocated share.
    """
    shapes = [(room, count) for room, count, _ in sample.waiting]
    processor_share = sample.allocated.millicores / sample.capacity.millicores
    memory_share = sample.allocated.memory_mib / sample.capacity.memory_mib
    by_memory = memory_share > processor_share
    additional = _compute_relaxed_optimum(shapes, sample.free_by_worker, by_memory)
    if by_memory:
        return sample.allocated.memory_mib / max(1.0, sample.allocated.memory_mib + additional)
    return sample.allocated.millicores / max(1.0, sample.allocated.millicores + additional)


def _compute_relaxed_optimum(
    shapes: list[tuple[Resources, int]], free_by_worker: list[Resources], by_memory: bool
) -> float:
    if not shapes:
        return 0.0
    workers = len(free_by_worker)
    count = len(shapes)
    cost = np.zeros(count * workers)
    capacity_rows = np.zeros((3 * workers, count * workers))
    limits = np.zeros(3 * workers)
    count_rows = np.zeros((count, count * workers))
    for worker_index, each in enumerate(free_by_worker):
        limits[3 * worker_index : 3 * worker_index + 3] = (
            max(0, each.millicores),
            max(0, each.memory_mib),
            max(0, each.accelerators),
        )
    bounds = []
    for shape_index, (resources, _) in enumerate(shapes):
        for worker_index, each in enumerate(free_by_worker):
            column = shape_index * workers + worker_index
            cost[column] = -(resources.memory_mib if by_memory else resources.millicores)
            capacity_rows[3 * worker_index, column] = resources.millicores
            capacity_rows[3 * worker_index + 1, column] = resources.memory_mib
            capacity_rows[3 * worker_index + 2, column] = resources.accelerators
            count_rows[shape_index, column] = 1
            # No part of a task may go to a worker whose free capacity the whole task exceeds.
            bounds.append((0, None if resources.fits_in(each) else 0))
    totals = np.array([float(each) for _, each in shapes])
    solution = linprog(
        cost,
        A_ub=np.vstack((capacity_rows, count_rows)),
        b_ub=np.concatenate((limits, totals)),
        bounds=bounds,
        method="highs",
    )
    return float(-solution.fun) if solution.success else 0.0


def compute_urgent_wait_bound(load: Load) -> tuple[list[int], int]:
    """Return waits in ms and deadline misses of urgent tasks on one pooled worker of their own.

    The pooled worker has the processors of the whole cell that services leave, starts tasks without
    delay and runs nothing else, so no engine that starts in order of arrival has shorter waits.
    """
    capacity = load.size.capacity.multiply(WORKERS_PER_ZONE * ZONES)
    free_millicores = capacity.millicores
    ends: list[tuple[int, int]] = []
    waits: list[int] = []
    deadline_misses = 0
    for arrival in load.arrivals:
        resources = arrival.spec.resources
        if arrival.spec.kind is WorkloadKind.SERVICE:
            free_millicores -= resources.millicores * arrival.spec.tasks
            continue
        if arrival.spec.policy.priority is not PriorityClass.URGENT or arrival.fails:
            continue
        if not resources.fits_in(load.size.capacity):
            continue
        now = arrival.at_ms
        while ends and (ends[0][0] <= now or free_millicores < resources.millicores):
            ended_at, freed_millicores = heapq.heappop(ends)
            free_millicores += freed_millicores
            now = max(now, ended_at)
        free_millicores -= resources.millicores
        heapq.heappush(ends, (now + arrival.actual_run_ms, resources.millicores))
        waits.append(now - arrival.at_ms)
        deadline_ms = arrival.spec.policy.deadline_ms
        if deadline_ms is not None and waits[-1] + arrival.actual_run_ms > deadline_ms:
            deadline_misses += 1
    return waits, deadline_misses

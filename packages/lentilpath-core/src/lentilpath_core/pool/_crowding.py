"""How many runs a worker may have, so that all of them can be stopped in time.

Designed for jobs of many small tasks, thousands of which fit on a worker by their resources. Each
start and each stop is a command of its own, and a worker takes only so many in a second: with too
many runs, those of a cancelled job would not be stopped in time.
"""

from __future__ import annotations

from lentilpath_core.pool._state import PoolState, Step, Worker

CROWDED_RUNS = 32
"""A worker with fewer runs is filled up before the next one is used. Its starts take half a second
at the longest network round trip."""
CROWDED_COST = 2.0
"""Cost of a worker with more runs, which rises with their number. It exceeds any difference in fit,
and stays below `REMOTE_COST` until the worker may have no more runs."""
MOST_RUNS_COST = 1.9
"""Cost in addition to `CROWDED_COST` of a worker with as many runs as it may have."""
EXCEEDED_COST = 32.0
"""Cost of a worker beyond that. It exceeds all others, since any other worker is better."""


def count_runs(worker: Worker) -> int:
    """Return the number of a worker's runs, and of those that are planned there."""
    return len(worker.attempts) + worker.planned_runs


def count_exempt_tasks(step: Step) -> int:
    """Return how many of the step's tasks may start on workers that have as many runs as they may.

    No job stands still for the bound: one that has nothing running may start a task, or a gang. The
    tasks of a lasting step all have to run.
    """
    if step.spec.lasting:
        return step.spec.count
    if any(each.attempts for each in step.job.steps.values()):
        return 0
    return step.spec.count if step.spec.gang else 1


def is_crowded_for(state: PoolState, step: Step, worker: Worker) -> bool:
    """Return whether a worker has too many runs for all tasks of the step to start there."""
    has_most = count_runs(worker) >= state.most_runs_per_worker
    return has_most and count_exempt_tasks(step) < step.spec.count


def compute_crowding_cost(state: PoolState, runs: int) -> float:
    """Return the cost of one more run on a worker with this number of runs."""
    if runs >= state.most_runs_per_worker:
        return EXCEEDED_COST
    if runs < CROWDED_RUNS:
        return 0.0
    return CROWDED_COST + MOST_RUNS_COST * runs / state.most_runs_per_worker

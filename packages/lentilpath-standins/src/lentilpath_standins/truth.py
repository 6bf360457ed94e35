"""Compares what truly ran, by the workers' own logs, with what should have run."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from lentilpath_core.resources import NO_RESOURCES, Resources

FOREVER = 1 << 62
REPEATABLE_OUTCOMES = frozenset({"failed", "stopped", "checkpointed"})
"""A task that is not idempotent may run again after one of these, since its end is known."""


@dataclass(frozen=True, slots=True, order=True)
class Run:
    """One run of one attempt, in wall time of the worker's machine."""

    started_at: int
    ended_at: int
    worker: str
    task: str
    attempt: int
    outcome: str | None
    """`None` while it runs, or if its worker was killed."""


def list_runs(
    facts: Mapping[str, Sequence[Mapping[str, Any]]], killed_at: Mapping[str, Sequence[int]]
) -> list[Run]:
    """Return all runs, oldest first. A run on a killed worker ends when the worker was killed."""
    runs = []
    for worker, worker_facts in facts.items():
        ends = {
            (fact["boot"], fact["task"], fact["attempt"]): fact
            for fact in worker_facts
            if fact["event"] == "ended"
        }
        for fact in worker_facts:
            if fact["event"] != "started":
                continue
            end = ends.get((fact["boot"], fact["task"], fact["attempt"]))
            if end is not None:
                ended_at = end["at"]
            else:
                deaths = (at for at in killed_at.get(worker, ()) if at >= fact["at"])
                ended_at = min(deaths, default=FOREVER)
            outcome = end["outcome"] if end is not None else None
            run = Run(fact["at"], ended_at, worker, fact["task"], fact["attempt"], outcome)
            runs.append(run)
    return sorted(runs, key=lambda run: (run.started_at, run.task))


def find_doubled_tasks(runs: Sequence[Run], may_repeat: frozenset[str]) -> list[str]:
    """Return a line for each task that ran twice at once, or again where that is not allowed.

    `may_repeat` holds the jobs whose tasks may run again after an unknown outcome.
    """
    latest: dict[str, Run] = {}
    found = []
    for run in runs:
        earlier = latest.get(run.task)
        if earlier is not None:
            fault = _find_fault(earlier, run, run.task.rpartition("/")[0] in may_repeat)
            if fault:
                found.append(f"{run.task} ran again {fault}: {earlier} and {run}")
        if earlier is None or run.ended_at > earlier.ended_at:
            latest[run.task] = run
    return found


def _find_fault(earlier: Run, later: Run, may_repeat: bool) -> str | None:
    if later.started_at < earlier.ended_at:
        return "before its first run had ended"
    if may_repeat or earlier.outcome in REPEATABLE_OUTCOMES:
        return None
    return f"after outcome {earlier.outcome}"


def find_overcommitted_workers(
    facts: Mapping[str, Sequence[Mapping[str, Any]]], capacities: Mapping[str, Resources]
) -> list[str]:
    """Return a line for each worker that held more than its room at any time."""
    found = []
    for worker, worker_facts in facts.items():
        used = NO_RESOURCES
        boot = None
        for fact in worker_facts:
            if fact["boot"] != boot:
                used = NO_RESOURCES
                boot = fact["boot"]
            resources = Resources(**fact["resources"])
            used = used + resources if fact["event"] == "started" else used - resources
            if not used.fits_in(capacities[worker]):
                found.append(f"{worker} held {used} of {capacities[worker]} at {fact['at']}")
                break
    return found


def find_unfinished_tasks(runs: Sequence[Run], tasks: Sequence[str]) -> list[str]:
    """Return those of `tasks` that have no run which succeeded."""
    succeeded = {run.task for run in runs if run.outcome == "succeeded"}
    return [task for task in tasks if task not in succeeded]

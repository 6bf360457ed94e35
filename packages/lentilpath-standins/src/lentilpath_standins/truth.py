"""Checks the workers' own logs of executed tasks against the guarantees of the scheduler."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from lentilpath_core.resources import NO_RESOURCES, Resources

NEVER_ENDED = 1 << 62
REPEATABLE_OUTCOMES = frozenset({"failed", "stopped", "checkpointed"})
"""After these outcomes the attempt is known to have ended, so any task may run again."""


@dataclass(frozen=True, slots=True, order=True)
class Run:
    """One run of one attempt. Times are wall times of the worker's machine in ms."""

    started_at: int
    ended_at: int
    worker: str
    task: str
    attempt: int
    outcome: str | None
    """`None` while it runs or if its worker was killed."""


def list_runs(
    facts: Mapping[str, Sequence[Mapping[str, Any]]], killed_at: Mapping[str, Sequence[int]]
) -> list[Run]:
    """Return all runs in order of their start.

    A run without an end on a killed worker ended when the worker was killed.
    """
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
                kill_times = (at for at in killed_at.get(worker, ()) if at >= fact["at"])
                ended_at = min(kill_times, default=NEVER_ENDED)
            outcome = end["outcome"] if end is not None else None
            run = Run(fact["at"], ended_at, worker, fact["task"], fact["attempt"], outcome)
            runs.append(run)
    return sorted(runs, key=lambda run: (run.started_at, run.task))


def find_duplicate_runs(runs: Sequence[Run], idempotent_jobs: frozenset[str]) -> list[str]:
    """Return a message for each pair of runs of a task that overlap or should not both exist.

    Tasks of `idempotent_jobs` may run again after an unknown outcome.
    """
    latest: dict[str, Run] = {}
    violations = []
    for run in runs:
        previous = latest.get(run.task)
        if previous is not None:
            violation = _describe_violation(
                previous, run, run.task.rpartition("/")[0] in idempotent_jobs
            )
            if violation:
                violations.append(f"{run.task} ran again {violation}: {previous} and {run}")
        if previous is None or run.ended_at > previous.ended_at:
            latest[run.task] = run
    return violations


def _describe_violation(previous: Run, later: Run, is_idempotent: bool) -> str | None:
    if later.started_at < previous.ended_at:
        return "before its first run had ended"
    if is_idempotent or previous.outcome in REPEATABLE_OUTCOMES:
        return None
    return f"after outcome {previous.outcome}"


def find_overcommitted_workers(
    facts: Mapping[str, Sequence[Mapping[str, Any]]], capacities: Mapping[str, Resources]
) -> list[str]:
    """Return a message for each worker whose running attempts ever exceeded its capacity."""
    violations = []
    for worker, worker_facts in facts.items():
        used = NO_RESOURCES
        current_boot = None
        for fact in worker_facts:
            if fact["boot"] != current_boot:
                used = NO_RESOURCES
                current_boot = fact["boot"]
            resources = Resources(**fact["resources"])
            used = used + resources if fact["event"] == "started" else used - resources
            if not used.fits_in(capacities[worker]):
                violations.append(f"{worker} held {used} of {capacities[worker]} at {fact['at']}")
                break
    return violations


def find_unfinished_tasks(runs: Sequence[Run], tasks: Sequence[str]) -> list[str]:
    """Return those of `tasks` without a successful run."""
    succeeded = {run.task for run in runs if run.outcome == "succeeded"}
    return [task for task in tasks if task not in succeeded]

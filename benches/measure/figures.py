"""Computes the figures of a run and prints them as tables."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

import numpy as np

from benches.measure.bounds import compute_urgent_wait_bound, measure_packing
from benches.measure.cell import Outcome, SimulatedTask
from benches.measure.loads import FLOODING_TEAM, LOAD_MS, Load
from lentilpath_core.workloads import PriorityClass, WorkloadKind

KINDS = ("urgent", "batch", "gang", "background")


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a table: the figure's name, its value for each engine, and the bound."""

    name: str
    values: tuple[str, ...]


def classify_task(task: SimulatedTask) -> str:
    """Return the kind of work under which the task's wait is counted."""
    spec = task.arrival.spec
    if spec.kind is WorkloadKind.SERVICE:
        return "service"
    if spec.policy.priority is PriorityClass.URGENT:
        return "urgent"
    if spec.kind is WorkloadKind.GANG:
        return "gang"
    return "background" if spec.policy.priority is PriorityClass.BACKGROUND else "batch"


def create_rows(load: Load, outcomes: list[Outcome]) -> list[Row]:
    """Return all rows of the table of one load."""
    rows: list[Row] = []
    per_engine = [compute_figures(outcome) for outcome in outcomes]
    waits, misses = compute_urgent_wait_bound(load)
    bound = {
        "urgent wait p50 s": _format_quantile(waits, 50),
        "urgent wait p99 s": _format_quantile(waits, 99),
        "urgent deadline misses": str(misses),
        "packing, share of relaxed optimum": "1.000",
        "worker-seconds over true capacity": "0",
        "starts beyond capacity": "0",
    }
    for name in per_engine[0]:
        values = [figures[name] for figures in per_engine]
        rows.append(Row(name, (*values, bound.get(name, ""))))
    return rows


def print_table(title: str, engines: list[str], rows: list[Row]) -> None:
    """Print one table as Markdown."""
    print(f"\n### {title}\n")
    print("| | " + " | ".join((*engines, "bound")) + " |")
    print("| --- |" + " ---: |" * (len(engines) + 1))
    for row in rows:
        print(f"| {row.name} | " + " | ".join(row.values) + " |", flush=True)


def compute_figures(outcome: Outcome) -> dict[str, str]:
    """Return all figures of one run by name."""
    figures: dict[str, str] = {}
    waits = _collect_waits(outcome)
    for kind in KINDS:
        figures[f"{kind} wait p50 s"] = _format_quantile(waits[kind], 50)
        figures[f"{kind} wait p99 s"] = _format_quantile(waits[kind], 99)
    for kind in ("urgent", "batch"):
        figures[f"{kind} deadline misses"] = str(_count_deadline_misses(outcome, kind))
    figures["longest wait s, good work"] = f"{_find_longest_wait_seconds(outcome):.0f}"
    packing = measure_packing(outcome.samples)
    figures["processors held while something waits"] = f"{packing.processor_share:.3f}"
    figures["memory held while something waits"] = f"{packing.memory_share:.3f}"
    figures["packing, share of relaxed optimum"] = f"{packing.ratio_to_bound:.3f}"
    figures["starts beyond capacity"] = str(outcome.oversubscribed_starts)
    figures["worker-seconds over true capacity"] = str(outcome.overload_ms // 1_000)
    figures["worst team's mean wait / mean"] = f"{_compute_wait_imbalance(outcome):.2f}"
    figures["worst mean wait s of a team that does not flood"] = (
        f"{_find_worst_mean_wait_seconds(outcome):.0f}"
    )
    figures["tasks succeeded"] = str(outcome.counts["succeeded"])
    figures["tasks open at the end"] = str(_count_open_tasks(outcome))
    figures["without a reason"] = str(outcome.unexplained)
    figures["starts"] = str(outcome.counts["starts"])
    stops = [outcome.counts[name] for name in ("checkpoint", "stop", "throttle")]
    figures["checkpoints / stops / throttles"] = " / ".join(map(str, stops))
    figures["refused on submission / by zone"] = (
        f"{outcome.refused['on submission']} / {outcome.refused['by the zone']}"
    )
    commands = outcome.counts["starts"] + sum(stops)
    figures["commands to workers, in the zone"] = str(commands)
    figures["KB between regions, digests and jobs"] = f"{outcome.counts['region_bytes'] / 1e3:.0f}"
    figures["table writes: journal MB / batches"] = (
        f"{outcome.journal_bytes / 1e6:.1f} / {outcome.counts['batches']}"
    )
    figures["decide call p99 ms"] = f"{np.percentile(outcome.decide_ns, 99) / 1e6:.2f}"
    return figures


def _collect_waits(outcome: Outcome) -> dict[str, list[int]]:
    """Return the total waits in ms, by kind, of tasks that can succeed.

    Work lost to stops counts as waiting. A task that still waits counts up to the end of the load.
    """
    waits: dict[str, list[int]] = defaultdict(list)
    for task in outcome.tasks.values():
        if not _can_succeed(task) or task.outcome == "cancelled":
            continue
        waited = task.waited_ms + task.lost_work_ms
        if task.worker is None and task.ended_at is None:
            waited += LOAD_MS - task.ready_at
        waits[classify_task(task)].append(waited)
    return waits


def _can_succeed(task: SimulatedTask) -> bool:
    """Return whether the task neither fails by definition nor was refused."""
    return not task.arrival.fails and task.outcome != "refused"


def _count_deadline_misses(outcome: Outcome, kind: str) -> int:
    misses = 0
    for task in outcome.tasks.values():
        deadline_ms = task.arrival.spec.policy.deadline_ms
        if deadline_ms is None or not _can_succeed(task) or classify_task(task) != kind:
            continue
        if task.outcome == "cancelled":
            continue
        due = task.arrival.at_ms + deadline_ms
        ended_at = task.ended_at if task.ended_at is not None else LOAD_MS + 1
        if due <= LOAD_MS and (ended_at > due or task.outcome == "failed"):
            misses += 1
    return misses


def _find_longest_wait_seconds(outcome: Outcome) -> float:
    waits = _collect_waits(outcome)
    return max((max(each, default=0) for each in waits.values()), default=0) / 1_000


def _compute_mean_waits(outcome: Outcome) -> dict[str, float]:
    by_team: dict[str, list[int]] = defaultdict(list)
    for task in outcome.tasks.values():
        if (
            not _can_succeed(task)
            or task.outcome == "cancelled"
            or classify_task(task) == "service"
        ):
            continue
        waited = task.waited_ms
        if task.worker is None and task.ended_at is None:
            waited += LOAD_MS - task.ready_at
        by_team[task.arrival.spec.team].append(waited)
    return {team: float(np.mean(each)) for team, each in by_team.items()}


def _compute_wait_imbalance(outcome: Outcome) -> float:
    means = list(_compute_mean_waits(outcome).values())
    return max(means) / max(1.0, float(np.mean(means)))


def _find_worst_mean_wait_seconds(outcome: Outcome) -> float:
    means = _compute_mean_waits(outcome)
    return max(mean for team, mean in means.items() if team != FLOODING_TEAM) / 1_000


def _count_open_tasks(outcome: Outcome) -> int:
    return sum(
        1
        for task in outcome.tasks.values()
        if task.ended_at is None and classify_task(task) != "service"
    )


def _format_quantile(values: list[int], percent: int) -> str:
    return f"{np.percentile(values, percent) / 1_000:.2f}" if values else "-"

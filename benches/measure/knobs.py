"""Measures the effect of each policy knob: its target load with the knob on and off."""

from __future__ import annotations

from dataclasses import dataclass
from types import ModuleType

from benches.measure.cell import Cell
from benches.measure.engines import ENGINES
from benches.measure.figures import compute_figures
from benches.measure.loads import DHUNGEDHARA, create_load
from lentilpath_core.placement import (
    _engine,
    _events,
    _evidence,
    _headroom,
    _preemption,
    _quotas,
    _reservations,
    _rooms,
)
from lentilpath_core.zone_choice import _choice

UNREACHABLE = 10**12
"""A duration in ms, or a count, that no load reaches."""
SHOWN_FIGURES = (
    "urgent wait p99 s",
    "urgent deadline misses",
    "batch deadline misses",
    "gang wait p99 s",
    "background wait p99 s",
    "packing, share of relaxed optimum",
    "worst mean wait s of a team that does not flood",
    "tasks succeeded",
    "starts",
)


def _find_no_preemption(*_: object) -> None:
    """Find no tasks to preempt; replaces the engine's search for them."""


@dataclass(frozen=True, slots=True)
class Knob:
    """A constant or function of a module, the value that disables it and its target load."""

    name: str
    module: ModuleType
    attribute: str
    off_value: object
    load: str


KNOBS = (
    Knob("room kept for urgent work", _headroom, "MAX_HEADROOM_DIVISOR", UNREACHABLE, "storm"),
    Knob(
        "making room by checkpoint or stop",
        _engine,
        "find_preemption_plan",
        _find_no_preemption,
        "day",
    ),
    Knob(
        "waiting for room that is free soon",
        _preemption,
        "PREEMPTION_WAIT_THRESHOLD_MS",
        -UNREACHABLE,
        "day",
    ),
    Knob("reservations", _reservations, "MAX_RESERVATIONS", 0, "day"),
    Knob("lending a guarantee to short runs", _quotas, "LENDABLE_RUN_MS", 0, "day"),
    Knob("reclaim of a guarantee", _engine, "RECLAIM_AFTER_MS", UNREACHABLE, "day"),
    Knob("review of groups in turn", _engine, "REVIEWS_PER_DECISION", 0, "day"),
    Knob("quarantine", _evidence, "QUARANTINE_FAILURES", UNREACHABLE, "bad-workers"),
    Knob("holding back failing work", _evidence, "HOLD_FAILED_WORKERS", UNREACHABLE, "impossible"),
    Knob("retry budget", _evidence, "RETRIES_PER_WORKER_PER_SECOND", UNREACHABLE, "zone-lost"),
    Knob("aging of background work", _events, "AGING_MS", UNREACHABLE, "day"),
    Knob("tightest of several fits", _rooms, "FITTING_WORKERS_COMPARED", 1, "day"),
    Knob("sharing among like zones", _choice, "COST_TOLERANCE_MS", 0, "storm"),
)


def main() -> None:
    """Print a table with one row for each load and one for each disabled knob."""
    print("| knob | load | | " + " | ".join(SHOWN_FIGURES) + " |")
    print("| --- | --- | --- |" + " ---: |" * len(SHOWN_FIGURES))
    figures_by_load: dict[str, str] = {}
    for knob in KNOBS:
        if knob.load not in figures_by_load:
            figures_by_load[knob.load] = _measure(knob.load)
            print(f"| all knobs | {knob.load} | on {figures_by_load[knob.load]}", flush=True)
        on_value = getattr(knob.module, knob.attribute)
        setattr(knob.module, knob.attribute, knob.off_value)
        figures_without = _measure(knob.load)
        setattr(knob.module, knob.attribute, on_value)
        print(f"| {knob.name} | {knob.load} | off {figures_without}", flush=True)


def _measure(load: str) -> str:
    figures = compute_figures(Cell(ENGINES[-1], create_load(load, DHUNGEDHARA)).run())
    return "| " + " | ".join(figures[name] for name in SHOWN_FIGURES) + " |"


if __name__ == "__main__":
    main()

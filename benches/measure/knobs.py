"""What each policy knob is worth: the load it is meant for, with it and without it."""

from __future__ import annotations

from dataclasses import dataclass
from types import ModuleType

from benches.measure.cell import Cell
from benches.measure.engines import ENGINES
from benches.measure.figures import list_figures
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

NEVER = 10**12
"""Milliseconds, or a count, that no load reaches."""
SHOWN = (
    "urgent wait p99 s",
    "urgent deadline misses",
    "batch deadline misses",
    "gang wait p99 s",
    "background wait p99 s",
    "packing, share of relaxed optimum",
    "worst team's mean wait / mean",
    "tasks succeeded",
    "starts",
)


@dataclass(frozen=True, slots=True)
class Knob:
    """A constant, the value that turns it off, and the load it is meant for."""

    name: str
    module: ModuleType
    constant: str
    off: float
    load: str


KNOBS = (
    Knob("room kept for urgent work", _headroom, "MAX_HEADROOM_DIVISOR", NEVER, "storm"),
    Knob("making room by checkpoint or stop", _preemption, "WORKERS_COMPARED", 0, "day"),
    Knob("waiting for room that is free soon", _preemption, "PATIENCE_MS", -NEVER, "storm"),
    Knob("reservations", _reservations, "MAX_RESERVATIONS", 0, "day"),
    Knob("lending a guarantee to short runs", _quotas, "LENDABLE_RUN_MS", 0, "day"),
    Knob("reclaim of a guarantee", _engine, "RECLAIM_AFTER_MS", NEVER, "day"),
    Knob("review of groups in turn", _engine, "REVIEWS_PER_DECISION", 0, "day"),
    Knob("quarantine", _evidence, "QUARANTINE_FAILURES", NEVER, "bad-workers"),
    Knob("holding back failing work", _evidence, "HOLD_FAILED_WORKERS", NEVER, "impossible"),
    Knob("retry budget", _evidence, "RETRIES_PER_WORKER_PER_SECOND", NEVER, "zone-lost"),
    Knob("aging of background work", _events, "AGING_MS", NEVER, "day"),
    Knob("tightest of several fits", _rooms, "FITTING_WORKERS_COMPARED", 1, "day"),
    Knob("sharing among like zones", _choice, "ALIKE_MS", 0, "storm"),
)


def main() -> None:
    """Print a table with two lines for each knob."""
    print("| knob | load | | " + " | ".join(SHOWN) + " |")
    print("| --- | --- | --- |" + " ---: |" * len(SHOWN))
    with_all: dict[str, str] = {}
    for knob in KNOBS:
        if knob.load not in with_all:
            with_all[knob.load] = _measure(knob.load)
            print(f"| all knobs | {knob.load} | on {with_all[knob.load]}", flush=True)
        kept = getattr(knob.module, knob.constant)
        setattr(knob.module, knob.constant, knob.off)
        without = _measure(knob.load)
        setattr(knob.module, knob.constant, kept)
        print(f"| {knob.name} | {knob.load} | off {without}", flush=True)


def _measure(load: str) -> str:
    figures = list_figures(Cell(ENGINES[-1], create_load(load, DHUNGEDHARA)).run())
    return "| " + " | ".join(figures[name] for name in SHOWN) + " |"


if __name__ == "__main__":
    main()

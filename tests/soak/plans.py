"""Which faults strike when. A seed always gives the same plan."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

HOSTS = 3
WORKERS = 4
FAULT_SECONDS = 8.0
"""Twice the longest lease, so that leases lapse within a run."""
FEWEST_FAULTS = 4
MOST_FAULTS = 9


class FaultKind(Enum):
    """What is done to a host, its way to the table, or a worker."""

    KILL = "kill"
    TERMINATE = "terminate"
    PAUSE = "pause"
    HANG_UP = "hang-up"
    TABLE_DELAYED = "table-delayed"
    TABLE_RESET = "table-reset"
    TABLE_CUT_THERE = "table-cut-there"
    TABLE_CUT_BACK = "table-cut-back"
    TABLE_SILENCED = "table-silenced"
    TABLE_REFUSES = "table-refuses"
    TABLE_BUSY = "table-busy"
    TABLE_SLOW = "table-slow"
    TABLE_LOSES_ANSWERS = "table-loses-answers"
    TABLE_LATE = "table-late"
    TABLE_FORGETS = "table-forgets"
    WORKER_DELAYED = "worker-delayed"
    WORKER_RESET = "worker-reset"
    WORKER_CUT_THERE = "worker-cut-there"
    WORKER_CUT_BACK = "worker-cut-back"
    WORKER_SILENCED = "worker-silenced"
    WORKER_REBORN = "worker-reborn"
    WORKER_LOSES_ANSWERS = "worker-loses-answers"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; it ends `for_seconds` after it began."""

    at_seconds: float
    kind: FaultKind
    targets: tuple[int, ...]
    """Numbers of the hosts or workers that it strikes."""
    for_seconds: float

    @property
    def strikes_worker(self) -> bool:
        """Whether the targets are workers."""
        return self.kind.value.startswith("worker-")


def make_plan(seed: int) -> tuple[Fault, ...]:
    """Return the faults of a seed, in the order of their times; they may overlap."""
    choices = random.Random(seed)
    faults = []
    for _ in range(choices.randint(FEWEST_FAULTS, MOST_FAULTS)):
        kind = choices.choice(list(FaultKind))
        count = WORKERS if kind.value.startswith("worker-") else HOSTS
        struck = choices.choice((1, 1, 1, 2, count))
        faults.append(
            Fault(
                round(choices.uniform(0.0, FAULT_SECONDS), 3),
                kind,
                tuple(sorted(choices.sample(range(count), struck))),
                round(choices.uniform(0.2, 5.0), 3),
            )
        )
    return tuple(sorted(faults, key=lambda fault: fault.at_seconds))

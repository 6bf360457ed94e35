"""Generates the schedule of faults from a seed; a seed always gives the same plan."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

HOSTS = 3
WORKERS = 4
FAULT_PHASE_SECONDS = 8.0
"""Duration of fault injection: twice the longest lease, so that leases lapse within a run."""
MIN_FAULTS = 4
MAX_FAULTS = 9
HEARTBEAT_SECONDS = 1.5
"""A worker's entry shows a change of its capacity at the latest after this time."""
WORKER_MILLICORES = 4_000
MAX_SHRINK_AT_SECONDS = 1.0
MIN_SHRUNK_SECONDS, MAX_SHRUNK_SECONDS = 5.0, 8.0
"""Starts may use capacity for a while after it has shrunk, so it shrinks early and for long."""


class FaultKind(Enum):
    """Faults of entry hosts, of the path from a host to the table, and of workers.

    `cut-there` holds back bytes to the server and `cut-back` bytes to the client; `silenced` makes
    the open connections hang for good; `late` leaves writes without a response, and applies them
    later in any order, or never; `forgets` drops the history of the change feed; `reborn` restarts
    a worker.
    """

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
    """One fault; it ends `duration_seconds` after it began."""

    at_seconds: float
    kind: FaultKind
    targets: tuple[int, ...]
    """Indexes of the affected hosts or workers."""
    duration_seconds: float

    @property
    def targets_worker(self) -> bool:
        """Whether the targets are workers."""
        return self.kind.value.startswith("worker-")

    @property
    def delays_commands(self) -> bool:
        """Whether commands may reach the targets late."""
        return self.kind in (FaultKind.WORKER_DELAYED, FaultKind.WORKER_CUT_THERE)


@dataclass(frozen=True, slots=True)
class CapacityChange:
    """A worker's capacity shrinks for a while."""

    at_seconds: float
    worker: int
    """Index of the worker."""
    millicores: int
    duration_seconds: float
    """Time for which its entry shows less than it had before."""
    heartbeat_seconds: float
    """Time from each change until the worker's entry shows it."""


@dataclass(frozen=True, slots=True)
class WorkerPlan:
    """What jobs and the platform do to the workers of a run."""

    crashing_jobs: tuple[float, ...] = ()
    """Time at which each job that crashes its workers is submitted."""
    capacity_changes: tuple[CapacityChange, ...] = ()


@dataclass(frozen=True, slots=True)
class CustomerPlan:
    """The customers of a run. Each has one key at a time."""

    quotas: tuple[int, ...] = ()
    """Millicores that each customer's running tasks may hold; without any, no key is needed."""
    revoked_at: float | None = None
    """Time at which the first customer's key is replaced by another."""
    quota_changed_at: float | None = None
    """Time at which all quotas change to `later_quotas`."""
    later_quotas: tuple[int, ...] = ()


def make_plan(seed: int) -> tuple[Fault, ...]:
    """Return the faults of a seed, sorted by start time; they may overlap."""
    rng = random.Random(seed)
    faults = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        kind = rng.choice(list(FaultKind))
        count = WORKERS if kind.value.startswith("worker-") else HOSTS
        target_count = rng.choice((1, 1, 1, 2, count))
        faults.append(
            Fault(
                round(rng.uniform(0.0, FAULT_PHASE_SECONDS), 3),
                kind,
                tuple(sorted(rng.sample(range(count), target_count))),
                round(rng.uniform(0.2, 5.0), 3),
            )
        )
    return tuple(sorted(faults, key=lambda fault: fault.at_seconds))


def make_worker_plan(seed: int) -> WorkerPlan:
    """Return the plan for the workers of a seed; the faults of `make_plan` do not depend on it."""
    rng = random.Random(f"{seed}-workers")
    crashing_jobs = sorted(
        round(rng.uniform(0.0, FAULT_PHASE_SECONDS), 3) for _ in range(rng.choice((0, 1, 1, 2)))
    )
    changes = [
        CapacityChange(
            round(rng.uniform(0.0, MAX_SHRINK_AT_SECONDS), 3),
            worker,
            rng.randrange(0, WORKER_MILLICORES, 1_000),
            round(rng.uniform(MIN_SHRUNK_SECONDS, MAX_SHRUNK_SECONDS), 3),
            round(rng.uniform(0.0, HEARTBEAT_SECONDS), 3),
        )
        for worker in rng.sample(range(WORKERS), rng.choice((0, 1, 2, 3)))
    ]
    return WorkerPlan(tuple(crashing_jobs), tuple(changes))


def make_customer_plan(seed: int) -> CustomerPlan:
    """Return the customers of a seed; its other plans do not depend on it."""
    rng = random.Random(f"{seed}-customers")
    if rng.random() < 0.2:
        return CustomerPlan()
    quotas, later = (
        tuple(rng.randrange(3_000, WORKERS * WORKER_MILLICORES, 1_000) for _ in range(2))
        for _ in range(2)
    )
    times = (round(rng.uniform(0.0, FAULT_PHASE_SECONDS), 3) for _ in range(2))
    revoked_at, changed_at = (at if rng.random() < 0.7 else None for at in times)
    return CustomerPlan(quotas, revoked_at, changed_at, later)

"""Time and memory of the decisions against workers, running and waiting tasks, at four sizes.

The largest size is a zone of the target: 521 workers, 4,900 running and 20,000 waiting tasks.
"""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from dataclasses import dataclass, field

import numpy as np

from lentilpath_core.ids import (
    CustomerId,
    Instant,
    JobId,
    RackId,
    TeamId,
    WallTime,
    WorkerId,
    get_job_of_task,
)
from lentilpath_core.placement import (
    AttemptFinished,
    JobWithdrawn,
    PlacementState,
    QuotaSet,
    StartTask,
    StopTask,
    TasksReady,
    WorkerOffered,
    apply_event,
    create_placement,
    decide_placements,
    explain_task,
)
from lentilpath_core.resources import Resources
from lentilpath_core.states import AttemptOutcome, WorkerState
from lentilpath_core.workloads import JobSpec, Policy, PriorityClass, WorkloadKind

TEAMS = 17
"""The target's 240 teams over 14 zones."""
SIZES = (
    # Workers, running tasks, waiting tasks.
    (65, 612, 2_500),
    (130, 1_225, 5_000),
    (260, 2_450, 10_000),
    (521, 4_900, 20_000),
)
DECISIONS_MEASURED = 4_000


@dataclass(slots=True)
class Zone:
    """A placement under measurement and what runs in it."""

    state: PlacementState
    rng: random.Random
    now: int = 0
    running: dict[str, StartTask] = field(default_factory=dict)
    stopping: list[StopTask] = field(default_factory=list)
    waits: int = 0
    jobs: int = 0


def main() -> None:
    """Print one line for each size."""
    print(
        "| workers | running | waiting | decision p50 ms | p99 ms | max ms | placements/s "
        "| event p99 ms | cancel 30% ms | explain p99 ms | memory MiB |"
    )
    print("| ---: |" + " ---: |" * 10)
    for workers, running, waiting in SIZES:
        print(measure_size(workers, running, waiting), flush=True)


def measure_size(workers: int, running: int, waiting: int) -> str:
    """Fill a zone, then let tasks end and be replaced, and return the line of the table."""
    gc.collect()
    tracemalloc.start()
    zone = _fill(workers, running, waiting)
    memory = tracemalloc.get_traced_memory()[0] / (1 << 20)
    tracemalloc.stop()
    gc.collect()
    gc.freeze()
    per_decision, per_event, spent, placed = _turn_over(zone, waiting)
    explained = _measure_explanations(zone)
    actual = len(zone.running)
    cancelled_ms = _cancel(zone)
    gc.unfreeze()
    return (
        f"| {workers} | {actual} | {waiting} "
        f"| {np.percentile(per_decision, 50):.3f} | {np.percentile(per_decision, 99):.3f} "
        f"| {max(per_decision):.2f} | {placed / spent:.0f} | {np.percentile(per_event, 99):.3f} "
        f"| {cancelled_ms:.1f} | {np.percentile(explained, 99):.2f} | {memory:.1f} |"
    )


def _fill(workers: int, running: int, waiting: int) -> Zone:
    zone = Zone(create_placement(), random.Random(7))
    per_worker = running / workers
    capacity = Resources(round(per_worker * 1_750), round(per_worker * 4_000))
    for number in range(workers):
        accelerators = 1 if number % 8 == 0 else 0
        room = Resources(capacity.millicores, capacity.memory_mib, accelerators)
        offered = WorkerOffered(
            WorkerId(f"w{number:04d}"), RackId(f"r{number // 8}"), room, WorkerState.ACTIVE
        )
        _tell(zone, offered)
    for team in range(TEAMS):
        guaranteed = capacity.multiply(max(1, workers // (TEAMS * 2)))
        _tell(zone, QuotaSet(TeamId(f"team{team}"), guaranteed))
    while zone.waits < running + waiting:
        _submit(zone)
    while _decide(zone, 1_000):
        pass
    while zone.waits < waiting:
        _submit(zone)
    _decide(zone, 1_000)
    return zone


def _submit(zone: Zone) -> None:
    rng = zone.rng
    zone.jobs += 1
    kind = WorkloadKind.GANG if rng.random() < 0.02 else WorkloadKind.BATCH
    tasks = rng.choice((1, 1, 1, 4, 16))
    cores = rng.choice((500, 1_000, 1_000, 2_000, 3_000))
    priority = rng.choice(
        (PriorityClass.URGENT, *[PriorityClass.NORMAL] * 7, *[PriorityClass.BACKGROUND] * 4)
    )
    policy = Policy(
        priority=priority,
        deadline_ms=rng.choice((None, 3_600_000)),
        checkpointable=rng.random() < 0.3,
        idempotent=True,
    )
    spec = JobSpec(
        JobId(f"job{zone.jobs:06d}"),
        TeamId(f"team{min(TEAMS - 1, int(rng.expovariate(0.2)))}"),
        CustomerId("customer"),
        kind,
        tasks,
        Resources(cores, cores * rng.choice((1, 2, 4)), 1 if rng.random() < 0.01 else 0),
        rng.choice((5_000, 60_000, 600_000)),
        policy,
        f"workload{rng.randrange(300)}",
    )
    zone.waits += tasks
    _tell(zone, TasksReady(spec, spec.list_tasks(), WallTime(zone.now)))


def _tell(zone: Zone, event: object) -> float:
    began = time.perf_counter_ns()
    apply_event(zone.state, event, Instant(zone.now))  # type: ignore[arg-type]
    return (time.perf_counter_ns() - began) / 1e6


def _decide(zone: Zone, limit: int) -> int:
    decisions = decide_placements(zone.state, Instant(zone.now), limit, WallTime(zone.now))
    for decision in decisions:
        if isinstance(decision, StartTask):
            zone.running[decision.task] = decision
            zone.waits -= 1
        elif isinstance(decision, StopTask):
            zone.stopping.append(decision)
    return sum(isinstance(each, StartTask) for each in decisions)


def _turn_over(zone: Zone, waiting: int) -> tuple[list[float], list[float], float, int]:
    """Let one task end at a time and decide after each; refill the queue as it empties."""
    per_decision: list[float] = []
    per_event: list[float] = []
    placed = 0
    order = list(zone.running)
    zone.rng.shuffle(order)
    while placed < DECISIONS_MEASURED:
        zone.now += 2
        if not order:
            order = list(zone.running)
            zone.rng.shuffle(order)
        start = zone.running.pop(order.pop(), None)
        if start is None:
            continue
        event = AttemptFinished(
            start.task, start.attempt, start.worker, AttemptOutcome.SUCCEEDED, 5_000
        )
        event_ms = _tell(zone, event)
        _end_stopped(zone)
        began = time.perf_counter_ns()
        placed += _decide(zone, 1_000)
        per_decision.append((time.perf_counter_ns() - began) / 1e6)
        while zone.waits < waiting:
            event_ms = max(event_ms, _submit_timed(zone))
        per_event.append(event_ms)
    return per_decision, per_event, (sum(per_decision) + sum(per_event)) / 1_000, placed


def _end_stopped(zone: Zone) -> None:
    for stop in zone.stopping:
        start = zone.running.pop(stop.task, None)
        if start is None:
            continue
        spec = zone.state.jobs[get_job_of_task(stop.task)].spec
        outcome = AttemptOutcome.STOPPED
        _tell(zone, AttemptFinished(stop.task, stop.attempt, stop.worker, outcome, 1_000))
        _tell(
            zone, TasksReady(spec, (stop.task,), WallTime(zone.now), ((stop.task, stop.attempt),))
        )
        zone.waits += 1
    zone.stopping.clear()


def _submit_timed(zone: Zone) -> float:
    began = time.perf_counter_ns()
    _submit(zone)
    return (time.perf_counter_ns() - began) / 1e6


def _measure_explanations(zone: Zone) -> list[float]:
    found = []
    tasks = [task for job in zone.state.jobs.values() for task in job.waiting]
    for task in zone.rng.sample(tasks, 500):
        began = time.perf_counter_ns()
        explain_task(zone.state, task, Instant(zone.now))
        found.append((time.perf_counter_ns() - began) / 1e6)
    return found


def _cancel(zone: Zone) -> float:
    names = sorted(name for name, job in zone.state.jobs.items() if job.waiting)
    spent = 0.0
    for name in zone.rng.sample(names, len(names) * 3 // 10):
        spent += _tell(zone, JobWithdrawn(name))
    began = time.perf_counter_ns()
    _decide(zone, 1_000)
    return spent + (time.perf_counter_ns() - began) / 1e6


if __name__ == "__main__":
    main()

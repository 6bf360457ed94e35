"""Measures time and memory of placement decisions at four sizes of a zone.

The largest size is one zone of the target: 521 workers, 4,900 running and 20,000 waiting tasks.
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
"""The target's 240 teams divided over 14 zones."""
SIZES = (
    # Workers, running tasks, waiting tasks.
    (65, 612, 2_500),
    (130, 1_225, 5_000),
    (260, 2_450, 10_000),
    (521, 4_900, 20_000),
)
DECISIONS_MEASURED = 4_000


@dataclass(slots=True)
class MeasuredZone:
    """A placement state under measurement and the tasks that run in it."""

    state: PlacementState
    rng: random.Random
    now: int = 0
    running: dict[str, StartTask] = field(default_factory=dict)
    stopping: list[StopTask] = field(default_factory=list)
    waiting_count: int = 0
    job_count: int = 0


def main() -> None:
    """Print one table row for each size."""
    print(
        "| workers | running | waiting | decision p50 ms | p99 ms | max ms | placements/s "
        "| event p99 ms | cancel 30% ms | explain p99 ms | memory MiB |"
    )
    print("| ---: |" + " ---: |" * 10)
    for workers, running, waiting in SIZES:
        print(measure_size(workers, running, waiting), flush=True)


def measure_size(workers: int, running: int, waiting: int) -> str:
    """Fill a zone, measure it while tasks end and new ones arrive, and return the table row."""
    gc.collect()
    tracemalloc.start()
    zone = _fill(workers, running, waiting)
    memory = tracemalloc.get_traced_memory()[0] / (1 << 20)
    tracemalloc.stop()
    gc.collect()
    gc.freeze()
    decision_ms, event_ms, spent_seconds, placed = _measure_turnover(zone, waiting)
    explain_ms = _measure_explanations(zone)
    running_count = len(zone.running)
    cancelled_ms = _measure_cancel(zone)
    gc.unfreeze()
    return (
        f"| {workers} | {running_count} | {waiting} "
        f"| {np.percentile(decision_ms, 50):.3f} | {np.percentile(decision_ms, 99):.3f} "
        f"| {max(decision_ms):.2f} | {placed / spent_seconds:.0f} "
        f"| {np.percentile(event_ms, 99):.3f} "
        f"| {cancelled_ms:.1f} | {np.percentile(explain_ms, 99):.2f} | {memory:.1f} |"
    )


def _fill(workers: int, running: int, waiting: int) -> MeasuredZone:
    zone = MeasuredZone(create_placement(), random.Random(7))
    per_worker = running / workers
    capacity = Resources(round(per_worker * 1_750), round(per_worker * 4_000))
    for number in range(workers):
        accelerators = 1 if number % 8 == 0 else 0
        worker_capacity = Resources(capacity.millicores, capacity.memory_mib, accelerators)
        offered = WorkerOffered(
            WorkerId(f"w{number:04d}"),
            RackId(f"r{number // 8}"),
            worker_capacity,
            WorkerState.ACTIVE,
        )
        _apply_event(zone, offered)
    for team in range(TEAMS):
        guaranteed = capacity.multiply(max(1, workers // (TEAMS * 2)))
        _apply_event(zone, QuotaSet(TeamId(f"team{team}"), guaranteed))
    while zone.waiting_count < running + waiting:
        _submit(zone)
    while _decide(zone, 1_000):
        pass
    while zone.waiting_count < waiting:
        _submit(zone)
    _decide(zone, 1_000)
    return zone


def _submit(zone: MeasuredZone) -> None:
    rng = zone.rng
    zone.job_count += 1
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
        JobId(f"job{zone.job_count:06d}"),
        TeamId(f"team{min(TEAMS - 1, int(rng.expovariate(0.2)))}"),
        CustomerId("customer"),
        kind,
        tasks,
        Resources(cores, cores * rng.choice((1, 2, 4)), 1 if rng.random() < 0.01 else 0),
        rng.choice((5_000, 60_000, 600_000)),
        policy,
        f"workload{rng.randrange(300)}",
    )
    zone.waiting_count += tasks
    _apply_event(zone, TasksReady(spec, spec.list_tasks(), WallTime(zone.now)))


def _apply_event(zone: MeasuredZone, event: object) -> float:
    started = time.perf_counter_ns()
    apply_event(zone.state, event, Instant(zone.now))  # type: ignore[arg-type]
    return (time.perf_counter_ns() - started) / 1e6


def _decide(zone: MeasuredZone, limit: int) -> int:
    decisions = decide_placements(zone.state, Instant(zone.now), limit, WallTime(zone.now))
    for decision in decisions:
        if isinstance(decision, StartTask):
            zone.running[decision.task] = decision
            zone.waiting_count -= 1
        elif isinstance(decision, StopTask):
            zone.stopping.append(decision)
    return sum(isinstance(each, StartTask) for each in decisions)


def _measure_turnover(
    zone: MeasuredZone, waiting: int
) -> tuple[list[float], list[float], float, int]:
    """End one task at a time, decide after each end, and submit jobs to keep `waiting` tasks.

    Returns the times in ms of the decisions and of the slowest event of each step, their sum in
    seconds, and the number of placements.
    """
    decision_times: list[float] = []
    event_times: list[float] = []
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
        event_ms = _apply_event(zone, event)
        _requeue_stopped(zone)
        started = time.perf_counter_ns()
        placed += _decide(zone, 1_000)
        decision_times.append((time.perf_counter_ns() - started) / 1e6)
        while zone.waiting_count < waiting:
            event_ms = max(event_ms, _submit_timed(zone))
        event_times.append(event_ms)
    return decision_times, event_times, (sum(decision_times) + sum(event_times)) / 1_000, placed


def _requeue_stopped(zone: MeasuredZone) -> None:
    for stop in zone.stopping:
        start = zone.running.pop(stop.task, None)
        if start is None:
            continue
        spec = zone.state.jobs[get_job_of_task(stop.task)].spec
        outcome = AttemptOutcome.STOPPED
        _apply_event(zone, AttemptFinished(stop.task, stop.attempt, stop.worker, outcome, 1_000))
        _apply_event(
            zone, TasksReady(spec, (stop.task,), WallTime(zone.now), ((stop.task, stop.attempt),))
        )
        zone.waiting_count += 1
    zone.stopping.clear()


def _submit_timed(zone: MeasuredZone) -> float:
    started = time.perf_counter_ns()
    _submit(zone)
    return (time.perf_counter_ns() - started) / 1e6


def _measure_explanations(zone: MeasuredZone) -> list[float]:
    times = []
    tasks = [task for job in zone.state.jobs.values() for task in job.waiting]
    for task in zone.rng.sample(tasks, 500):
        started = time.perf_counter_ns()
        explain_task(zone.state, task, Instant(zone.now))
        times.append((time.perf_counter_ns() - started) / 1e6)
    return times


def _measure_cancel(zone: MeasuredZone) -> float:
    names = sorted(name for name, job in zone.state.jobs.items() if job.waiting)
    spent = 0.0
    for name in zone.rng.sample(names, len(names) * 3 // 10):
        spent += _apply_event(zone, JobWithdrawn(name))
    started = time.perf_counter_ns()
    _decide(zone, 1_000)
    return spent + (time.perf_counter_ns() - started) / 1e6


if __name__ == "__main__":
    main()

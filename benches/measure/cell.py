"""Discrete-event simulation of a cell: real placement decisions, simulated workers and operators.

Each zone has its own placement state. A zone decides at most every 50 ms, like the leader's group
commit, and a start takes effect after the delay of its journal write.
"""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec

from benches.measure.engines import Engine
from benches.measure.loads import LOAD_MS, Arrival, Load, list_workers
from lentilpath_core.ids import JobId, RackId, TaskId, WallTime, WorkerId, ZoneId, get_job_of_task
from lentilpath_core.placement import (
    AttemptFinished,
    JobWithdrawn,
    QuotaSet,
    RefuseJob,
    StartTask,
    StopMode,
    StopTask,
    TasksReady,
    UsageReported,
    WorkerOffered,
    WorkerRemoved,
)
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.states import AttemptOutcome, WorkerState
from lentilpath_core.workloads import WorkloadKind
from lentilpath_core.zone.journal import AttemptEnded, AttemptStarting
from lentilpath_core.zone_choice import ZoneDigest, choose_zone

TICK_MS = 50
START_DELAY_MS = 55
REPORT_DELAY_MS = 5_000
CHECKPOINT_DELAY_MS = 2_000
STOP_DELAY_MS = 500
FAILING_RUN_MS = 300
SAMPLE_INTERVAL_MS = 15_000
DIGEST_INTERVAL_MS = 2_000
DECISIONS_PER_CALL = 500


@dataclass(slots=True)
class SimulatedTask:
    """The actual state of one task. Times are virtual, in ms."""

    task: TaskId
    arrival: Arrival
    zone: ZoneId
    remaining_ms: int
    ready_at: int
    waited_ms: int = 0
    first_wait_ms: int | None = None
    ended_at: int | None = None
    outcome: str = "open"
    attempt: int = 0
    worker: WorkerId | None = None
    started_at: int = 0
    slowdown: float = 1.0
    failures: int = 0
    lost_work_ms: int = 0


@dataclass(slots=True)
class Sample:
    """Allocations of one zone at a moment when tasks waited there."""

    zone: ZoneId
    capacity: Resources
    allocated: Resources
    free_by_worker: list[Resources]
    waiting: list[tuple[Resources, int, bool]]
    """Resources of a task, number of waiting tasks, and whether they must start together."""


@dataclass(slots=True)
class Outcome:
    """The result of one engine under one load."""

    engine: str
    load: str
    tasks: dict[TaskId, SimulatedTask] = field(default_factory=dict)
    samples: list[Sample] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    journal_bytes: int = 0
    decide_ns: list[int] = field(default_factory=list)
    decisions_per_call: list[int] = field(default_factory=list)
    oversubscribed_starts: int = 0
    """Starts that allocated more of a worker than its capacity."""
    overload_ms: int = 0
    """Worker time in ms with actual usage above capacity, estimated from the samples."""
    refused: Counter[str] = field(default_factory=Counter)
    unexplained: int = 0
    """Tasks waiting at the end that the engine cannot explain."""


class Cell:
    """Simulates workers, operators and the zones' leaders in virtual time."""

    def __init__(self, engine: Engine, load: Load) -> None:
        """Create the zones and workers of `load`, with `engine` deciding in each zone."""
        self.engine = engine
        self.load = load
        self.now = 0
        self.event_number = 0
        self.queue: list[tuple[int, int, str, Any]] = []
        self.states = {zone: engine.create_placement() for zone, _ in load.size.zones}
        self.regions = dict(load.size.zones)
        self.workers: dict[WorkerId, tuple[ZoneId, RackId, Resources]] = {}
        self.running: dict[WorkerId, dict[TaskId, SimulatedTask]] = {}
        self.allocated: dict[WorkerId, Resources] = {}
        self.allocations: dict[TaskId, Resources] = {}
        self.waiting: dict[ZoneId, dict[TaskId, SimulatedTask]] = {zone: {} for zone in self.states}
        self.digests: list[ZoneDigest] = []
        self.digests_at = -DIGEST_INTERVAL_MS
        self.lost_zone: ZoneId | None = None
        self.cancelled: set[JobId] = set()
        self.zones_with_pending_tick: set[ZoneId] = set()
        self.outcome = Outcome(engine.name, load.name)
        for zone, worker, rack, capacity in list_workers(load.size):
            self.workers[worker] = (zone, rack, capacity)
            self.running[worker] = {}
            self.allocated[worker] = NO_RESOURCES
            self.apply_event(zone, WorkerOffered(worker, rack, capacity, WorkerState.ACTIVE))
        for zone in self.states:
            for team, guarantee in load.quotas.items():
                self.apply_event(zone, QuotaSet(team, guarantee))

    def run(self) -> Outcome:
        """Run the load to its end and return the result."""
        for arrival in self.load.arrivals:
            self.schedule_event(arrival.at_ms, "arrive", arrival)
        if self.load.cancel_at_ms is not None:
            self.schedule_event(self.load.cancel_at_ms, "cancel", None)
        if self.load.zone_outage_ms is not None:
            self.schedule_event(self.load.zone_outage_ms[0], "lose_zone", None)
            self.schedule_event(self.load.zone_outage_ms[1], "restore_zone", None)
        for at_ms in range(0, LOAD_MS, SAMPLE_INTERVAL_MS):
            self.schedule_event(at_ms, "sample", None)
        for at_ms in range(0, LOAD_MS, 1_000):
            for zone in self.states:
                self.schedule_event(at_ms, "decide", zone)
        while self.queue and self.queue[0][0] <= LOAD_MS:
            self.now, _, kind, payload = heapq.heappop(self.queue)
            getattr(self, f"on_{kind}")(payload)
        self.count_unexplained()
        return self.outcome

    def schedule_event(self, at_ms: int, kind: str, payload: Any) -> None:
        """Schedule a call of the method `on_<kind>` with `payload` at `at_ms`."""
        self.event_number += 1
        heapq.heappush(self.queue, (at_ms, self.event_number, kind, payload))

    def apply_event(self, zone: ZoneId, event: Any) -> None:
        """Apply an event to a zone's placement and count its time."""
        started = time.perf_counter_ns()
        self.engine.apply_event(self.states[zone], event, self.now)
        self.outcome.counts["event_ns"] += time.perf_counter_ns() - started
        self.outcome.counts["events"] += 1

    def schedule_decision(self, zone: ZoneId) -> None:
        """Schedule a decision of the zone at its next tick."""
        if zone in self.zones_with_pending_tick:
            return
        self.zones_with_pending_tick.add(zone)
        self.schedule_event(self.now - self.now % TICK_MS + TICK_MS, "tick", zone)

    def on_tick(self, zone: ZoneId) -> None:
        """Decide after a change in the zone."""
        self.zones_with_pending_tick.discard(zone)
        self.on_decide(zone)

    def on_arrive(self, arrival: Arrival) -> None:
        """Handle an arriving job: choose its zone from the digests and make its tasks ready."""
        home = self.regions[self.load.size.zones[arrival.at_ms % len(self.regions)][0]]
        if self.now >= self.digests_at + DIGEST_INTERVAL_MS:
            self.digests_at = self.now
            self.digests = self.create_digests()
            sent = sum(len(msgspec.msgpack.encode(each)) for each in self.digests)
            self.outcome.counts["region_bytes"] += sent * (len(self.digests) - 1)
        choice = choose_zone(arrival.spec, self.digests, home, 1 << 20)
        self.outcome.counts["digest_reads"] += 1
        if choice.zone is None:
            self.outcome.refused["on submission"] += 1
            return
        zone = choice.zone
        if self.regions[zone] != home:
            self.outcome.counts["region_bytes"] += len(msgspec.msgpack.encode(arrival.spec))
        for task in arrival.spec.list_tasks():
            simulated = SimulatedTask(task, arrival, zone, arrival.actual_run_ms, self.now)
            self.outcome.tasks[task] = simulated
            self.waiting[zone][task] = simulated
        event = TasksReady(arrival.spec, arrival.spec.list_tasks(), WallTime(self.now))
        self.apply_event(zone, event)
        self.schedule_decision(zone)

    def create_digests(self) -> list[ZoneDigest]:
        """Return the zones' digests, computed from the actual state for all engines alike."""
        found = []
        for zone, region in self.load.size.zones:
            total = free = waiting = NO_RESOURCES
            largest = self.load.size.capacity
            oldest = self.now
            for name, (where, _, capacity) in self.workers.items():
                if where == zone:
                    total += capacity
                    free += capacity - self.allocated[name]
                    largest = Resources(
                        largest.millicores,
                        largest.memory_mib,
                        max(largest.accelerators, capacity.accelerators),
                    )
            for task in self.waiting[zone].values():
                waiting += task.arrival.spec.resources
                oldest = min(oldest, task.ready_at)
            found.append(
                ZoneDigest(
                    zone,
                    region,
                    free.millicores,
                    free.memory_mib,
                    free.accelerators,
                    total.millicores,
                    total.memory_mib,
                    total.accelerators,
                    largest.millicores,
                    largest.memory_mib,
                    largest.accelerators,
                    waiting.millicores,
                    waiting.memory_mib,
                    waiting.accelerators,
                    0,
                    zone != self.lost_zone,
                )
            )
        return found

    def on_decide(self, zone: ZoneId) -> None:
        """Get the decisions for a zone and execute them."""
        if zone == self.lost_zone:
            return
        started = time.perf_counter_ns()
        decisions = self.engine.decide_placements(self.states[zone], self.now, DECISIONS_PER_CALL)
        self.outcome.decide_ns.append(time.perf_counter_ns() - started)
        self.outcome.decisions_per_call.append(len(decisions))
        if decisions:
            self.outcome.counts["batches"] += 1
        if len(decisions) >= DECISIONS_PER_CALL:
            self.schedule_decision(zone)
        for decision in decisions:
            if isinstance(decision, StartTask):
                self.execute_start(decision)
            elif isinstance(decision, StopTask):
                self.execute_stop(decision)
            elif isinstance(decision, RefuseJob):
                self.execute_refusal(zone, decision)

    def execute_start(self, start: StartTask) -> None:
        """Execute a start: allocate resources and schedule the end of the attempt."""
        task = self.outcome.tasks[start.task]
        del self.waiting[task.zone][start.task]
        wait = self.now + START_DELAY_MS - task.ready_at
        task.waited_ms += wait
        if task.first_wait_ms is None:
            task.first_wait_ms = wait
        task.attempt = start.attempt
        task.worker = start.worker
        task.started_at = self.now + START_DELAY_MS
        self.running[start.worker][start.task] = task
        resources = start.room or task.arrival.spec.resources
        self.allocations[start.task] = resources
        self.allocated[start.worker] += resources
        if not self.allocated[start.worker].fits_in(self.workers[start.worker][2]):
            self.outcome.oversubscribed_starts += 1
        self.outcome.counts["starts"] += 1
        journaled = AttemptStarting(
            start.task, start.attempt, start.worker, WallTime(self.now), start.reason
        )
        self.outcome.journal_bytes += len(msgspec.json.encode(journaled))
        failing = start.worker in self.load.failing_workers or task.arrival.fails
        run_ms = FAILING_RUN_MS if failing else task.remaining_ms
        outcome = AttemptOutcome.FAILED if failing else AttemptOutcome.SUCCEEDED
        self.schedule_event(task.started_at + run_ms, "finish", (task, start.attempt, outcome))
        self.schedule_event(task.started_at + REPORT_DELAY_MS, "report", (task, start.attempt))

    def on_report(self, payload: tuple[SimulatedTask, int]) -> None:
        """Report a task's actual usage, some time after its start."""
        task, attempt = payload
        if task.attempt != attempt or task.worker is None:
            return
        self.apply_event(task.zone, UsageReported(task.task, attempt, task.arrival.actual_usage))
        self.schedule_decision(task.zone)

    def execute_stop(self, stop: StopTask) -> None:
        """Execute a checkpoint, throttle or stop."""
        task = self.outcome.tasks[stop.task]
        if task.worker != stop.worker or task.attempt != stop.attempt:
            return
        self.outcome.counts[stop.mode.value] += 1
        if stop.mode is StopMode.THROTTLE:
            return
        delay = CHECKPOINT_DELAY_MS if stop.mode is StopMode.CHECKPOINT else STOP_DELAY_MS
        payload = (task, stop.attempt, AttemptOutcome.STOPPED)
        if stop.mode is StopMode.CHECKPOINT:
            task.remaining_ms = max(1, task.remaining_ms - max(0, self.now - task.started_at))
        else:
            task.lost_work_ms += max(0, self.now - task.started_at)
        self.schedule_event(self.now + delay, "finish", payload)

    def on_finish(self, payload: tuple[SimulatedTask, int, AttemptOutcome]) -> None:
        """End an attempt, then end its task or requeue it."""
        task, attempt, outcome = payload
        if task.attempt != attempt or task.worker is None:
            return
        worker = task.worker
        self.release_resources(task)
        ran_ms = self.now - task.started_at
        ended = AttemptEnded(
            task.task, attempt, worker, outcome, WallTime(task.started_at), WallTime(self.now)
        )
        self.outcome.journal_bytes += len(msgspec.json.encode(ended))
        self.apply_event(task.zone, AttemptFinished(task.task, attempt, worker, outcome, ran_ms))
        self.schedule_decision(task.zone)
        if outcome is AttemptOutcome.SUCCEEDED:
            self.end_task(task, "succeeded")
            return
        if get_job_of_task(task.task) in self.cancelled:
            self.end_task(task, "cancelled")
            return
        if outcome is AttemptOutcome.FAILED:
            task.failures += 1
            if task.failures > task.arrival.spec.policy.retry_limit:
                self.end_task(task, "failed")
                return
        self.requeue_task(task)

    def release_resources(self, task: SimulatedTask) -> None:
        """Release the resources of a task's attempt on its worker."""
        assert task.worker is not None
        self.running[task.worker].pop(task.task)
        self.allocated[task.worker] -= self.allocations.pop(task.task)
        task.worker = None

    def requeue_task(self, task: SimulatedTask) -> None:
        """Make a task wait for a start again."""
        task.ready_at = self.now
        self.waiting[task.zone][task.task] = task
        event = TasksReady(
            task.arrival.spec,
            (task.task,),
            WallTime(task.arrival.at_ms),
            ((task.task, task.attempt),),
        )
        self.apply_event(task.zone, event)

    def end_task(self, task: SimulatedTask, outcome: str) -> None:
        """Record the end of a task."""
        task.ended_at = self.now
        task.outcome = outcome
        self.outcome.counts[outcome] += 1

    def execute_refusal(self, zone: ZoneId, refusal: RefuseJob) -> None:
        """End the waiting tasks of a refused job."""
        self.outcome.refused["by the zone"] += 1
        for task in [
            each
            for each in self.waiting[zone].values()
            if get_job_of_task(each.task) == refusal.job
        ]:
            del self.waiting[zone][task.task]
            self.end_task(task, "refused")

    def on_cancel(self, _: None) -> None:
        """Cancel a share of all jobs that have not ended, except services."""
        rng = random.Random(3)
        jobs = sorted(
            {
                get_job_of_task(task.task)
                for task in self.outcome.tasks.values()
                if task.ended_at is None and task.arrival.spec.kind is not WorkloadKind.SERVICE
            }
        )
        chosen = rng.sample(jobs, round(len(jobs) * self.load.cancelled_share))
        self.cancelled.update(chosen)
        started = time.perf_counter_ns()
        for job in chosen:
            zone = self.outcome.tasks[TaskId(f"{job}/0")].zone
            self.apply_event(zone, JobWithdrawn(job))
        self.outcome.counts["cancel_ns"] += time.perf_counter_ns() - started
        for task in tuple(self.outcome.tasks.values()):
            if get_job_of_task(task.task) not in self.cancelled or task.ended_at is not None:
                continue
            if task.worker is not None:
                self.schedule_event(
                    self.now + STOP_DELAY_MS, "finish", (task, task.attempt, AttemptOutcome.STOPPED)
                )
            elif task.task in self.waiting[task.zone]:
                del self.waiting[task.zone][task.task]
                self.end_task(task, "cancelled")

    def on_lose_zone(self, _: None) -> None:
        """Lose the last zone with all attempts that run there."""
        zone = self.load.size.zones[-1][0]
        self.lost_zone = zone
        for name, (where, _, _) in self.workers.items():
            if where != zone:
                continue
            for task in tuple(self.running[name].values()):
                attempt = task.attempt
                self.release_resources(task)
                event = AttemptFinished(task.task, attempt, name, AttemptOutcome.LOST, 0)
                self.apply_event(zone, event)
                self.requeue_task(task)
            self.apply_event(zone, WorkerRemoved(name))

    def on_restore_zone(self, _: None) -> None:
        """Restore the workers of the lost zone."""
        zone = self.lost_zone
        self.lost_zone = None
        assert zone is not None
        for name, (where, rack, capacity) in self.workers.items():
            if where == zone:
                self.apply_event(zone, WorkerOffered(name, rack, capacity, WorkerState.ACTIVE))
        self.schedule_decision(zone)

    def on_sample(self, _: None) -> None:
        """Sample the workers' actual usage and the allocations of zones with waiting tasks."""
        for worker, tasks in self.running.items():
            used = NO_RESOURCES
            for task in tasks.values():
                used += task.arrival.actual_usage
            if not used.fits_in(self.workers[worker][2]):
                self.outcome.overload_ms += SAMPLE_INTERVAL_MS
        for zone in self.states:
            if zone != self.lost_zone and self.waiting[zone]:
                self.outcome.samples.append(self.create_sample(zone))

    def create_sample(self, zone: ZoneId) -> Sample:
        """Return a zone's allocated and free resources and its waiting tasks that can succeed."""
        capacity = allocated = NO_RESOURCES
        free = []
        for name, (where, _, each) in self.workers.items():
            if where == zone:
                capacity += each
                allocated += self.allocated[name]
                free.append(each - self.allocated[name])
        waiting: Counter[tuple[Resources, bool]] = Counter()
        for task in self.waiting[zone].values():
            spec = task.arrival.spec
            if not task.arrival.fails:
                waiting[(spec.resources, spec.kind is WorkloadKind.GANG)] += 1
        grouped = [(room, count, gang) for (room, gang), count in waiting.items()]
        return Sample(zone, capacity, allocated, free, grouped)

    def count_unexplained(self) -> None:
        """Count the waiting tasks that the engine cannot explain."""
        for zone, tasks in self.waiting.items():
            for task in tasks.values():
                if self.engine.explain_task(self.states[zone], task.task, LOAD_MS) is None:
                    self.outcome.unexplained += 1

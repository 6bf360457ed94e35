"""A small event loop over virtual time: the real decisions, with fakes for workers and operators.

Each zone has its own placement. Decisions are taken at most every 50 ms, as the leader's group
commit does, and a start takes effect after the journal has taken it.
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
REPORT_LAG_MS = 5_000
CHECKPOINT_MS = 2_000
STOP_MS = 500
FAILING_RUN_MS = 300
SAMPLE_MS = 15_000
DIGEST_PERIOD_MS = 2_000
DECISIONS_PER_CALL = 500


@dataclass(slots=True)
class Task:
    """The truth about one task."""

    task: TaskId
    arrival: Arrival
    zone: ZoneId
    left_ms: int
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
    """Use of one zone at a moment when something waited there."""

    zone: ZoneId
    capacity: Resources
    held: Resources
    free_by_worker: list[Resources]
    waiting: list[tuple[Resources, int, bool]]
    """Room of a task, how many wait, and whether they must start together."""


@dataclass(slots=True)
class Outcome:
    """What one engine did under one load."""

    engine: str
    load: str
    tasks: dict[TaskId, Task] = field(default_factory=dict)
    samples: list[Sample] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    journal_bytes: int = 0
    decide_ns: list[int] = field(default_factory=list)
    decisions_per_call: list[int] = field(default_factory=list)
    oversold: int = 0
    """Starts that gave a worker more held room than it has."""
    overload_ms: int = 0
    """Worker time in which true use was above capacity, by samples."""
    refused: Counter[str] = field(default_factory=Counter)
    unexplained: int = 0
    """Waiting tasks at the end for which the engine has no reason."""


class Cell:
    """Workers, operators and the zones' leaders, in virtual time."""

    def __init__(self, engine: Engine, load: Load) -> None:
        """Lay out the cell of `load` under `engine`."""
        self.engine = engine
        self.load = load
        self.now = 0
        self.number = 0
        self.queue: list[tuple[int, int, str, Any]] = []
        self.states = {zone: engine.create() for zone, _ in load.size.zones}
        self.regions = dict(load.size.zones)
        self.workers: dict[WorkerId, tuple[ZoneId, RackId, Resources]] = {}
        self.running: dict[WorkerId, dict[TaskId, Task]] = {}
        self.held: dict[WorkerId, Resources] = {}
        self.holds: dict[TaskId, Resources] = {}
        self.waiting: dict[ZoneId, dict[TaskId, Task]] = {zone: {} for zone in self.states}
        self.digests: list[ZoneDigest] = []
        self.digests_at = -DIGEST_PERIOD_MS
        self.lost_zone: ZoneId | None = None
        self.cancelled: set[JobId] = set()
        self.scheduled: set[ZoneId] = set()
        self.outcome = Outcome(engine.name, load.name)
        for zone, worker, rack, capacity in list_workers(load.size):
            self.workers[worker] = (zone, rack, capacity)
            self.running[worker] = {}
            self.held[worker] = NO_RESOURCES
            self.tell(zone, WorkerOffered(worker, rack, capacity, WorkerState.ACTIVE))
        for zone in self.states:
            for team, room in load.quotas.items():
                self.tell(zone, QuotaSet(team, room))

    def run(self) -> Outcome:
        """Run the load to its end and return what was seen."""
        for arrival in self.load.arrivals:
            self.at(arrival.at_ms, "arrive", arrival)
        if self.load.cancel_at_ms is not None:
            self.at(self.load.cancel_at_ms, "cancel", None)
        if self.load.zone_lost_ms is not None:
            self.at(self.load.zone_lost_ms[0], "lose_zone", None)
            self.at(self.load.zone_lost_ms[1], "restore_zone", None)
        for moment in range(0, LOAD_MS, SAMPLE_MS):
            self.at(moment, "sample", None)
        for moment in range(0, LOAD_MS, 1_000):
            for zone in self.states:
                self.at(moment, "decide", zone)
        while self.queue and self.queue[0][0] <= LOAD_MS:
            self.now, _, kind, payload = heapq.heappop(self.queue)
            getattr(self, f"on_{kind}")(payload)
        self.close()
        return self.outcome

    def at(self, moment: int, kind: str, payload: Any) -> None:
        """Let something happen at a moment."""
        self.number += 1
        heapq.heappush(self.queue, (moment, self.number, kind, payload))

    def tell(self, zone: ZoneId, event: Any) -> None:
        """Feed an event to a zone's placement."""
        began = time.perf_counter_ns()
        self.engine.apply(self.states[zone], event, self.now)
        self.outcome.counts["event_ns"] += time.perf_counter_ns() - began
        self.outcome.counts["events"] += 1

    def wake(self, zone: ZoneId) -> None:
        """Let the zone decide at its next tick."""
        if zone in self.scheduled:
            return
        self.scheduled.add(zone)
        self.at(self.now - self.now % TICK_MS + TICK_MS, "tick", zone)

    def on_tick(self, zone: ZoneId) -> None:
        """Decide because something changed."""
        self.scheduled.discard(zone)
        self.on_decide(zone)

    def on_arrive(self, arrival: Arrival) -> None:
        """Take in a job: choose its zone by the digests and make its tasks ready."""
        home = self.regions[self.load.size.zones[arrival.at_ms % len(self.regions)][0]]
        if self.now >= self.digests_at + DIGEST_PERIOD_MS:
            self.digests_at = self.now
            self.digests = self.make_digests()
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
            truth = Task(task, arrival, zone, arrival.true_run_ms, self.now)
            self.outcome.tasks[task] = truth
            self.waiting[zone][task] = truth
        event = TasksReady(arrival.spec, arrival.spec.list_tasks(), WallTime(self.now))
        self.tell(zone, event)
        self.wake(zone)

    def make_digests(self) -> list[ZoneDigest]:
        """Return the zones' digests from the truth, so that all engines get the same."""
        found = []
        for zone, region in self.load.size.zones:
            total = free = waiting = NO_RESOURCES
            largest = self.load.size.capacity
            oldest = self.now
            for name, (where, _, capacity) in self.workers.items():
                if where == zone:
                    total += capacity
                    free += capacity - self.held[name]
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
        """Take decisions for a zone and carry them out."""
        if zone == self.lost_zone:
            return
        began = time.perf_counter_ns()
        decisions = self.engine.decide(self.states[zone], self.now, DECISIONS_PER_CALL)
        self.outcome.decide_ns.append(time.perf_counter_ns() - began)
        self.outcome.decisions_per_call.append(len(decisions))
        if decisions:
            self.outcome.counts["batches"] += 1
        if len(decisions) >= DECISIONS_PER_CALL:
            self.wake(zone)
        for decision in decisions:
            if isinstance(decision, StartTask):
                self.start(decision)
            elif isinstance(decision, StopTask):
                self.stop(decision)
            elif isinstance(decision, RefuseJob):
                self.refuse(zone, decision)

    def start(self, start: StartTask) -> None:
        """Carry out a start."""
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
        room = start.room or task.arrival.spec.resources
        self.holds[start.task] = room
        self.held[start.worker] += room
        if not self.held[start.worker].fits_in(self.workers[start.worker][2]):
            self.outcome.oversold += 1
        self.outcome.counts["starts"] += 1
        journaled = AttemptStarting(
            start.task, start.attempt, start.worker, WallTime(self.now), start.reason
        )
        self.outcome.journal_bytes += len(msgspec.json.encode(journaled))
        failing = start.worker in self.load.failing_workers or task.arrival.fails
        run_ms = FAILING_RUN_MS if failing else task.left_ms
        outcome = AttemptOutcome.FAILED if failing else AttemptOutcome.SUCCEEDED
        self.at(task.started_at + run_ms, "finish", (task, start.attempt, outcome))
        self.at(task.started_at + REPORT_LAG_MS, "report", (task, start.attempt))

    def on_report(self, payload: tuple[Task, int]) -> None:
        """Report what a task uses, late."""
        task, attempt = payload
        if task.attempt != attempt or task.worker is None:
            return
        self.tell(task.zone, UsageReported(task.task, attempt, task.arrival.true_use))
        self.wake(task.zone)

    def stop(self, stop: StopTask) -> None:
        """Carry out a checkpoint, throttle or stop."""
        task = self.outcome.tasks[stop.task]
        if task.worker != stop.worker or task.attempt != stop.attempt:
            return
        self.outcome.counts[stop.mode.value] += 1
        if stop.mode is StopMode.THROTTLE:
            return
        delay = CHECKPOINT_MS if stop.mode is StopMode.CHECKPOINT else STOP_MS
        payload = (task, stop.attempt, AttemptOutcome.STOPPED)
        if stop.mode is StopMode.CHECKPOINT:
            task.left_ms = max(1, task.left_ms - max(0, self.now - task.started_at))
        else:
            task.lost_work_ms += max(0, self.now - task.started_at)
        self.at(self.now + delay, "finish", payload)

    def on_finish(self, payload: tuple[Task, int, AttemptOutcome]) -> None:
        """End an attempt."""
        task, attempt, outcome = payload
        if task.attempt != attempt or task.worker is None:
            return
        worker = task.worker
        self.free(task)
        ran_ms = self.now - task.started_at
        ended = AttemptEnded(
            task.task, attempt, worker, outcome, WallTime(task.started_at), WallTime(self.now)
        )
        self.outcome.journal_bytes += len(msgspec.json.encode(ended))
        self.tell(task.zone, AttemptFinished(task.task, attempt, worker, outcome, ran_ms))
        self.wake(task.zone)
        if outcome is AttemptOutcome.SUCCEEDED:
            self.end(task, "succeeded")
            return
        if get_job_of_task(task.task) in self.cancelled:
            self.end(task, "cancelled")
            return
        if outcome is AttemptOutcome.FAILED:
            task.failures += 1
            if task.failures > task.arrival.spec.policy.retry_limit:
                self.end(task, "failed")
                return
        self.make_ready(task)

    def free(self, task: Task) -> None:
        """Take an attempt off its worker."""
        assert task.worker is not None
        self.running[task.worker].pop(task.task)
        self.held[task.worker] -= self.holds.pop(task.task)
        task.worker = None

    def make_ready(self, task: Task) -> None:
        """Let a task wait again."""
        task.ready_at = self.now
        self.waiting[task.zone][task.task] = task
        event = TasksReady(
            task.arrival.spec,
            (task.task,),
            WallTime(task.arrival.at_ms),
            ((task.task, task.attempt),),
        )
        self.tell(task.zone, event)

    def end(self, task: Task, outcome: str) -> None:
        """Note the end of a task."""
        task.ended_at = self.now
        task.outcome = outcome
        self.outcome.counts[outcome] += 1

    def refuse(self, zone: ZoneId, refusal: RefuseJob) -> None:
        """End the waiting tasks of a refused job."""
        self.outcome.refused["by the zone"] += 1
        for task in [
            each
            for each in self.waiting[zone].values()
            if get_job_of_task(each.task) == refusal.job
        ]:
            del self.waiting[zone][task.task]
            self.end(task, "refused")

    def on_cancel(self, _: None) -> None:
        """Cancel a share of all jobs that are not over."""
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
        began = time.perf_counter_ns()
        for job in chosen:
            zone = self.outcome.tasks[TaskId(f"{job}/0")].zone
            self.tell(zone, JobWithdrawn(job))
        self.outcome.counts["cancel_ns"] += time.perf_counter_ns() - began
        for task in tuple(self.outcome.tasks.values()):
            if get_job_of_task(task.task) not in self.cancelled or task.ended_at is not None:
                continue
            if task.worker is not None:
                self.at(self.now + STOP_MS, "finish", (task, task.attempt, AttemptOutcome.STOPPED))
            elif task.task in self.waiting[task.zone]:
                del self.waiting[task.zone][task.task]
                self.end(task, "cancelled")

    def on_lose_zone(self, _: None) -> None:
        """Lose the last zone with all that runs there."""
        zone = self.load.size.zones[-1][0]
        self.lost_zone = zone
        for name, (where, _, _) in self.workers.items():
            if where != zone:
                continue
            for task in tuple(self.running[name].values()):
                attempt = task.attempt
                self.free(task)
                event = AttemptFinished(task.task, attempt, name, AttemptOutcome.LOST, 0)
                self.tell(zone, event)
                self.make_ready(task)
            self.tell(zone, WorkerRemoved(name))

    def on_restore_zone(self, _: None) -> None:
        """Give the lost zone its workers back."""
        zone = self.lost_zone
        self.lost_zone = None
        assert zone is not None
        for name, (where, rack, capacity) in self.workers.items():
            if where == zone:
                self.tell(zone, WorkerOffered(name, rack, capacity, WorkerState.ACTIVE))
        self.wake(zone)

    def on_sample(self, _: None) -> None:
        """Note use and true use of each zone."""
        for worker, tasks in self.running.items():
            used = NO_RESOURCES
            for task in tasks.values():
                used += task.arrival.true_use
            if not used.fits_in(self.workers[worker][2]):
                self.outcome.overload_ms += SAMPLE_MS
        for zone in self.states:
            if zone != self.lost_zone and self.waiting[zone]:
                self.outcome.samples.append(self.take_sample(zone))

    def take_sample(self, zone: ZoneId) -> Sample:
        """Return held and free room of a zone and what waits there."""
        capacity = held = NO_RESOURCES
        free = []
        for name, (where, _, each) in self.workers.items():
            if where == zone:
                capacity += each
                held += self.held[name]
                free.append(each - self.held[name])
        waiting: Counter[tuple[Resources, bool]] = Counter()
        for task in self.waiting[zone].values():
            spec = task.arrival.spec
            if not task.arrival.fails:
                waiting[(spec.resources, spec.kind is WorkloadKind.GANG)] += 1
        grouped = [(room, count, gang) for (room, gang), count in waiting.items()]
        return Sample(zone, capacity, held, free, grouped)

    def close(self) -> None:
        """Ask for the reasons of all that still waits."""
        for zone, tasks in self.waiting.items():
            for task in tasks.values():
                if self.engine.explain(self.states[zone], task.task, LOAD_MS) is None:
                    self.outcome.unexplained += 1

"""The deciders to compare: the pool's own decisions, and first fit in order of arrival."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from benches.pool.loads import SERVICE, SimulatedJob, Site, make_policy
from lentilpath_core.ids import (
    ConfigVersion,
    Epoch,
    Instant,
    JobId,
    RackId,
    WallTime,
    WorkerId,
    WorkerTime,
    ZoneId,
)
from lentilpath_core.pool import (
    AdviceAnswered,
    AskAdvice,
    ConfigurationSet,
    CustomerPolicy,
    EndedRun,
    FinalsRecorded,
    JobAccepted,
    JobCancelled,
    LeaseSent,
    Life,
    ListedWorker,
    Permission,
    PoolConfiguration,
    PoolEffect,
    PoolEvent,
    PoolLoads,
    QueueId,
    RecordFinal,
    RecordRun,
    RunEnd,
    RunningRun,
    RunNumber,
    RunsRecorded,
    ServicePolicy,
    ShareLoads,
    StartAnswer,
    StartAnswered,
    StartRun,
    StepKey,
    StopRun,
    TaskKey,
    TimePassed,
    WorkerCondition,
    WorkerReport,
    WorkerReported,
    WorkersListed,
    WorkersRecorded,
    create_pool,
    decide_admission,
    decide_pool,
    decide_share_admission,
    is_placement_due,
    measure_loads,
    measure_shares,
    place_pool,
)
from lentilpath_core.resources import Resources
from lentilpath_core.settings import Address

LIFE = Life(1)
LEASE_MS = 4_000


@dataclass(slots=True)
class Actions:
    """The actions that a decider requests in one tick."""

    starts: list[tuple[TaskKey, int, WorkerId, str]] = field(default_factory=list)
    """Task, run number, worker and the checkpoint to resume from."""
    stops: list[tuple[TaskKey, int, WorkerId]] = field(default_factory=list)
    advice: list[tuple[StepKey, tuple[WorkerId, ...]]] = field(default_factory=list)
    done_jobs: list[JobId] = field(default_factory=list)


class Decider(Protocol):
    """Interface of a decider; `now` is virtual time in ms."""

    def submit(self, job: SimulatedJob, now: int) -> int | None:
        """Submit a job; return `None` if it is accepted, else the retry delay in ms."""
        ...

    def cancel(self, job: JobId, now: int) -> None:
        """Cancel a job."""
        ...

    def handle_advice(
        self, step: StepKey, asked: tuple[WorkerId, ...], allowed: tuple[WorkerId, ...], now: int
    ) -> None:
        """Handle the advice service's response: the workers `allowed` of those `asked` about."""
        ...

    def handle_report(
        self,
        worker: WorkerId,
        running: list[tuple[TaskKey, int, int]],
        ended: list[tuple[int, TaskKey, int, RunEnd, str]],
        now: int,
    ) -> None:
        """Handle a worker's report.

        `running` lists task, run number and percent done. `ended` lists the number of the end,
        task, run number, kind of end and checkpoint.
        """
        ...

    def mark_leaving(self, workers: set[WorkerId], now: int) -> None:
        """Mark workers as leaving."""
        ...

    def decide(self, now: int, table_unavailable: bool) -> Actions:
        """Return the actions to execute now."""
        ...


def list_workers(site: Site, leaving: set[WorkerId] | None = None) -> tuple[ListedWorker, ...]:
    """Return the site's workers; those in `leaving` keep running for at least 2,000 ms."""
    return tuple(
        ListedWorker(
            WorkerId(f"w{number}"),
            LIFE,
            SERVICE,
            Address("", 0),
            ZoneId("z"),
            RackId(f"r{number // site.workers_per_rack}"),
            frozenset(),
            _choose_capacity(site, number),
            WorkerCondition.READY,
            2_000 if leaving and WorkerId(f"w{number}") in leaving else None,
        )
        for number in range(site.workers)
    )


def _choose_capacity(site: Site, number: int) -> Resources:
    if not site.capacity_spread:
        return site.worker_capacity
    factor = 1 + random.Random(number).uniform(-site.capacity_spread, site.capacity_spread)
    mean = site.worker_capacity
    return Resources(int(mean.millicores * factor), int(mean.memory_mib * factor), 0)


class PoolDecider:
    """The pool's decisions, with records that become durable one tick later."""

    def __init__(self, site: Site, customers: Iterable[CustomerPolicy] = ()) -> None:
        self._site = site
        self.state = create_pool(Epoch(1), Instant(0))
        self.state.expects_contention = site.expects_contention
        self._effects: list[PoolEffect] = []
        self._pending_records: list[RecordRun | RecordFinal] = []
        self._loads = PoolLoads()
        self._shares: ShareLoads | None = None
        self._measured_at = -site.digest_interval_ms
        queues = {QueueId(kind.name): make_policy(kind) for kind in site.kinds}
        services = {SERVICE: ServicePolicy(SERVICE)}
        self._queues = queues
        known = {each.customer: each for each in customers}
        self.apply_event(
            ConfigurationSet(
                PoolConfiguration(
                    ConfigVersion(1),
                    queues,
                    services,
                    known,
                    requires_keys=bool(known),
                )
            ),
            0,
        )
        workers = list_workers(site)
        self.apply_event(WorkersListed(workers), 0)
        self.apply_event(WorkersRecorded(tuple((each.worker, LIFE) for each in workers)), 0)

    def apply_event(self, event: PoolEvent, now: int) -> None:
        """Apply an event of the pool and keep its effects for the next decision."""
        self._effects.extend(decide_pool(self.state, event, Instant(now)))

    def submit(self, job: SimulatedJob, now: int) -> int | None:
        """Submit a job; see `Decider`."""
        if now >= self._measured_at + self._site.digest_interval_ms:
            self._loads, self._measured_at = measure_loads(self.state, Instant(now)), now
            self._shares = measure_shares(self.state, Instant(now))
        policy = self._queues[job.record.queue]
        load = self._loads.get(policy)
        retry_ms = decide_admission(job.record, policy, load)
        if retry_ms is None and self._shares is not None:
            retry_ms = decide_share_admission(job.record, policy, load, self._shares)
        if retry_ms is None:
            self.accept(job, now)
        return retry_ms

    def accept(self, job: SimulatedJob, now: int) -> None:
        """Accept a job without admission control."""
        self.apply_event(JobAccepted(job.record), now)

    def cancel(self, job: JobId, now: int) -> None:
        """Cancel a job; see `Decider`."""
        self.apply_event(JobCancelled(job), now)

    def handle_advice(
        self, step: StepKey, asked: tuple[WorkerId, ...], allowed: tuple[WorkerId, ...], now: int
    ) -> None:
        """Handle a response of the advice service; see `Decider`."""
        permissions = tuple(Permission(each, "t") for each in allowed)
        self.apply_event(AdviceAnswered(step, asked, permissions, Instant(now + 2_400)), now)

    def handle_report(
        self,
        worker: WorkerId,
        running: list[tuple[TaskKey, int, int]],
        ended: list[tuple[int, TaskKey, int, RunEnd, str]],
        now: int,
    ) -> None:
        """Handle a worker's report; see `Decider`."""
        report = WorkerReport(
            WorkerTime(now),
            tuple(RunningRun(task, RunNumber(run), "", percent) for task, run, percent in running),
            tuple(
                EndedRun(number, task, RunNumber(run), end, checkpoint)
                for number, task, run, end, checkpoint in ended
            ),
        )
        self.apply_event(LeaseSent(worker, LIFE, Instant(now + LEASE_MS)), now)
        self.apply_event(WorkerReported(worker, LIFE, report, Instant(now)), now)

    def mark_leaving(self, workers: set[WorkerId], now: int) -> None:
        """Mark workers as leaving; see `Decider`."""
        self.apply_event(WorkersListed(list_workers(self._site, workers)), now)

    def decide(self, now: int, table_unavailable: bool) -> Actions:
        """Return the actions to execute now; see `Decider`."""
        if not table_unavailable:
            records, self._pending_records = self._pending_records, []
            for record in records:
                self._record_stored(record, now)
        if now % 250 == 0:
            self.apply_event(TimePassed(WallTime(now)), now)
        if not self._site.digest_interval_ms or is_placement_due(self.state):
            self._effects.extend(place_pool(self.state, Instant(now)))
        actions = Actions()
        effects, self._effects = self._effects, []
        for effect in effects:
            if isinstance(effect, StartRun):
                actions.starts.append((effect.task, effect.run, effect.worker, effect.checkpoint))
                answered = StartAnswered(
                    effect.worker, LIFE, effect.task, effect.run, StartAnswer.STARTED
                )
                self.apply_event(answered, now)
            elif isinstance(effect, StopRun):
                actions.stops.append((effect.task, effect.run, effect.worker))
            elif isinstance(effect, AskAdvice):
                actions.advice.append((effect.step, effect.workers))
            elif isinstance(effect, RecordRun | RecordFinal):
                self._pending_records.append(effect)
                if isinstance(effect, RecordFinal) and effect.final.state.value == "completed":
                    actions.done_jobs.append(effect.job)
        return actions

    def _record_stored(self, record: RecordRun | RecordFinal, now: int) -> None:
        if isinstance(record, RecordRun):
            self.apply_event(RunsRecorded(((record.task, record.record),)), now)
        else:
            self.apply_event(FinalsRecorded(((record.job, record.final),)), now)


@dataclass(slots=True)
class _FifoStep:
    key: StepKey
    job: SimulatedJob
    waiting: list[int]
    allowed: tuple[WorkerId, ...] | None = None
    done: int = 0
    run: int = 0
    failed: int = 0


class FirstFit:
    """Places tasks in order of arrival on the first allowed worker that fits; gangs all at once."""

    def __init__(self, site: Site) -> None:
        self._free = {each.worker: each.capacity for each in list_workers(site)}
        self._steps: dict[StepKey, _FifoStep] = {}
        self._jobs: dict[JobId, SimulatedJob] = {}
        self._placed: dict[tuple[TaskKey, int], WorkerId] = {}
        self._steps_left: dict[JobId, int] = {}
        self._unadvised_steps: list[StepKey] = []
        self._done_jobs: list[JobId] = []

    def submit(self, job: SimulatedJob, now: int) -> int | None:
        """Submit a job; see `Decider`."""
        self._jobs[job.record.job] = job
        self._steps_left[job.record.job] = len(job.record.steps)
        self._open_step(job, 0)
        return None

    def _open_step(self, job: SimulatedJob, number: int) -> None:
        key = StepKey(job.record.job, 0, number)
        self._steps[key] = _FifoStep(key, job, list(range(job.record.steps[number].count)))
        self._unadvised_steps.append(key)

    def cancel(self, job: JobId, now: int) -> None:
        """Cancel a job; see `Decider`."""
        self._drop_job(job)

    def _drop_job(self, job: JobId) -> None:
        for key in [each for each in self._steps if each.job == job]:
            del self._steps[key]

    def handle_advice(
        self, step: StepKey, asked: tuple[WorkerId, ...], allowed: tuple[WorkerId, ...], now: int
    ) -> None:
        """Handle a response of the advice service; see `Decider`."""
        if step in self._steps:
            self._steps[step].allowed = allowed

    def handle_report(
        self,
        worker: WorkerId,
        running: list[tuple[TaskKey, int, int]],
        ended: list[tuple[int, TaskKey, int, RunEnd, str]],
        now: int,
    ) -> None:
        """Handle a worker's report; see `Decider`."""
        for _, task, run, end, _ in ended:
            if self._placed.pop((task, run), None) is None:
                continue
            job = self._jobs[task.job]
            spec = job.record.steps[task.step]
            if worker in self._free:
                self._free[worker] = self._free[worker] + spec.room
            step = self._steps.get(task.get_step())
            if step is None:
                continue
            if end is RunEnd.DONE:
                self._handle_success(step)
            else:
                self._handle_failure(step, task)

    def _handle_success(self, step: _FifoStep) -> None:
        step.done += 1
        job = step.job.record
        if step.done < job.steps[step.key.step].count:
            return
        del self._steps[step.key]
        self._steps_left[job.job] -= 1
        if self._steps_left[job.job] == 0:
            self._done_jobs.append(job.job)
        else:
            self._open_step(step.job, step.key.step + 1)

    def _handle_failure(self, step: _FifoStep, task: TaskKey) -> None:
        step.failed += 1
        if step.failed >= step.job.kind.attempts:
            self._drop_job(task.job)
        elif not step.job.record.steps[task.step].gang:
            step.waiting.append(task.number)
        elif not any(key[0].get_step() == step.key for key in self._placed):
            step.waiting = list(range(step.job.record.steps[task.step].count))

    def mark_leaving(self, workers: set[WorkerId], now: int) -> None:
        """Mark workers as leaving; see `Decider`."""
        for worker in workers:
            self._free.pop(worker, None)

    def decide(self, now: int, table_unavailable: bool) -> Actions:
        """Return the actions to execute now; see `Decider`."""
        actions = Actions()
        workers = tuple(self._free)
        actions.advice.extend((key, workers) for key in self._unadvised_steps)
        self._unadvised_steps = []
        actions.done_jobs, self._done_jobs = self._done_jobs, []
        for step in list(self._steps.values()):
            if step.waiting and step.allowed is not None:
                self._start(step, actions)
        return actions

    def _start(self, step: _FifoStep, actions: Actions) -> None:
        spec = step.job.record.steps[step.key.step]
        free = dict(self._free)
        placements: list[tuple[int, WorkerId]] = []
        for number in step.waiting:
            fits = (each for each in step.allowed or () if each in free)
            worker = next((each for each in fits if spec.room.fits_in(free[each])), None)
            if worker is None:
                break
            free[worker] = free[worker] - spec.room
            placements.append((number, worker))
        if not placements or (spec.gang and len(placements) < spec.count):
            return
        self._free = free
        step.run += 1
        for number, worker in placements:
            task = TaskKey(*step.key, number)
            self._placed[(task, step.run)] = worker
            step.waiting.remove(number)
            actions.starts.append((task, step.run, worker, ""))

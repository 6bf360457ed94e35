"""Workers in memory that follow PROTOCOL.md, "Running tasks", on a network that fails by a seed.

A worker keeps its id over restarts; only one that a task has crashed may be back under a new id on
the same machine. Each incarnation starts with nothing: no runs, no ends, no token, and a clock near
0. Commands name the id only. Whether an incarnation carries out what was sent for a former one
depends on the network (`Faults.crosses_lives`).
All times are seconds of the event loop unless they are named otherwise.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

from lentilpath_core.errors import OutcomeUnknown, TableUnavailable, WorkerUnavailable
from lentilpath_core.ids import CustomerId, FencingToken, WorkerTime
from lentilpath_core.pool import (
    CustomerPolicy,
    EndedRun,
    JobRecord,
    Life,
    ListedWorker,
    PoolConfiguration,
    RunEnd,
    RunningRun,
    RunNumber,
    StartAnswer,
    StepSpec,
    TaskKey,
    WorkerReport,
)
from lentilpath_core.resources import Resources
from lentilpathd._pool._ports import OtherLife, RefusedByFence
from lentilpathd._pool._records import format_task
from lentilpathd._pool._tokens import TOKENS_PER_EPOCH
from tests.common.late_writes import LateWrites
from tests.common.pools import make_worker

LONGEST_LEASE_MS = 10_000
GANG_WAIT_SECONDS = 4.0
LONGEST_STOP_SECONDS = 0.4
SILENCE_SECONDS = 4.2
"""A worker that is silent for three heartbeat intervals is removed from the registry."""
HEARTBEAT_SECONDS = 1.5
SLOTS = 4
CAPACITY = Resources(SLOTS * 1_000, 8_192, 0)
ROOM = Resources(1_000, 512, 0)
MAX_CLOCK_DRIFT = 0.02
CRASH_DELAY_SECONDS = 0.01
"""Time from the start of a task that crashes its worker to the crash."""


@dataclass(frozen=True)
class Faults:
    """Which faults happen, and how often: shares of commands, or mean seconds between them."""

    late: float = 0.0
    """Commands without an answer that are carried out up to 12 s later."""
    unanswered: float = 0.0
    """Commands that are carried out at once, without an answer."""
    lost: float = 0.0
    refused: float = 0.0
    crash_seconds: float = 0.0
    cut_seconds: float = 0.0
    isolation_seconds: float = 0.0
    """Mean time between isolations of a worker, which reaches neither leaders nor the registry."""
    takeovers: int = 0
    latest_seconds: float = 12.0
    """Longest delay of a late command."""
    isolates_leader: bool = False
    """A former leader goes on commanding workers while only the table is out of its reach."""
    splits_workers: bool = False
    """Meanwhile a third of the workers is reached by this leader only, the others by later ones."""
    failing: float = 0.03
    """Share of runs that fail."""
    crashing: float = 0.0
    """Share of jobs with a task that crashes each worker that starts it."""
    shrink_seconds: float = 0.0
    """Mean time between shrinks of a worker's capacity, which grows back after some seconds."""
    outages: int = 0
    """Times at which the table and the registry are away from everybody for some seconds."""
    outage_seconds: float = 0.0
    """How long each of them lasts; 0 for 6 to 10 s, by the seed."""
    table_seconds: float = 0.0
    """Added to the time that each call of the table and the registry takes."""
    lost_writes: float = 0.0
    """Share of writes to the table that get no answer, in spells, and are done late or never."""
    crosses_lives: bool = False
    """The incarnation that is up when a command arrives carries it out, whichever it was sent for,
    as behind a forwarder that keeps its connections over a restart. Otherwise a connection ends
    with its process."""


@dataclass
class SimulatedRun:
    """One run as its worker saw it."""

    task: TaskKey
    run: RunNumber
    place: str
    sent_at: float
    """When the command that started it was sent."""
    started_at: float
    begun_at: float | None = None
    """When the work began: for a gang when all its members were present."""
    ended_at: float | None = None
    end: str = ""
    is_acknowledged: bool = False
    """Whether the end was acknowledged before the lease of its worker expired."""
    origin: str = ""
    """Fate of the command that started it, and the incarnation that the command was meant for."""


class SimulatedCluster:
    """All workers, the registry that lists them, and the log of what took place."""

    def __init__(
        self,
        seed: int,
        faults: Faults,
        worker_count: int,
        enforces_capacity: bool = True,
        advice_hosts: int = 0,
    ) -> None:
        self.random = random.Random(seed)
        self.late_writes = LateWrites(random.Random(f"{seed}-late-writes"), faults.lost_writes)
        self.faults = faults
        self.enforces_capacity = enforces_capacity
        """Whether workers refuse runs that do not fit, as the service's configuration says."""
        self.advice_hosts = advice_hosts
        """Hosts that may call the advice service; 0 if starts need no advice."""
        self.jobs: dict[str, JobRecord] = {}
        self.configuration: PoolConfiguration | None = None
        self.quotas: list[tuple[float, dict[CustomerId, CustomerPolicy]]] = []
        """The customers of each version of the configuration, and when it was in force; empty
        without customers."""
        self.crashing: set[TaskKey] = set()
        """Tasks that crash each worker that starts them."""
        self.isolating: dict[TaskKey, list[float]] = {}
        """For how many seconds the workers that start a task are isolated, one start after the
        other."""
        self.unidentified_epochs: frozenset[int] = frozenset()
        """Leaders of an earlier release: whatever process answers carries out their commands."""
        self.is_registry_away = False
        self.split: tuple[int, frozenset[str]] | None = None
        """During a split, the epoch of the leader that is cut off, and the workers on its side."""
        self.runs: list[SimulatedRun] = []
        self.log: list[tuple[float, str]] = []
        self._tasks: set[asyncio.Task[object]] = set()
        self.workers = {
            f"w{each}": SimulatedWorker(self, f"w{each}") for each in range(worker_count)
        }

    def note(self, text: str) -> None:
        self.log.append((read_time(), text))

    def spawn(self, coroutine: Coroutine[object, object, object]) -> asyncio.Task[object]:
        task: asyncio.Task[object] = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def get_step(self, task: TaskKey) -> StepSpec:
        return self.jobs[task.job].steps[task.step]

    def is_in_use(self, machine: str) -> bool:
        """Return whether a worker of any id runs on the machine."""
        return any(each.is_up for each in self.workers.values() if each.machine == machine)

    async def read_workers(self, timeout: float) -> tuple[ListedWorker, ...]:
        """Return the registry's entries; see `Registry`."""
        await asyncio.sleep(self.random.uniform(0.002, 0.04))
        if self.random.random() < self.faults.lost or self.is_registry_away:
            raise TableUnavailable("away")
        listed = tuple(each.entry for each in self.workers.values() if each.is_registered())
        await delay_call(self.faults.table_seconds, timeout)
        return listed

    def open_client(self, listed: ListedWorker, token: FencingToken) -> SimulatedClient:
        return SimulatedClient(self, listed, token)

    async def disturb_workers(self, until: float) -> None:
        """Crash workers, cut them off and shrink their capacity until then."""
        events: list[tuple[float, Callable[[SimulatedWorker], None]]] = []
        for mean, act in (
            (self.faults.crash_seconds, lambda worker: worker.crash()),
            (self.faults.cut_seconds, lambda worker: worker.cut()),
            (
                self.faults.isolation_seconds,
                lambda worker: worker.isolate(self.random.uniform(4.0, 14.0)),
            ),
            (self.faults.shrink_seconds, lambda worker: worker.shrink()),
        ):
            at = read_time()
            while mean and (at := at + self.random.expovariate(len(self.workers) / mean)) < until:
                events.append((at, act))
        for at, act in sorted(events, key=lambda event: event[0]):
            await asyncio.sleep(at - read_time())
            act(self.random.choice([each for each in self.workers.values() if not each.is_gone]))


async def delay_call(seconds: float, timeout: float) -> None:
    """Let a call take this long, or fail once its timeout is over."""
    await asyncio.sleep(min(seconds, timeout))
    if seconds > timeout:
        raise OutcomeUnknown("slow")


def read_time() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class SimulatedWorker:
    """A worker over all its incarnations."""

    cluster: SimulatedCluster
    name: str
    machine: str = ""
    """Name of the first worker on the same machine."""
    life: Life = Life(0)
    is_up: bool = False
    is_gone: bool = False
    """Whether the machine has a worker of another id since."""
    cut_until: float = 0.0
    isolated_until: float = 0.0
    seen_at: float = 0.0
    """When the registry last heard of the worker, if it is down or isolated."""
    entry: ListedWorker = field(init=False)
    capacities: list[tuple[float, Resources]] = field(default_factory=lambda: [(0.0, CAPACITY)])
    """The capacities that it had, each with the time from which it did."""

    def __post_init__(self) -> None:
        self.machine = self.machine or self.name
        life = Life(self.life + 1)
        self.entry = make_worker(self.name, CAPACITY, life=life, machine=self.machine)

    def boot(self, registry_delay: float = 0.0) -> None:
        """Start the next incarnation."""
        chance = self.cluster.random
        self.life, self.is_up = Life(self.life + 1), True
        self.token = FencingToken(0)
        self.lease_ms = 0
        self.lapsed_at = 0.0
        self.clock_start = read_time() - chance.uniform(0.0, 0.05)
        self.clock_rate = 1.0 - chance.uniform(0.0, MAX_CLOCK_DRIFT)
        self.running: dict[tuple[TaskKey, RunNumber], SimulatedRun] = {}
        self.closed: dict[TaskKey, int] = {}
        self.ends: list[tuple[EndedRun, SimulatedRun]] = []
        self.end_count = 0
        self.changed = asyncio.Event()
        asyncio.get_running_loop().call_later(registry_delay, self._register, self.life)
        # Drawn apart, so that other faults of a seed do not depend on how many workers boot.
        phase = random.Random(f"{self.name}.{self.life}").uniform(0.0, HEARTBEAT_SECONDS)
        self.cluster.spawn(self._write_entries(self.life, registry_delay + phase))

    def crash(self) -> None:
        """End this incarnation; the next one comes within 3 s, at times behind a cut."""
        if not self.is_up:
            return
        self._end_life()
        chance = self.cluster.random
        asyncio.get_running_loop().call_later(chance.uniform(0.0, 3.0), self._return)

    def _end_life(self) -> None:
        self.cluster.note(f"{self.name}.{self.life} crashes")
        self.expire()
        self.is_up = False
        if not self.is_isolated():
            self.seen_at = read_time()
        for run in list(self.running.values()):
            self._close(run, "crashed", read_time())

    def _crash_under(self, run: SimulatedRun) -> None:
        """End the incarnation that runs this; its machine has a worker again after about 3 s."""
        if run.ended_at is not None:
            return
        self._end_life()
        chance = self.cluster.random
        come_back = chance.choice((self._return_under_old_id, self._return_under_new_id))
        asyncio.get_running_loop().call_later(chance.uniform(2.5, 3.5), come_back)

    def _return_under_old_id(self) -> None:
        self.boot()
        self.cluster.note(f"{self.name}.{self.life} is up")

    def _return_under_new_id(self) -> None:
        self.is_gone = True
        name = f"w{len(self.cluster.workers)}"
        self.cluster.note(f"{self.name} is back as {name}")
        worker = SimulatedWorker(
            self.cluster, name, self.machine, self.life, cut_until=self.cut_until
        )
        self.cluster.workers[name] = worker
        worker.boot()

    def _return(self) -> None:
        chance = self.cluster.random
        self.boot(chance.uniform(0.0, 2.0))
        self.cluster.note(f"{self.name}.{self.life} is up")
        if chance.random() < 0.3:
            self.cut()

    def cut(self) -> None:
        """Cut the worker off from all leaders for some seconds; it reaches the registry."""
        self.cut_until = read_time() + self.cluster.random.uniform(0.5, 7.0)
        self.cluster.note(f"{self.name} is cut off until {self.cut_until:.3f}")

    def isolate(self, seconds: float) -> None:
        """Cut the worker off from all leaders and from the registry, where its entry expires."""
        if not self.is_up:
            return
        if not self.is_isolated():
            self.seen_at = read_time()
        self.isolated_until = max(self.isolated_until, read_time() + seconds)
        self.cut_until = max(self.cut_until, self.isolated_until)
        self.cluster.note(f"{self.name} is isolated until {self.isolated_until:.3f}")

    def is_isolated(self) -> bool:
        return read_time() < self.isolated_until

    def shrink(self) -> None:
        """Take some of the capacity away for some seconds."""
        chance = self.cluster.random
        self._set_capacity(replace(CAPACITY, millicores=chance.randrange(1, SLOTS) * 1_000))
        grow_delay = chance.uniform(3.0, 15.0)
        asyncio.get_running_loop().call_later(grow_delay, self._set_capacity, CAPACITY)

    def _set_capacity(self, capacity: Resources) -> None:
        self.capacities.append((read_time(), capacity))
        self.cluster.note(f"{self.name} has {capacity}")

    async def _write_entries(self, life: Life, delay: float) -> None:
        """Report to the registry at each heartbeat while this incarnation lives."""
        await asyncio.sleep(delay)
        while self.is_up and self.life == life:
            capacity, sequence = self.get_capacity(), self.entry.sequence + 1
            latency = self.cluster.faults.table_seconds
            await asyncio.sleep(latency)
            reaches_registry = not self.cluster.is_registry_away and not self.is_isolated()
            if reaches_registry and self.is_up and self.life == life:
                self.entry = replace(self.entry, capacity=capacity, sequence=sequence)
            await asyncio.sleep(HEARTBEAT_SECONDS - latency)

    def get_capacity(self) -> Resources:
        return self.capacities[-1][1]

    def list_capacities(self, since: float, until: float) -> list[Resources]:
        """Return the capacities that the worker had at any time between these two."""
        changes = itertools.pairwise([*self.capacities, (float("inf"), CAPACITY)])
        return [each for (at, each), (end, _) in changes if at <= until and end >= since]

    def is_registered(self) -> bool:
        is_heard = self.is_up and not self.is_isolated()
        return is_heard or read_time() < self.seen_at + SILENCE_SECONDS

    def is_cut(self) -> bool:
        return read_time() < self.cut_until

    def is_lost(self) -> bool:
        """Return whether the worker is cut off for good."""
        return math.isinf(self.cut_until)

    def _register(self, life: Life) -> None:
        if self.is_isolated():
            loop = asyncio.get_running_loop()
            loop.call_at(self.isolated_until, self._register, life)
            return
        life = max(life, self.entry.life)
        self.entry = replace(self.entry, life=life, capacity=self.get_capacity())

    def read_clock(self) -> int:
        return int((read_time() - self.clock_start) * self.clock_rate * 1_000)

    def expire(self) -> None:
        """Kill all runs if the lease is over."""
        if self.read_clock() <= self.lease_ms:
            return
        self.lapsed_at = self.clock_start + self.lease_ms / self.clock_rate / 1_000
        for run in list(self.running.values()):
            self.end(run, RunEnd.LAPSED, max(self.lapsed_at, run.started_at))

    def _extend(self, lease_ms: int) -> None:
        self.lease_ms = max(self.lease_ms, min(lease_ms, self.read_clock() + LONGEST_LEASE_MS))
        left = (self.lease_ms - self.read_clock() + 1) / self.clock_rate / 1_000
        asyncio.get_running_loop().call_later(max(0.0, left), self._expire_life, self.life)

    def _expire_life(self, life: Life) -> None:
        if self.is_up and self.life == life:
            self.expire()

    def check_token(self, token: FencingToken) -> None:
        if token < self.token:
            raise RefusedByFence(f"{self.name}.{self.life} has seen {self.token}")
        self.token = token
        self.expire()

    def start(
        self,
        task: TaskKey,
        run: RunNumber,
        text: str,
        lease_ms: int,
        origin: str,
        sent_at: float,
    ) -> StartAnswer:
        if lease_ms < self.read_clock():
            return StartAnswer.LATE
        self._extend(lease_ms)
        if (task, run) in self.running:
            return StartAnswer.STARTED
        if run <= self.closed.get(task, 0):
            return StartAnswer.OUTDATED
        taken = ROOM.multiply(len(self.running) + 1)
        if self.cluster.enforces_capacity and not taken.fits_in(self.get_capacity()):
            return StartAnswer.NO_ROOM
        started = SimulatedRun(task, run, f"{self.name}.{self.life}", sent_at, read_time())
        started.origin = origin
        self.running[(task, run)] = started
        self.cluster.runs.append(started)
        loop = asyncio.get_running_loop()
        if self.cluster.isolating.get(task):
            self.isolate(self.cluster.isolating[task].pop(0))
        if task in self.cluster.crashing:
            loop.call_later(CRASH_DELAY_SECONDS, self._crash_under, started)
        gang = self._find_gang(started)
        spec = self.cluster.get_step(task)
        if spec.gang:
            loop.call_later(GANG_WAIT_SECONDS, self._leave_gang, started)
        if not spec.gang or {each.task.number for _, each in gang} == set(range(spec.count)):
            for _, each in gang:
                each.begun_at = read_time()
            fails = self.cluster.random.random() < self.cluster.faults.failing
            loop.call_later(int(text) / 1_000, self._finish, started, fails)
        return StartAnswer.STARTED

    def _find_gang(self, run: SimulatedRun) -> list[tuple[SimulatedWorker, SimulatedRun]]:
        """Return the running members of a gang's run, or the run itself if it has no gang."""
        return [
            (worker, each)
            for worker in self.cluster.workers.values()
            if worker.is_up
            for each in worker.running.values()
            if each is run
            or (
                self.cluster.get_step(run.task).gang
                and (each.task.get_step(), each.run) == (run.task.get_step(), run.run)
            )
        ]

    def _leave_gang(self, run: SimulatedRun) -> None:
        if run.begun_at is None and run.ended_at is None:
            self.end(run, RunEnd.ALONE, read_time())

    def _finish(self, run: SimulatedRun, fails: bool) -> None:
        for worker, _ in self._find_gang(run):
            worker.expire()
        if run.ended_at is not None:
            return
        if fails:
            self.end(run, RunEnd.FAILED, read_time())
            return
        for worker, each in self._find_gang(run):
            worker.end(each, RunEnd.DONE, read_time())

    def stop(self, task: TaskKey, run: RunNumber) -> None:
        self.closed[task] = max(self.closed.get(task, 0), run)
        stopped = self.running.get((task, run))
        if stopped is not None:
            delay = self.cluster.random.uniform(0.0, LONGEST_STOP_SECONDS)
            asyncio.get_running_loop().call_later(delay, self._finish_stop, stopped)

    def _finish_stop(self, run: SimulatedRun) -> None:
        self.expire()
        self.end(run, RunEnd.STOPPED, read_time())

    def end(self, run: SimulatedRun, how: RunEnd, at: float) -> None:
        """End a run of the present incarnation, and list its end."""
        if run.ended_at is not None:
            return
        self._close(run, how.value, at)
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.run)
        self.end_count += 1
        self.ends.append((EndedRun(self.end_count, run.task, run.run, how, ""), run))
        self.changed.set()

    def _close(self, run: SimulatedRun, how: str, at: float) -> None:
        members = self._find_gang(run)
        del self.running[(run.task, run.run)]
        run.ended_at, run.end = at, how
        self.cluster.note(f"{run.place}: {format_task(run.task)} run {run.run} {how}, at {at:.3f}")
        if how != "done":
            for worker, each in members:
                if each is not run and each.ended_at is None:
                    worker.end(each, RunEnd.BROKEN, read_time())

    async def renew(self, last_end: int, lease_ms: int | None, wait_ms: int) -> WorkerReport | None:
        if lease_ms is not None:
            self._extend(lease_ms)
        for ended, run in self.ends:
            if ended.number <= last_end:
                run.is_acknowledged = run.ended_at is not None and self.lapsed_at < run.ended_at
                self.cluster.note(
                    f"{run.place}: {format_task(run.task)} run {run.run} acknowledged, "
                    f"ended at {run.ended_at:.3f}, last lapse at {self.lapsed_at:.3f}"
                )
        self.ends = [each for each in self.ends if each[0].number > last_end]
        life = self.life
        if not self.ends and wait_ms:
            self.changed.clear()
            await asyncio.wait({self.cluster.spawn(self.changed.wait())}, timeout=wait_ms / 1_000)
        if not self.is_up or self.life != life:
            return None
        self.expire()
        running = tuple(
            RunningRun(each.task, each.run, "", self._measure_progress(each))
            for each in self.running.values()
        )
        ends = tuple(ended for ended, _ in self.ends)
        return WorkerReport(WorkerTime(self.read_clock()), running, ends, self.life)

    def _measure_progress(self, run: SimulatedRun) -> int:
        if run.begun_at is None:
            return 0
        if self.cluster.get_step(run.task).lasting:
            return 100
        work_seconds = int(self.cluster.jobs[run.task.job].text) / 1_000
        return min(99, int((read_time() - run.begun_at) / work_seconds * 100))


class SimulatedClient:
    """Implements `PoolWorker` as the platform's adapter does."""

    def __init__(
        self, cluster: SimulatedCluster, listed: ListedWorker, token: FencingToken
    ) -> None:
        self._cluster = cluster
        self._worker = cluster.workers[listed.worker]
        self._life = listed.life
        self._token = token

    async def start(
        self,
        task: TaskKey,
        run: RunNumber,
        text: str,
        checkpoint: str,
        ticket: str,
        lease_until: WorkerTime,
        timeout: float,
    ) -> StartAnswer:
        sent_at = read_time()

        async def act(fate: str) -> StartAnswer:
            origin = f"{fate}, sent to life {self._life} with token {self._token}"
            return self._worker.start(task, run, text, lease_until, origin, sent_at)

        name = f"start {format_task(task)} run {run} until {lease_until}"
        try:
            answer: StartAnswer = await self._send(name, act, timeout)
        except WorkerUnavailable:
            return StartAnswer.UNHEALTHY
        return answer

    async def stop(self, task: TaskKey, run: RunNumber, timeout: float) -> None:
        async def act(fate: str) -> bool:
            self._worker.stop(task, run)
            return True

        await self._send(f"stop {format_task(task)} run {run}", act, timeout)

    async def pace(self, task: TaskKey, run: RunNumber, percent: int, timeout: float) -> None:
        raise AssertionError("no task of these jobs fills")

    async def renew(
        self, last_end_number: int, lease_until: WorkerTime | None, wait_ms: int, timeout: float
    ) -> WorkerReport:
        async def act(fate: str) -> WorkerReport | None:
            return await self._worker.renew(last_end_number, lease_until, wait_ms)

        name = f"renew {last_end_number} until {lease_until}"
        report: WorkerReport = await self._send(name, act, timeout)
        if report.life != self._life:
            raise OtherLife(
                f"life {report.life} answered a request to life {self._life}", report.life
            )
        return report

    def close(self) -> None:
        """Do nothing: commands that are on their way stay so."""

    async def _send(
        self, name: str, act: Callable[[str], Coroutine[Any, Any, Any]], timeout: float
    ) -> Any:
        chance, worker = self._cluster.random, self._worker
        name = f"{name} with token {self._token} to {worker.name}.{self._life}"
        fate = self._draw_fate()
        if fate == "refused" or not self._cluster.is_in_use(worker.machine):
            await asyncio.sleep(chance.uniform(0.002, 0.04))
            raise WorkerUnavailable(f"{worker.name} refused the connection")
        delay = chance.uniform(0.001, 0.02)
        if fate == "late":
            delay = chance.uniform(0.0, self._cluster.faults.latest_seconds)
        if fate != "answered":
            self._cluster.note(f"{name}: {fate}, delay {delay:.3f}")
        delivery = self._cluster.spawn(self._deliver(name, act, delay, fate))
        await asyncio.wait({delivery}, timeout=timeout)
        if fate == "answered" and delivery.done() and (reply := delivery.result()) is not None:
            if isinstance(reply, RefusedByFence | OtherLife):
                raise reply
            return reply
        raise OutcomeUnknown(f"{name} got no answer")

    def _is_behind_split(self) -> bool:
        if self._cluster.split is None:
            return False
        epoch, near = self._cluster.split
        is_former = self._token // TOKENS_PER_EPOCH <= epoch
        return is_former is not (self._worker.name in near)

    def _draw_fate(self) -> str:
        faults, chance = self._cluster.faults, self._cluster.random
        if self._is_behind_split() or self._worker.is_isolated():
            return "lost"
        if self._worker.is_cut():
            return chance.choice(("refused", "lost", "late", "unanswered"))
        weights = (faults.late, faults.unanswered, faults.lost, faults.refused)
        names = ("late", "unanswered", "lost", "refused", "answered")
        return chance.choices(names, (*weights, 1.0 - sum(weights)))[0]

    async def _deliver(
        self,
        name: str,
        act: Callable[[str], Coroutine[object, object, object]],
        delay: float,
        fate: str,
    ) -> object:
        await asyncio.sleep(delay)
        worker = self._worker
        if fate == "lost" or not self._cluster.is_in_use(worker.machine):
            return None
        if not worker.is_up:
            return OtherLife(f"{worker.name} is under another id")
        try:
            worker.check_token(self._token)
        except RefusedByFence as error:
            return error
        life = worker.life
        is_identified = not (
            self._cluster.faults.crosses_lives
            or self._token // TOKENS_PER_EPOCH in self._cluster.unidentified_epochs
        )
        if life != self._life and is_identified:
            return OtherLife(f"life {life} answered a request to life {self._life}", life)
        reply = await act(fate)
        if not name.startswith("renew"):
            self._cluster.note(f"{worker.name}.{life} carries out {name}: {reply}")
        await asyncio.sleep(self._cluster.random.uniform(0.001, 0.02))
        return None if worker.is_cut() or not worker.is_up or worker.life != life else reply

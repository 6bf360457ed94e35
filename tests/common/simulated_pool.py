"""The real `Term` of a pool on simulated workers in virtual time, and checks of their log."""

from __future__ import annotations

import asyncio
import itertools
import logging
import sys
import typing
from bisect import bisect
from collections.abc import Coroutine, Iterable
from functools import partial

import pytest

from lentilpath_core.ids import (
    ConfigVersion,
    Epoch,
    HostId,
    Incarnation,
    Instant,
    JobId,
    RowVersion,
)
from lentilpath_core.pool import (
    NO_CUSTOMER,
    JobRecord,
    JobState,
    PoolConfiguration,
    PoolState,
    StepSpec,
    TaskKey,
)
from lentilpathd._events import EventLine
from lentilpathd._pool._context import PoolContext
from lentilpathd._pool._leadership import (
    PoolLeadership,
)
from lentilpathd._pool._ports import (
    Deposed,
    PartitionCommitResult,
    PartitionRow,
    PartitionRows,
    PartitionTransaction,
)
from lentilpathd._pool._records import EPOCH_KEY, encode_record, format_task, get_job_partitions
from lentilpathd._pool._settings import PoolHostSettings
from lentilpathd._pool._succession import (
    LeaderProcess,
)
from lentilpathd._pool._term import Term
from tests.common.pools import QUEUE, make_job_id, make_queue
from tests.common.simulated_advice import POLICY, SimulatedAdvice, watch_startable
from tests.common.simulated_customers import (
    CUSTOMERS,
    FIRST_QUOTAS,
    check_quotas,
    list_leaks,
    make_configuration,
    make_quota_plan,
)
from tests.common.simulated_workers import (
    ROOM,
    Faults,
    SimulatedCluster,
    SimulatedRun,
    delay_call,
    read_time,
)
from tests.common.tables import ADDRESS, OnePartitionTable
from tests.common.virtual_time import run_in_virtual_time

FAULT_SECONDS = 40.0
CALM_SECONDS = 90.0
"""Bound on the time in which all jobs complete once faults are over."""
JOB_COUNT = 40
WORKER_COUNT = 6
CLOCK_SLACK_SECONDS = 0.002
"""Both clocks are read in whole milliseconds."""
SHRUNK_SECONDS = 5.5
"""Capacity that has shrunk counts this long: contactMs and a heartbeat."""
SPLIT_SECONDS = 12.0
"""A leader that is cut off together with workers outlives three of its leases."""
UNLIMITED_ATTEMPTS = 99
CRASHES = 3
"""A task is not started this often again after as many workers have crashed under it."""


class SharedRows(OnePartitionTable):
    """One host's path to the rows of all hosts, which a test can cut."""

    def __init__(
        self, rows: SharedRows | None = None, cluster: SimulatedCluster | None = None
    ) -> None:
        super().__init__()
        self._shared = rows or self
        self.hosts: list[SimulatedHost] = []
        self.double_leaders: list[str] = []
        """Takeovers from a leader that counts on its lease at that moment."""
        self._cluster = cluster

    async def _delay(self, timeout: float) -> None:
        await asyncio.sleep(0.01)
        if self._cluster is not None:
            await delay_call(self._cluster.faults.table_seconds, timeout)

    async def commit(self, transaction, timeout, prefer_relay=False):
        await self._delay(timeout)
        if self.is_unavailable:
            raise self.unavailable_error
        if self._cluster is not None and self._cluster.faults.lost_writes:
            return await self._cluster.late_writes.commit(
                partial(self._shared.apply_now, transaction), timeout
            )
        return self._shared.apply_now(transaction)

    def apply_now(self, transaction: PartitionTransaction) -> PartitionCommitResult:
        """Do a write at the present time, if its conditions hold."""
        self.clock_ms = int(read_time() * 1_000)
        result = self.apply(transaction)
        if result.applied and EPOCH_KEY in dict(transaction.puts):
            self.double_leaders.extend(
                f"TWICE: {host.name} counts on its lease at a takeover at {read_time():.3f}"
                for host in self.hosts
                if host.term is not None and host.leadership.is_confirmed(Instant(self.clock_ms))
            )
        return result

    async def read_partition(self, table, partition, first, end, timeout):
        await self._delay(timeout)
        if self.is_unavailable:
            raise self.unavailable_error
        self._shared.clock_ms = int(read_time() * 1_000)
        read = await OnePartitionTable.read_partition(
            self._shared, table, partition, first, end, timeout
        )
        rows = tuple(row for row in read.rows if row.part == partition)
        return PartitionRows(rows, read.version, read.clock_ms)

    async def follow(self, table, after, wait_seconds, timeout):
        await asyncio.sleep(0.1)
        if self.is_unavailable:
            raise self.unavailable_error
        shared = self._shared
        rows = tuple(row for row in shared.rows.values() if row.version > after)
        rows = tuple(row for row in rows if "/" not in row.key and row.part != "cell")
        return PartitionRows(rows, RowVersion(shared.version), shared.clock_ms)

    def put_job(self, record: JobRecord) -> None:
        self.version += 1
        part = get_job_partitions(record.job)[0]
        row = PartitionRow(part, record.job, encode_record(record), RowVersion(self.version))
        self.rows[record.job] = row


class SimulatedHost:
    """A host that leads whenever it can, without callers and peers."""

    def __init__(
        self, name: str, rows: SharedRows, cluster: SimulatedCluster, starts: int = 0
    ) -> None:
        self.name = name
        self.starts = starts
        """How often the host's process was started before."""
        self.started_at = 0.0
        self.path = SharedRows(rows, cluster)
        self.term: Term | None = None
        settings = PoolHostSettings(
            *(typing.cast(typing.Any, name),) * 3, *(ADDRESS,) * 4, 10_000, 5_000
        )
        unused = typing.cast(typing.Any, None)
        advice = typing.cast(typing.Any, SimulatedAdvice(cluster))
        self.context = PoolContext(
            settings,
            Incarnation(name),
            advice,
            typing.cast(typing.Any, self.path),
            typing.cast(typing.Any, cluster),
            cluster.open_client,
            unused,
            advice,
            unused,
            typing.cast(typing.Any, CountsNothing()),
            lambda: cluster.configuration,
            *(unused,) * 5,
        )
        incarnation = Incarnation(f"{name}.{starts}")
        self.process = LeaderProcess(HostId(name), incarnation)
        self.leadership = PoolLeadership(self.path, HostId(name), incarnation, ADDRESS)

    async def run(self) -> None:
        while True:
            epoch: Epoch = await self.leadership.acquire()
            self.term = Term(self.context, epoch, self.leadership)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self.leadership.renew_forever(epoch))
                    group.create_task(self.term.run())
            except* Deposed:
                pass
            finally:
                self.term = None


class CountsNothing:
    """Stands for the metrics."""

    def count(self, *_: object) -> None:
        pass

    def record_time(self, *_: object) -> None:
        pass


class TimelineHandler(logging.Handler):
    """Adds the leaders' own events to the log of the cluster."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        super().__init__(logging.INFO)
        self._cluster = cluster

    def emit(self, record: logging.LogRecord) -> None:
        if record.args and isinstance(record.args, tuple):
            line = record.args[0]
            if isinstance(line, EventLine):
                self._cluster.note(f"  leader: {line.event.text} {line.fields}")


def make_jobs(cluster: SimulatedCluster, count: int) -> list[tuple[float, JobRecord]]:
    """Draw jobs of single tasks, of steps of several tasks and of gangs, with their times."""
    chance = cluster.random
    jobs = []
    for number in range(1, count + 1):
        ms = chance.randint(200, 4_000)
        gang = StepSpec(chance.randint(2, 4), ROOM, ms, gang=True)
        steps = chance.choice(
            (
                (StepSpec(1, ROOM, ms),),
                (StepSpec(chance.randint(2, 5), ROOM, ms), StepSpec(2, ROOM, ms, after=(0,))),
                (gang,),
                (gang, StepSpec(1, ROOM, ms, after=(0,))),
            )
        )
        customer = CUSTOMERS[number % len(CUSTOMERS)] if cluster.quotas else NO_CUSTOMER
        record = JobRecord(make_job_id(number), QUEUE, str(ms), steps, customer=customer)
        if cluster.faults.crashing and chance.random() < cluster.faults.crashing:
            step = chance.randrange(len(steps))
            task = TaskKey(record.job, 0, step, chance.randrange(steps[step].count))
            cluster.crashing.add(task)
        jobs.append((chance.uniform(0.0, FAULT_SECONDS - 5.0), record))
    return sorted(jobs, key=lambda job: job[0])


async def simulate(
    cluster: SimulatedCluster, job_count: int, max_attempts: int = UNLIMITED_ATTEMPTS
) -> list[str]:
    """Run the pool through the faults and a calm time; return the jobs that did not end as due.

    Jobs with a task that crashes workers are due to fail, all others to complete unless a task has
    failed in all its attempts.
    """
    begun_at = read_time()
    for worker in cluster.workers.values():
        worker.boot()
    rows = SharedRows()
    hosts = [SimulatedHost(f"h{number}", rows, cluster) for number in range(2)]
    rows.hosts.extend(hosts)
    running = [asyncio.create_task(host.run()) for host in hosts]
    if cluster.quotas:
        cluster.spawn(change_quotas(cluster, hosts, begun_at))
    cluster.spawn(cluster.disturb_workers(begun_at + FAULT_SECONDS))
    cluster.spawn(replace_leaders(cluster, hosts, running))
    cluster.spawn(interrupt_table(cluster, hosts))
    for at, record in make_jobs(cluster, job_count):
        cluster.jobs[record.job] = record
        await asyncio.sleep(max(0.0, begun_at + at - read_time()))
        rows.put_job(record)
    await asyncio.sleep(begun_at + FAULT_SECONDS - read_time())
    cluster.note("faults are over")
    cluster.faults = Faults(crosses_lives=cluster.faults.crosses_lives)
    idle: list[str] = []
    cluster.spawn(watch_startable(cluster, lambda: list_states(hosts), read_time(), idle))
    due = dict.fromkeys(cluster.jobs, JobState.COMPLETED)
    due.update(dict.fromkeys((task.job for task in cluster.crashing), JobState.FAILED))
    open_jobs = {job: [""] for job in due}
    while open_jobs and read_time() < begun_at + FAULT_SECONDS + CALM_SECONDS:
        await asyncio.sleep(1.0)
        terms = [host.term for host in hosts if host.term is not None]
        shown = {job: [show_state(term, job) for term in terms] for job in due}
        open_jobs = {
            job: states
            for job, states in shown.items()
            if due[job].value not in states
            and not ("failed" in states and has_spent_attempts(cluster, job, max_attempts))
        }
    await asyncio.sleep(13.0)
    leaks = [leak for host in hosts if host.term is not None for leak in list_leaks(host.term)]
    assert all(not task.done() for task in running), [task for task in running if task.done()]
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    lost = (
        rows.double_leaders
        + idle[:1]
        + [
            f"LOST: {job} is {' and '.join(states)}, not {due[job].value}"
            for job, states in open_jobs.items()
        ]
    )
    return lost if lost else leaks


async def change_quotas(
    cluster: SimulatedCluster, hosts: list[SimulatedHost], begun_at: float
) -> None:
    """Let the customers' quotas change as planned; leaders apply each version at once."""
    for at, configuration in make_quota_plan(cluster, FAULT_SECONDS):
        await asyncio.sleep(max(0.0, begun_at + at - read_time()))
        cluster.configuration = configuration
        cluster.quotas.append((read_time(), configuration.customers))
        for host in hosts:
            if host.term is not None:
                host.term.apply_configuration(configuration)


def list_states(hosts: list[SimulatedHost]) -> list[PoolState]:
    return [host.term._state for host in hosts if host.term is not None and host.term.is_ready()]


def show_state(term: Term, job: str) -> str:
    state = term.get_state(JobId(job))
    return state.value if state is not None else "unknown"


async def replace_leaders(
    cluster: SimulatedCluster, hosts: list[SimulatedHost], running: list[asyncio.Task[None]]
) -> None:
    """Crash the leader's host from time to time, or cut it off from the table."""
    times = (cluster.random.uniform(2.0, FAULT_SECONDS) for _ in range(cluster.faults.takeovers))
    begun_at = read_time()
    for at in sorted(times):
        await asyncio.sleep(max(0.0, begun_at + at - read_time()))
        index = next((n for n, host in enumerate(hosts) if host.term is not None), 0)
        host = hosts[index]
        if cluster.faults.isolates_leader:
            cluster.note(f"{host.name} is cut off from the table")
            host.path.is_unavailable = True
            if cluster.faults.splits_workers and host.term is not None:
                near = frozenset(sorted(cluster.workers)[: len(cluster.workers) // 3])
                cluster.split = host.term._epoch, near
                cluster.note(f"it reaches {', '.join(sorted(near))} only")
                await asyncio.sleep(SPLIT_SECONDS)
                cluster.split, host.path.is_unavailable = None, False
                continue
            asyncio.get_running_loop().call_later(6.0, setattr, host.path, "is_unavailable", False)
            continue
        cluster.note(f"{host.name} crashes")
        running[index].cancel()
        await asyncio.wait({running[index]})
        await asyncio.sleep(2.5)
        running[index] = asyncio.create_task(host.run())


async def interrupt_table(cluster: SimulatedCluster, hosts: list[SimulatedHost]) -> None:
    """Take the table and the registry away from all hosts and workers from time to time."""
    chance, faults = cluster.random, cluster.faults
    for _ in range(faults.outages):
        await asyncio.sleep(chance.uniform(4.0, 9.0))
        set_table_away(cluster, hosts, True)
        await asyncio.sleep(faults.outage_seconds or chance.uniform(6.0, 10.0))
        set_table_away(cluster, hosts, False)


def set_table_away(cluster: SimulatedCluster, hosts: list[SimulatedHost], is_away: bool) -> None:
    cluster.note(f"the table is {'away' if is_away else 'back'}")
    cluster.is_registry_away = is_away
    for host in hosts:
        host.path.is_unavailable = is_away


def check_runs(runs: list[SimulatedRun]) -> Iterable[str]:
    """Yield the promises that the workers' log shows to be broken."""
    by_task: dict[str, list[SimulatedRun]] = {}
    for run in runs:
        by_task.setdefault(format_task(run.task), []).append(run)
    for task, each in by_task.items():
        for first, second in itertools.permutations(each, 2):
            if first.started_at > second.started_at:
                continue
            first_end = first.ended_at if first.ended_at is not None else float("inf")
            names = " and ".join(
                f"{each.place} run {each.run} ({each.origin})" for each in (first, second)
            )
            if second.started_at < first_end - CLOCK_SLACK_SECONDS:
                yield f"TWICE: {task} at the same time, {names} at {second.started_at:.3f}"
            elif first.end == "done" and first.is_acknowledged:
                yield f"TWICE: {task} after its success, {names} at {second.started_at:.3f}"


def list_failures(cluster: SimulatedCluster, only_acknowledged: bool) -> dict[TaskKey, list[float]]:
    """Return the times at which runs failed, by task; those of a gang under its first task."""
    failures: dict[TaskKey, dict[int, float]] = {}
    for run in cluster.runs:
        if run.end == "failed" and (run.is_acknowledged or not only_acknowledged):
            assert run.ended_at is not None
            failures.setdefault(find_counted_task(cluster, run), {})[run.run] = run.ended_at
    return {task: sorted(ends.values()) for task, ends in failures.items()}


def find_counted_task(cluster: SimulatedCluster, run: SimulatedRun) -> TaskKey:
    """Return the task under which the attempts of a run's task, or of its gang, are counted."""
    is_gang = cluster.get_step(run.task).gang
    return run.task._replace(number=0) if is_gang else run.task


def has_spent_attempts(cluster: SimulatedCluster, job: str, max_attempts: int) -> bool:
    """Return whether a task of the job has failed in all its attempts."""
    failures = list_failures(cluster, only_acknowledged=False)
    return any(task.job == job and len(times) >= max_attempts for task, times in failures.items())


def check_attempts(cluster: SimulatedCluster, max_attempts: int) -> Iterable[str]:
    """Yield the starts of tasks whose attempts had all failed."""
    failures = list_failures(cluster, only_acknowledged=True)
    for run in cluster.runs:
        times = failures.get(find_counted_task(cluster, run), [])
        if bisect(times, run.started_at) >= max_attempts:
            yield f"BUDGET: {format_task(run.task)} run {run.run} at {run.started_at:.3f}"


def check_order(cluster: SimulatedCluster) -> Iterable[str]:
    """Yield the starts of steps before all tasks of the steps before them had ended well."""
    done: dict[TaskKey, float] = {}
    for run in cluster.runs:
        if run.end == "done" and run.ended_at is not None:
            done[run.task] = min(run.ended_at, done.get(run.task, run.ended_at))
    for run in cluster.runs:
        for earlier in cluster.get_step(run.task).after:
            spec = cluster.jobs[run.task.job].steps[earlier]
            ends = [
                done.get(run.task._replace(step=earlier, number=number), float("inf"))
                for number in range(spec.count)
            ]
            # One successful end of a gang stands for all of them.
            if (min(ends) if spec.gang else max(ends)) > run.started_at + CLOCK_SLACK_SECONDS:
                yield f"ORDER: {format_task(run.task)} run {run.run} at {run.started_at:.3f}"


def check_capacities(cluster: SimulatedCluster) -> Iterable[str]:
    """Yield the starts that brought a worker over its capacity.

    A start that is carried out late is held against the capacities since it was sent.
    """
    by_place: dict[str, list[SimulatedRun]] = {}
    for run in cluster.runs:
        by_place.setdefault(run.place, []).append(run)
    for place, runs in by_place.items():
        worker = cluster.workers[place.partition(".")[0]]
        for run in runs:
            at = run.started_at
            held = [
                each
                for each in runs
                if each.started_at <= at
                and (each.ended_at is None or at < each.ended_at - CLOCK_SLACK_SECONDS)
            ]
            capacities = worker.list_capacities(run.sent_at - SHRUNK_SECONDS, at)
            if not any(ROOM.multiply(len(held)).fits_in(each) for each in capacities):
                names = ", ".join(f"{format_task(each.task)} run {each.run}" for each in held)
                yield f"LIMIT: {place} has {names} at {at:.3f}, the last {run.origin}"


def check_crashes(cluster: SimulatedCluster) -> Iterable[str]:
    """Yield the tasks that were started too often after workers had crashed under them."""
    for task in sorted(cluster.crashing):
        runs = [each for each in cluster.runs if each.task == task]
        crashes = sorted(each.ended_at or 0.0 for each in runs if each.end == "crashed")
        later = [each for each in runs if bisect(crashes, each.started_at) >= CRASHES]
        if len(later) >= CRASHES:
            names = ", ".join(f"{each.place} at {each.started_at:.3f}" for each in later[:CRASHES])
            yield f"BUDGET: {format_task(task)} after {CRASHES} crashes, {names}"


def run_logged(
    scenario: Coroutine[object, object, list[str]],
    cluster: SimulatedCluster,
    patch: pytest.MonkeyPatch,
) -> list[str]:
    """Run a scenario in virtual time, and add the leaders' events to the cluster's log."""
    modules = [
        module
        for name, module in list(sys.modules.items())
        if name.startswith("lentilpathd._pool.") and hasattr(module, "read_instant")
    ]
    handler = TimelineHandler(cluster)
    root = logging.getLogger()
    level = root.level
    root.addHandler(handler)
    root.setLevel(logging.INFO)
    try:
        return run_in_virtual_time(scenario, patch, *modules)
    finally:
        root.removeHandler(handler)
        root.setLevel(level)


def run_seed(
    seed: int,
    faults: Faults,
    patch: pytest.MonkeyPatch,
    enforces_capacity: bool = True,
    has_customers: bool = False,
    worker_count: int = WORKER_COUNT,
    job_count: int = JOB_COUNT,
    advice_hosts: int = 0,
    max_attempts: int = UNLIMITED_ATTEMPTS,
) -> tuple[list[str], str]:
    """Return the problems of one seed, and the timeline of the tasks that have them."""
    cluster = SimulatedCluster(seed, faults, worker_count, enforces_capacity, advice_hosts)
    queue = make_queue(max_attempts=max_attempts, advice=POLICY if advice_hosts else None)
    cluster.configuration = PoolConfiguration(ConfigVersion(1), {QUEUE: queue})
    if has_customers:
        cluster.configuration = make_configuration(cluster.configuration, FIRST_QUOTAS)
        cluster.quotas.append((0.0, cluster.configuration.customers))
    problems = run_logged(simulate(cluster, job_count, max_attempts), cluster, patch)
    for check in (
        check_runs(cluster.runs),
        check_order(cluster),
        check_attempts(cluster, max_attempts),
        check_capacities(cluster),
        check_crashes(cluster),
        check_quotas(cluster),
    ):
        problems.extend(check)
    return problems, "\n".join(f"{at:.3f} {text}" for at, text in cluster.log)

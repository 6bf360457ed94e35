"""A pool runs a task on one worker at a time, whatever the network and the workers do.

The real `Term` drives simulated workers in virtual time. The seed decides which commands are late,
lost or unanswered, when workers crash or are cut off, and when another host takes over.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import sys
import typing
from collections.abc import Iterable
from dataclasses import replace

import pytest

from lentilpath_core.ids import ConfigVersion, Epoch, HostId, Incarnation, JobId, RowVersion
from lentilpath_core.pool import JobRecord, JobState, PoolConfiguration, StepSpec
from lentilpathd._events import EventLine
from lentilpathd._pool._context import PoolContext
from lentilpathd._pool._leadership import PoolLeadership
from lentilpathd._pool._ports import Deposed, PartitionRow, PartitionRows
from lentilpathd._pool._records import encode_record, format_task, get_job_partitions
from lentilpathd._pool._settings import PoolHostSettings
from lentilpathd._pool._term import Term
from tests.common.pools import QUEUE, make_job_id, make_queue
from tests.common.simulated_workers import (
    ROOM,
    Faults,
    SimulatedCluster,
    SimulatedRun,
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
ALL = Faults(
    late=0.03, unanswered=0.03, lost=0.02, refused=0.01, crash_seconds=12.0, cut_seconds=15.0
)
CASES = {
    "late commands": Faults(late=0.08),
    "lost answers": Faults(unanswered=0.08, lost=0.03),
    "cuts": Faults(cut_seconds=8.0),
    "crashes": Faults(crash_seconds=8.0),
    "crashes and late commands": Faults(late=0.08, crash_seconds=8.0),
    "cuts and crashes": Faults(crash_seconds=10.0, cut_seconds=10.0),
    "takeovers": Faults(takeovers=3),
    "takeovers and cuts": Faults(takeovers=3, cut_seconds=10.0),
    "all": ALL,
    "all with takeovers": replace(ALL, takeovers=3),
}
ISOLATED = replace(ALL, takeovers=3, isolates_leader=True)


class SharedRows(OnePartitionTable):
    """One host's path to the rows of all hosts, which a test can cut."""

    def __init__(self, rows: SharedRows | None = None) -> None:
        super().__init__()
        self._shared = rows or self

    async def commit(self, transaction, timeout, prefer_relay=False):
        await asyncio.sleep(0.01)
        if self.is_unavailable:
            raise self.unavailable_error
        self._shared.clock_ms = int(read_time() * 1_000)
        if self._shared is self:
            return await super().commit(transaction, timeout, prefer_relay)
        return await OnePartitionTable.commit(self._shared, transaction, timeout)

    async def read_partition(self, table, partition, first, end, timeout):
        await asyncio.sleep(0.01)
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

    def __init__(self, name: str, rows: SharedRows, cluster: SimulatedCluster) -> None:
        self.name = name
        self.path = SharedRows(rows)
        self.term: Term | None = None
        settings = PoolHostSettings(
            *(typing.cast(typing.Any, name),) * 3, *(ADDRESS,) * 4, 10_000, 5_000
        )
        unused = typing.cast(typing.Any, None)
        configuration = PoolConfiguration(ConfigVersion(1), {QUEUE: make_queue(max_attempts=99)})
        self.context = PoolContext(
            settings,
            Incarnation(name),
            unused,
            typing.cast(typing.Any, self.path),
            typing.cast(typing.Any, cluster),
            cluster.open_client,
            unused,
            unused,
            unused,
            typing.cast(typing.Any, CountsNothing()),
            lambda: configuration,
            *(unused,) * 4,
        )
        self.leadership = PoolLeadership(self.path, HostId(name), Incarnation(name), ADDRESS)

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


def make_jobs(cluster: SimulatedCluster) -> list[tuple[float, JobRecord]]:
    """Draw jobs of single tasks, of steps of several tasks and of gangs, with their times."""
    chance = cluster.random
    jobs = []
    for number in range(1, JOB_COUNT + 1):
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
        record = JobRecord(make_job_id(number), QUEUE, str(ms), steps)
        jobs.append((chance.uniform(0.0, FAULT_SECONDS - 5.0), record))
    return sorted(jobs, key=lambda job: job[0])


async def simulate(cluster: SimulatedCluster) -> list[str]:
    """Run the pool through the faults and a calm time; return the jobs that did not complete."""
    begun_at = read_time()
    for worker in cluster.workers.values():
        worker.boot()
    rows = SharedRows()
    hosts = [SimulatedHost(f"h{number}", rows, cluster) for number in range(2)]
    running = [asyncio.create_task(host.run()) for host in hosts]
    cluster.spawn(cluster.crash_and_cut(begun_at + FAULT_SECONDS))
    cluster.spawn(replace_leaders(cluster, hosts, running))
    for at, record in make_jobs(cluster):
        cluster.jobs[record.job] = record
        await asyncio.sleep(max(0.0, begun_at + at - read_time()))
        rows.put_job(record)
    await asyncio.sleep(begun_at + FAULT_SECONDS - read_time())
    cluster.note("faults are over")
    cluster.faults = Faults()
    open_jobs = list(cluster.jobs)
    while open_jobs and read_time() < begun_at + FAULT_SECONDS + CALM_SECONDS:
        await asyncio.sleep(1.0)
        terms = [host.term for host in hosts if host.term is not None]
        open_jobs = [
            each
            for each in cluster.jobs
            if not any(term.get_state(JobId(each)) is JobState.COMPLETED for term in terms)
        ]
    await asyncio.sleep(13.0)
    assert all(not task.done() for task in running), [task for task in running if task.done()]
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    return [f"LOST: {each} did not complete" for each in open_jobs]


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
            asyncio.get_running_loop().call_later(6.0, setattr, host.path, "is_unavailable", False)
            continue
        cluster.note(f"{host.name} crashes")
        running[index].cancel()
        await asyncio.wait({running[index]})
        await asyncio.sleep(2.5)
        running[index] = asyncio.create_task(host.run())


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


def run_seed(seed: int, faults: Faults, patch: pytest.MonkeyPatch) -> tuple[list[str], str]:
    """Return the problems of one seed, and the timeline of the tasks that have them."""
    cluster = SimulatedCluster(seed, faults, WORKER_COUNT)
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
        problems = run_in_virtual_time(simulate(cluster), patch, *modules)
    finally:
        root.removeHandler(handler)
        root.setLevel(level)
    problems.extend(check_runs(cluster.runs))
    return problems, "\n".join(f"{at:.3f} {text}" for at, text in cluster.log)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("case", CASES)
def test_no_task_runs_twice_and_every_job_completes(case, seed, monkeypatch):
    problems, timeline = run_seed(seed, CASES[case], monkeypatch)
    print(timeline)
    assert not problems


@pytest.mark.parametrize("seed", range(3))
def test_no_task_runs_twice_while_a_former_leader_still_reaches_workers(seed, monkeypatch):
    problems, timeline = run_seed(seed, ISOLATED, monkeypatch)
    print(timeline)
    assert not problems

"""A worker whose suspension is stored after it has got commands again.

Each batch of the writer holds one record here, as a batch holds 60 of them under load: a list that
suspends the worker and the list that follows it then come in batches of their own.
"""

from __future__ import annotations

import asyncio

import pytest

from lentilpath_core.ids import ConfigVersion, WorkerId
from lentilpath_core.pool import JobRecord, PoolConfiguration, StepSpec
from lentilpathd._pool import _writer
from lentilpathd._pool._worker_rows import decode_workers
from tests.common.pools import QUEUE, make_job_id, make_queue
from tests.common.requests import wait_until
from tests.common.simulated_pool import SharedRows, SimulatedHost, check_runs, run_logged
from tests.common.simulated_workers import ROOM, Faults, SimulatedCluster, SimulatedWorker

SILENT = WorkerId("w1")
JOB_COUNT = 16
RUN_MS = 9_000
FOR_EVER = float("inf")


async def play(cluster: SimulatedCluster) -> list[str]:
    for worker in cluster.workers.values():
        worker.boot()
    rows = SharedRows()
    hosts = [SimulatedHost(f"h{number}", rows, cluster) for number in range(3)]
    first = asyncio.create_task(hosts[0].run())
    await asyncio.sleep(6.0)
    silent = cluster.workers[SILENT]
    silent.cut_until = FOR_EVER
    cluster.note(f"{SILENT} is silent")
    first.cancel()
    await asyncio.wait({first})
    joined = cluster.workers["w4"] = SimulatedWorker(cluster, "w4")
    joined.boot()
    for number in range(1, JOB_COUNT + 1):
        steps = (StepSpec(1, ROOM, RUN_MS),)
        record = JobRecord(make_job_id(number), QUEUE, str(RUN_MS), steps)
        cluster.jobs[record.job] = record
        rows.put_job(record)
    second = asyncio.create_task(hosts[1].run())
    await wait_until(lambda: hosts[1].term is not None and hosts[1].term._ready)
    term = hosts[1].term
    assert term is not None
    cluster.note("the table is away")
    hosts[1].path.is_unavailable = True
    await wait_until(lambda: term._state.workers[SILENT].is_suspended)
    cluster.note(f"{SILENT} answers again")
    silent.cut_until = 0.0
    await wait_until(lambda: not term._state.workers[SILENT].is_suspended)
    cluster.note("the table is back")
    hosts[1].path.is_unavailable = False
    cluster.faults = Faults(table_seconds=0.03)
    await wait_until(lambda: term._writer.durable_count > 0)
    cluster.note("the first list is stored")
    await wait_until(lambda: SILENT in read_suspensions(rows))
    cluster.note(f"a list that suspends {SILENT} is stored; h1 is lost")
    silent.cut_until = FOR_EVER
    second.cancel()
    await asyncio.wait({second})
    cluster.faults = Faults()
    cluster.spawn(hosts[2].run())
    await asyncio.sleep(12.0)
    for task in (others := asyncio.all_tasks() - {asyncio.current_task()}):
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    return list(check_runs(cluster.runs))


def read_suspensions(rows: SharedRows) -> set[WorkerId]:
    found = {key: row.value for key, row in rows.rows.items() if key.startswith("0workers")}
    return set(decode_workers(found, 1).runs_end_ms)


@pytest.mark.parametrize("seed", range(5))
def test_no_task_runs_twice_after_a_suspension_that_is_stored_late(seed, monkeypatch):
    monkeypatch.setattr(_writer, "MAX_PUTS", 1)
    cluster = SimulatedCluster(seed, Faults(), 4)
    cluster.configuration = PoolConfiguration(ConfigVersion(1), {QUEUE: make_queue(max_attempts=9)})
    problems = run_logged(play(cluster), cluster, monkeypatch)
    print("\n".join(f"{at:.3f} {text}" for at, text in cluster.log))
    assert not problems

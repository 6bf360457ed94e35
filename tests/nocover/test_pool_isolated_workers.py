"""Jobs whose workers are cut off from hosts and registry, and return, are not taken for crashing.

A job of lasting tasks was shown as failed, and its other tasks were stopped with it.
"""

from __future__ import annotations

import asyncio

import pytest

from lentilpath_core.ids import ConfigVersion
from lentilpath_core.pool import JobRecord, JobState, PoolConfiguration, StepSpec
from tests.common.pools import QUEUE, make_job_id, make_queue, make_task
from tests.common.simulated_pool import (
    SharedRows,
    SimulatedHost,
    check_runs,
    run_logged,
    show_state,
)
from tests.common.simulated_workers import ROOM, Faults, SimulatedCluster, SimulatedWorker

WORKER_COUNT = 12
TASK_COUNT = 8
RUN_MS = 600_000
PLAY_SECONDS = 60.0
CUTS = {
    "three of 9 s": [9.0] * 3,
    "five of 9 s": [9.0] * 5,
    "four of 14 s": [14.0] * 4,
    "four for good": [PLAY_SECONDS] * 4,
}


async def play(cluster: SimulatedCluster, cuts: list[float], is_leader_lost: bool) -> list[str]:
    """Isolate each worker that starts the first task of a job; return what is wrong at the end."""
    for worker in cluster.workers.values():
        worker.boot()
    rows = SharedRows()
    hosts = [SimulatedHost(f"h{number}", rows, cluster) for number in range(3)]
    running = [asyncio.create_task(host.run()) for host in hosts]
    await asyncio.sleep(5.0)
    step = StepSpec(TASK_COUNT, ROOM, RUN_MS, lasting=True)
    record = JobRecord(make_job_id(1), QUEUE, str(RUN_MS), (step,))
    cluster.jobs[record.job] = record
    cluster.isolating[make_task(1)] = list(cuts)
    rows.put_job(record)
    for second in range(int(PLAY_SECONDS)):
        await asyncio.sleep(1.0)
        if is_leader_lost and second == int(cuts[0]):
            leader = next(n for n, host in enumerate(hosts) if host.term is not None)
            cluster.note(f"{hosts[leader].name} is lost")
            running[leader].cancel()
    states = {show_state(host.term, record.job) for host in hosts if host.term is not None}
    at_work = {
        run.task.number
        for worker in cluster.workers.values()
        if not worker.is_isolated()
        for run in worker.running.values()
    }
    problems = [] if states == {JobState.RUNNING.value} else [f"LOST: the job is {states}"]
    if len(at_work) < TASK_COUNT:
        problems.append(f"LOST: only the tasks {sorted(at_work)} of {TASK_COUNT} are at work")
    for task in (others := asyncio.all_tasks() - {asyncio.current_task()}):
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    return problems


@pytest.mark.parametrize("is_leader_lost", [False, True], ids=["one leader", "a leader is lost"])
@pytest.mark.parametrize("case", CUTS)
def test_a_lasting_job_whose_workers_are_isolated_goes_on(case, is_leader_lost, monkeypatch):
    cluster = SimulatedCluster(1, Faults(), WORKER_COUNT)
    cluster.configuration = PoolConfiguration(ConfigVersion(1), {QUEUE: make_queue()})
    problems = run_logged(play(cluster, CUTS[case], is_leader_lost), cluster, monkeypatch)
    problems.extend(check_runs(cluster.runs))
    print("\n".join(f"{at:.3f} {text}" for at, text in cluster.log))
    assert not problems


@pytest.mark.parametrize(("seed", "down_seconds"), [(1, 4.0), (6, 3.5)])
def test_a_lasting_job_whose_workers_are_isolated_and_restart_before_they_return_goes_on(
    seed, down_seconds, monkeypatch
):
    """Its runs had lapsed before, so it was shown as failed although no worker crashed under it."""
    cluster = SimulatedCluster(seed, Faults(), WORKER_COUNT)
    cluster.configuration = PoolConfiguration(ConfigVersion(1), {QUEUE: make_queue()})
    isolate = SimulatedWorker.isolate

    def isolate_and_restart(worker: SimulatedWorker, seconds: float) -> None:
        isolate(worker, seconds)
        asyncio.get_running_loop().call_later(seconds - down_seconds, worker.crash)

    monkeypatch.setattr(SimulatedWorker, "isolate", isolate_and_restart)
    problems = run_logged(play(cluster, CUTS["three of 9 s"], False), cluster, monkeypatch)
    print("\n".join(f"{at:.3f} {text}" for at, text in cluster.log))
    assert not [run for run in cluster.runs if run.end == "crashed"]
    assert not problems

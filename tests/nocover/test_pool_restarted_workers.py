"""Workers restart under their ids and are cut off soon after, while long tasks run (issue 62).

The next life of a worker takes calls that were sent for the former one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import replace

import pytest

from lentilpath_core.ids import ConfigVersion, WorkerId
from lentilpath_core.pool import JobRecord, Life, PoolConfiguration, StepSpec
from tests.common.pools import QUEUE, make_job_id, make_queue
from tests.common.simulated_pool import (
    SharedRows,
    SimulatedHost,
    check_runs,
    list_states,
    run_logged,
)
from tests.common.simulated_workers import ROOM, Faults, SimulatedCluster, read_time

WORKER_COUNT = 12
RESTARTED = 4
CYCLES = 3
CYCLE_SECONDS = 20.0
DARK_SECONDS = 0.6
CUT_SECONDS = 9.0
CLOCK_STEP = 10
"""By how many lives a worker's clock is set back."""
CALM = Faults(failing=0.0, crosses_lives=True)
LATE = Faults(failing=0.0, late=0.5, latest_seconds=2.0, crosses_lives=True)


async def submit_long_tasks(cluster: SimulatedCluster, rows: SharedRows) -> None:
    """Keep half of the room in use by tasks of 7 to 13 s."""
    for number in range(1, 200):
        ms = cluster.random.randint(7_000, 13_000)
        job = JobRecord(make_job_id(number), QUEUE, str(ms), (StepSpec(1, ROOM, ms),))
        cluster.jobs[job.job] = job
        rows.put_job(job)
        await asyncio.sleep(0.4)


async def restart_and_cut_workers(cluster: SimulatedCluster) -> None:
    """Restart some workers, whose last calls are late, and cut them off 2.6 s after that."""
    names = cluster.random.sample(sorted(cluster.workers), RESTARTED)
    cluster.faults = LATE
    await asyncio.sleep(1.0)
    for name in names:
        cluster.workers[name]._end_life()
    await asyncio.sleep(DARK_SECONDS)
    cluster.faults = CALM
    for name in names:
        cluster.workers[name].boot()
    await asyncio.sleep(2.6)
    for name in names:
        cluster.workers[name].isolate(CUT_SECONDS)


async def set_clocks_back(cluster: SimulatedCluster) -> None:
    """Restart some workers, whose last calls are late, with clocks that were set back."""
    names = cluster.random.sample(sorted(cluster.workers), RESTARTED)
    cluster.faults = LATE
    await asyncio.sleep(1.0)
    for name in names:
        cluster.workers[name]._end_life()
    await asyncio.sleep(DARK_SECONDS)
    cluster.faults = CALM
    for name in names:
        worker = cluster.workers[name]
        worker.life = Life(worker.life - CLOCK_STEP)
        worker.boot()
    # The simulated workers' own registration takes the highest life for the last.
    await asyncio.sleep(0.001)
    for name in names:
        worker = cluster.workers[name]
        worker.entry = replace(worker.entry, life=worker.life, sequence=0)


async def lose_leader(hosts: list[SimulatedHost], running: dict[str, asyncio.Task[None]]) -> None:
    """Kill the process that leads, and start its host again."""
    leader = next((host for host in hosts if host.term is not None), hosts[0])
    running[leader.name].cancel()
    await asyncio.wait({running[leader.name]})
    await asyncio.sleep(2.5)
    running[leader.name] = asyncio.create_task(leader.run())


async def play(
    cluster: SimulatedCluster,
    restart_workers: Callable[[SimulatedCluster], Coroutine[object, object, None]],
    loses_leaders: bool,
) -> list[str]:
    for worker in cluster.workers.values():
        worker.boot()
    rows = SharedRows()
    hosts = [SimulatedHost(f"h{number}", rows, cluster) for number in range(3)]
    running = {host.name: asyncio.create_task(host.run()) for host in hosts}
    await asyncio.sleep(15.0)
    cluster.spawn(submit_long_tasks(cluster, rows))
    await asyncio.sleep(10.0)
    for _ in range(CYCLES):
        begun_at = read_time()
        cluster.spawn(restart_workers(cluster))
        if loses_leaders:
            await asyncio.sleep(1.0 + DARK_SECONDS + 2.0)
            await lose_leader(hosts, running)
        await asyncio.sleep(begun_at + CYCLE_SECONDS - read_time())
    await asyncio.sleep(40.0)
    problems = list(list_unused_workers(cluster, hosts))
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    done = {run.task.job for run in cluster.runs if run.end == "done"}
    problems.extend(f"LOST: {job} is not done" for job in cluster.jobs if job not in done)
    return problems


def list_unused_workers(cluster: SimulatedCluster, hosts: list[SimulatedHost]) -> Iterable[str]:
    """List the workers whose latest life the leader does not use."""
    (state,) = list_states(hosts)
    for name, worker in cluster.workers.items():
        known = state.workers.get(WorkerId(name))
        if known is None or known.life != worker.life or not known.is_recorded:
            yield f"UNUSED: {name}.{worker.life}"


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("loses_leaders", [False, True])
def test_no_long_task_runs_twice_beside_workers_that_restart_and_are_cut_off(
    loses_leaders, seed, monkeypatch
):
    """A lease for the former life held the next one's runs for the longest that workers accept."""
    cluster = SimulatedCluster(seed, CALM, WORKER_COUNT)
    cluster.configuration = PoolConfiguration(ConfigVersion(1), {QUEUE: make_queue()})
    problems = run_logged(
        play(cluster, restart_and_cut_workers, loses_leaders), cluster, monkeypatch
    )
    problems.extend(check_runs(cluster.runs))
    print("\n".join(f"{at:.3f} {text}" for at, text in cluster.log))
    assert not problems


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("loses_leaders", [False, True])
def test_workers_that_restart_with_their_clocks_set_back_are_used_and_no_task_runs_twice(
    loses_leaders, seed, monkeypatch
):
    cluster = SimulatedCluster(seed, CALM, WORKER_COUNT)
    cluster.configuration = PoolConfiguration(ConfigVersion(1), {QUEUE: make_queue()})
    for worker in cluster.workers.values():
        worker.life = Life(CYCLES * CLOCK_STEP)
    problems = run_logged(play(cluster, set_clocks_back, loses_leaders), cluster, monkeypatch)
    problems.extend(check_runs(cluster.runs))
    print("\n".join(f"{at:.3f} {text}" for at, text in cluster.log))
    assert not problems

"""Jobs of before a change of leader go on although some workers are silent for good.

The workers stay registered, take commands at times and answer none. Recovered jobs stood still
while a single one was silent, and began to wait anew with each further leader.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from lentilpath_core.ids import ConfigVersion
from lentilpath_core.pool import JobState, PoolConfiguration
from lentilpathd._clock import MS_PER_SECOND
from lentilpathd._pool._leases import RENEWAL_TIMEOUT_SECONDS
from lentilpathd._pool._members import HEARTBEAT_INTERVAL_MS
from tests.common.pools import QUEUE, make_queue
from tests.common.requests import wait_until
from tests.common.simulated_advice import watch_startable
from tests.common.simulated_pool import (
    SharedRows,
    SimulatedHost,
    check_runs,
    list_states,
    make_jobs,
    run_logged,
    show_state,
)
from tests.common.simulated_workers import Faults, SimulatedCluster, read_time

WORKER_COUNT = 12
JOB_COUNT = 60
CALM_SECONDS = 30.0
FOR_EVER = float("inf")


@dataclass(frozen=True)
class Series:
    """Leaders that are lost one after the other while workers are silent."""

    silent: int
    kills: int
    every_seconds: float
    silent_at: float = 7.8
    """When the workers fall silent; the first leader is lost at 8 s."""
    return_seconds: float = 1.5
    """How long after its loss a host's next process is up; before that, another host may lead."""
    hosts_return: bool = True


SERIES = {
    "one worker, one leader": Series(1, 1, 5.0),
    "one worker, four leaders": Series(1, 4, 5.0),
    "one worker, six leaders in quick succession": Series(1, 6, 3.0),
    "one worker, six leaders whose hosts return late": Series(1, 6, 3.0, return_seconds=4.0),
    "a quarter of the workers, three leaders": Series(3, 3, 6.0),
    "a worker that is silent for long, four leaders": Series(1, 4, 5.0, silent_at=1.0),
    "most workers, one leader": Series(7, 1, 5.0),
    "most workers are silent for long, two leaders": Series(7, 2, 5.0, silent_at=1.0),
    "most workers, one leader whose host returns late": Series(7, 1, 5.0, return_seconds=3.0),
    "most workers, three leaders whose hosts return late": Series(7, 3, 5.0, return_seconds=3.0),
    "one worker, four leaders whose hosts return late": Series(1, 4, 5.0, return_seconds=3.0),
    "one worker, hosts that are lost for good": Series(1, 3, 5.0, hosts_return=False),
}


async def play(cluster: SimulatedCluster, series: Series) -> list[str]:
    """Play a series; return the steps that stand still afterwards and the jobs that do not end."""
    for worker in cluster.workers.values():
        worker.boot()
    rows = SharedRows()
    hosts = [SimulatedHost(f"h{number}", rows, cluster) for number in range(series.kills + 2)]
    running = {host.name: asyncio.create_task(host.run()) for host in hosts}
    cluster.spawn(submit_jobs(cluster, rows))
    cluster.spawn(exchange_heartbeats(hosts, running))
    await asyncio.sleep(series.silent_at)
    for worker in list(cluster.workers.values())[: series.silent]:
        worker.cut_until = FOR_EVER
    await asyncio.sleep(8.0 - series.silent_at)
    for _ in range(series.kills):
        host = next((each for each in hosts if each.term is not None), hosts[0])
        cluster.note(f"{host.name} is lost")
        running[host.name].cancel()
        await asyncio.wait({running[host.name]})
        if series.hosts_return:
            returned = SimulatedHost(host.name, rows, cluster, host.starts + 1)
            hosts[hosts.index(host)] = returned
            cluster.spawn(start_later(returned, series.return_seconds, running))
        lost_at = read_time()
        await asyncio.sleep(series.every_seconds)
    problems: list[str] = []
    cluster.spawn(watch_startable(cluster, lambda: list_states(hosts), lost_at, problems))
    await asyncio.sleep(CALM_SECONDS)
    terms = [host.term for host in hosts if host.term is not None]
    for job in cluster.jobs:
        states = {show_state(term, job) for term in terms}
        if JobState.COMPLETED.value not in states:
            problems.append(f"LOST: {job} is {' and '.join(sorted(states))} after all")
    for task in (others := asyncio.all_tasks() - {asyncio.current_task()}):
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    return problems


async def submit_jobs(cluster: SimulatedCluster, rows: SharedRows) -> None:
    began = read_time()
    for at, record in make_jobs(cluster, JOB_COUNT):
        await asyncio.sleep(max(0.0, began + at / 2 - read_time()))
        cluster.jobs[record.job] = record
        rows.put_job(record)


async def exchange_heartbeats(
    hosts: list[SimulatedHost], running: dict[str, asyncio.Task[None]]
) -> None:
    """Let the leader know which processes follow it."""
    while True:
        leader = next((each for each in hosts if list_states([each])), None)
        for host in hosts:
            is_up = not running[host.name].done()
            if leader is not None and leader.term is not None and is_up and host.term is None:
                up_ms = int((read_time() - host.started_at) * MS_PER_SECOND)
                leader.term.note_follower(host.process, up_ms)
        await asyncio.sleep(HEARTBEAT_INTERVAL_MS / MS_PER_SECOND)


async def start_later(
    host: SimulatedHost, seconds: float, running: dict[str, asyncio.Task[None]]
) -> None:
    await asyncio.sleep(seconds)
    host.started_at = read_time()
    running[host.name] = asyncio.create_task(host.run())


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("case", SERIES)
def test_jobs_go_on_beside_silent_workers_whatever_the_number_of_leaders(case, seed, monkeypatch):
    cluster = SimulatedCluster(seed, Faults(latest_seconds=3.0), WORKER_COUNT)
    cluster.configuration = PoolConfiguration(ConfigVersion(1), {QUEUE: make_queue(max_attempts=9)})
    problems = run_logged(play(cluster, SERIES[case]), cluster, monkeypatch)
    problems.extend(check_runs(cluster.runs))
    print("\n".join(f"{at:.3f} {text}" for at, text in cluster.log))
    assert not problems


LEADERS_OF_THE_WAIT = 2
"""The first of them stores when the runs on silent workers have ended, and the next leader need not
wait."""


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("hosts", ["in quick succession", "whose hosts return late"])
def test_jobs_go_on_while_leaders_are_still_being_lost(hosts, seed, monkeypatch):
    """They stood still for the whole series, since each leader began to wait anew."""
    series = SERIES[f"one worker, six leaders {hosts}"]
    cluster = SimulatedCluster(seed, Faults(latest_seconds=3.0), WORKER_COUNT)
    cluster.configuration = PoolConfiguration(ConfigVersion(1), {QUEUE: make_queue(max_attempts=9)})
    problems = run_logged(play(cluster, series), cluster, monkeypatch)
    lost = [at for at, text in cluster.log if text.endswith(" is lost")]
    jobs = {run.task.job for run in cluster.runs if run.started_at < lost[0]}
    began = [run.started_at for run in cluster.runs if run.task.job in jobs]
    assert any(lost[LEADERS_OF_THE_WAIT] < at < lost[-1] for at in began)
    assert not problems


async def measure_recovery(cluster: SimulatedCluster, silent: int) -> float:
    """Return the time from a leader's takeover until its successor's jobs may start, in seconds."""
    for worker in cluster.workers.values():
        worker.boot()
    rows = SharedRows()
    first, second = (SimulatedHost(name, rows, cluster) for name in ("h0", "h1"))
    leading = asyncio.create_task(first.run())
    await asyncio.sleep(4.0)
    for worker in list(cluster.workers.values())[:silent]:
        worker.cut_until = FOR_EVER
    leading.cancel()
    await asyncio.wait({leading})
    following = asyncio.create_task(second.run())
    await wait_until(lambda: second.term is not None)
    began = read_time()
    await wait_until(lambda: bool(list_states([second])))
    following.cancel()
    await asyncio.wait({following})
    return read_time() - began


@pytest.mark.parametrize("silent", [0, 1, 7])
def test_a_new_leader_waits_for_no_silent_worker_before_it_decides(silent, monkeypatch):
    cluster = SimulatedCluster(1, Faults(latest_seconds=3.0), WORKER_COUNT)
    cluster.configuration = PoolConfiguration(ConfigVersion(1), {QUEUE: make_queue()})
    took: list[float] = []

    async def scenario() -> list[str]:
        took.append(await measure_recovery(cluster, silent))
        return []

    run_logged(scenario(), cluster, monkeypatch)
    assert took[0] < RENEWAL_TIMEOUT_SECONDS

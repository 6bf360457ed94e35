"""Random series of lost leaders beside workers that fall silent, return, or crash.

`LENTILPATH_SERIES_SEEDS=FIRST-LAST` chooses other seeds.
"""

from __future__ import annotations

import asyncio
import os
import random
from dataclasses import dataclass

import pytest

from lentilpath_core.ids import ConfigVersion
from lentilpath_core.pool import JobState, PoolConfiguration
from tests.common.pools import QUEUE, make_queue
from tests.common.simulated_advice import watch_startable
from tests.common.simulated_pool import (
    SharedRows,
    SimulatedHost,
    check_order,
    check_runs,
    list_states,
    make_jobs,
    run_logged,
    set_table_away,
    show_state,
)
from tests.common.simulated_workers import Faults, SimulatedCluster
from tests.common.simulated_workers import read_time as read_loop_time

WORKER_COUNT = 12
JOB_COUNT = 60
CALM_SECONDS = 30.0
FOR_EVER = float("inf")


def read_time() -> float:
    """Return the seconds since the scenario began; the loop's clock begins at 1,000."""
    return read_loop_time() - 1_000.0


@dataclass(frozen=True)
class Variant:
    """What happens beside the losses of leaders."""

    most_silent: int = 5
    returning: float = 0.0
    """Share of the silent workers that answer again before the calm."""
    cuts_leaders: float = 0.0
    """Share of the leaders that are cut off from the table instead of killed."""
    outages: int = 0
    late: float = 0.0
    crash_seconds: float = 0.0
    latest_seconds: float = 3.0
    cut_seconds: float = 0.0
    most_kills: int = 6
    gap: tuple[float, float] = (1.5, 7.0)
    near: int = 0
    """Workers that only the leader that is cut off reaches."""
    restarting: float = 0.0
    """Share of the silent workers that restart, and stay silent."""
    table_seconds: float = 0.0
    workers: int = WORKER_COUNT
    jobs: int = JOB_COUNT
    """Few where most workers are silent, whose room counts although nothing can start there."""


VARIANTS = {
    "silent at any time": Variant(),
    "most silent": Variant(most_silent=10, jobs=12),
    "returning": Variant(returning=0.6),
    "cut leaders": Variant(cuts_leaders=0.6, returning=0.3),
    "cut leaders with workers": Variant(cuts_leaders=0.7, near=4, most_silent=3),
    "outages": Variant(outages=2, returning=0.3),
    "late": Variant(late=0.05, returning=0.3),
    "crashes": Variant(crash_seconds=60.0, returning=0.3),
    "crashes, all late": Variant(
        crash_seconds=60.0, returning=0.3, late=0.05, latest_seconds=12.0, cuts_leaders=0.3
    ),
    "short cuts, quick series": Variant(
        cut_seconds=20.0, most_silent=3, returning=0.3, most_kills=9, gap=(0.8, 3.0)
    ),
    "silent workers that restart": Variant(restarting=0.7, most_silent=4),
    "slow table": Variant(table_seconds=0.3, returning=0.3),
    "quick series": Variant(most_silent=4, most_kills=9, gap=(0.6, 2.6)),
    "three workers, one silent": Variant(workers=3, most_silent=1, cuts_leaders=0.3, jobs=14),
    "cut with workers, late, crashes": Variant(
        cuts_leaders=0.8, near=5, late=0.04, most_silent=3, returning=0.5, crash_seconds=150.0
    ),
    "cut with workers, quick": Variant(
        cuts_leaders=0.8, near=6, most_silent=4, returning=0.5, gap=(1.0, 4.0), most_kills=8
    ),
}


async def play(cluster: SimulatedCluster, variant: Variant, seed: int) -> list[str]:
    draw = random.Random(f"series {seed}")
    for worker in cluster.workers.values():
        worker.boot()
    rows = SharedRows()
    kills = draw.randint(1, variant.most_kills)
    hosts = [SimulatedHost(f"h{number}", rows, cluster) for number in range(4)]
    running = {host.name: asyncio.create_task(host.run()) for host in hosts}
    cluster.spawn(submit_jobs(cluster, rows, variant.jobs))
    gaps = [draw.uniform(*variant.gap) for _ in range(kills)]
    ends_at = 8.0 + sum(gaps)
    cluster.spawn(cluster.disturb_workers(read_loop_time() + ends_at))
    names = draw.sample(sorted(cluster.workers), draw.randint(1, variant.most_silent))
    for name in names:
        returns = draw.random() < variant.returning
        at = draw.uniform(1.0, ends_at - 0.5)
        until = draw.uniform(at, ends_at) if returns else FOR_EVER
        cluster.spawn(silence(cluster, name, at, until))
        if variant.restarting and draw.random() < variant.restarting:
            cluster.spawn(restart(cluster, name, draw.uniform(at, ends_at), draw.uniform(0.1, 3.0)))
    for _ in range(variant.outages):
        cluster.spawn(interrupt(cluster, hosts, draw.uniform(4.0, ends_at), draw.uniform(1.0, 9.0)))
    await asyncio.sleep(8.0)
    lost_at = read_time()
    for gap in gaps:
        host = next((each for each in hosts if each.term is not None), None)
        if host is None:
            await asyncio.sleep(gap)
            continue
        if draw.random() < variant.cuts_leaders:
            cluster.note(f"{host.name} is cut off from the table")
            host.path.is_unavailable = True
            cluster.spawn(reconnect(cluster, host, draw.uniform(2.0, 9.0), ends_at))
            if variant.near and host.term is not None:
                near = frozenset(draw.sample(sorted(cluster.workers), variant.near))
                cluster.note(f"near: {sorted(near)}")
                cluster.split = host.term._epoch, near
        else:
            cluster.note(f"{host.name} is lost")
            running[host.name].cancel()
            await asyncio.wait({running[host.name]})
            returned = SimulatedHost(host.name, rows, cluster, host.starts + 1)
            hosts[hosts.index(host)] = returned
            cluster.spawn(start_later(returned, running, draw.uniform(0.3, 6.0)))
        lost_at = read_time()
        await asyncio.sleep(gap)
    await asyncio.sleep(max(0.0, ends_at - read_time()))
    cluster.split = None
    set_table_away(cluster, hosts, False)
    for host in hosts:
        host.path.is_unavailable = False
    cluster.faults = Faults()
    cluster.note("faults are over")
    is_gentle = not (
        variant.outages
        or variant.cuts_leaders
        or variant.crash_seconds
        or variant.late
        or variant.cut_seconds
        or variant.returning
    )
    silent_at: float = getattr(cluster, "silent_at", lost_at)
    disturbed = max(lost_at, silent_at) if is_gentle else read_time()
    problems: list[str] = []
    cluster.spawn(
        watch_startable(cluster, lambda: list_states(hosts), disturbed + 1_000.0, problems)
    )
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


async def silence(cluster: SimulatedCluster, name: str, at: float, until: float) -> None:
    await asyncio.sleep(max(0.0, at - read_time()))
    cluster.note(f"{name} is silent until {until:.3f}")
    cluster.workers[name].cut_until = until + 1_000.0
    cluster.silent_at = read_time()  # type: ignore[attr-defined]


async def restart(cluster: SimulatedCluster, name: str, at: float, seconds: float) -> None:
    await asyncio.sleep(max(0.0, at - read_time()))
    cluster.workers[name]._end_life()
    await asyncio.sleep(seconds)
    cluster.workers[name].boot()
    cluster.note(f"{name} is up again")
    cluster.silent_at = read_time()  # type: ignore[attr-defined]


async def interrupt(
    cluster: SimulatedCluster, hosts: list[SimulatedHost], at: float, seconds: float
) -> None:
    await asyncio.sleep(at)
    cluster.note(f"the table is away for {seconds:.3f}")
    set_table_away(cluster, hosts, True)
    await asyncio.sleep(seconds)
    set_table_away(cluster, hosts, False)
    cluster.note("the table is back")


async def reconnect(
    cluster: SimulatedCluster, host: SimulatedHost, seconds: float, ends_at: float
) -> None:
    await asyncio.sleep(min(seconds, max(0.0, ends_at - read_time())))
    host.path.is_unavailable = False
    cluster.split = None
    cluster.note(f"{host.name} reaches the table again")


async def submit_jobs(cluster: SimulatedCluster, rows: SharedRows, count: int) -> None:
    began = read_time()
    for at, record in make_jobs(cluster, count):
        await asyncio.sleep(max(0.0, began + at / 2 - read_time()))
        cluster.jobs[record.job] = record
        rows.put_job(record)


async def start_later(
    host: SimulatedHost, running: dict[str, asyncio.Task[None]], seconds: float
) -> None:
    await asyncio.sleep(seconds)
    running[host.name] = asyncio.create_task(host.run())


def list_seeds() -> range:
    first, last = os.environ.get("LENTILPATH_SERIES_SEEDS", "0-1").split("-")
    return range(int(first), int(last) + 1)


@pytest.mark.parametrize("seed", list_seeds())
@pytest.mark.parametrize("case", VARIANTS)
def test_jobs_go_on_and_no_task_runs_twice_beside_silent_workers(case, seed, monkeypatch):
    variant = VARIANTS[case]
    faults = Faults(
        late=variant.late,
        latest_seconds=variant.latest_seconds,
        crash_seconds=variant.crash_seconds,
        cut_seconds=variant.cut_seconds,
        table_seconds=variant.table_seconds,
    )
    cluster = SimulatedCluster(seed, faults, variant.workers)
    cluster.configuration = PoolConfiguration(ConfigVersion(1), {QUEUE: make_queue(max_attempts=9)})
    problems = run_logged(play(cluster, variant, seed), cluster, monkeypatch)
    problems.extend(check_runs(cluster.runs))
    problems.extend(check_order(cluster))
    print("\n".join(f"{at:.3f} {text}" for at, text in cluster.log))
    assert not problems

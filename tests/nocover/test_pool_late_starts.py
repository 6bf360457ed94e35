"""A start is late, its worker restarts and stays silent, and another leader follows.

The next life must not carry the late start out, and must not hold up the task either. Where it
does carry it out, no leader can know: the task runs twice, or stands still for too long.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

import pytest

from lentilpath_core.errors import OutcomeUnknown
from lentilpath_core.ids import ConfigVersion, Epoch
from lentilpath_core.pool import JobRecord, PoolConfiguration, StepSpec
from lentilpathd._pool._leadership import PoolLeadership
from tests.common.pools import QUEUE, make_job_id, make_queue
from tests.common.simulated_pool import SharedRows, SimulatedHost, check_runs, run_logged
from tests.common.simulated_workers import (
    ROOM,
    Faults,
    SimulatedClient,
    SimulatedCluster,
    SimulatedWorker,
    read_time,
)

WORK_MS = 9_000
"""A late run would still work when the lease of the worker's former life is over."""
LATE_SECONDS = 1.0
MAX_STAND_SECONDS = 7.0
"""A job may have nothing running for 3 s once the network was calm for 4 s."""
FOR_EVER = float("inf")


@dataclass
class LateStart:
    """Delays the first copy of the first start; its worker is silent afterwards."""

    cluster: SimulatedCluster
    worker: SimulatedWorker | None = None
    sent_at: float = 0.0
    is_sent: asyncio.Event = field(default_factory=asyncio.Event)

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        send = SimulatedClient._send

        async def send_late(client: SimulatedClient, name: str, act: Any, timeout: float) -> Any:
            if not name.startswith("start") or self.worker is not None:
                return await send(client, name, act, timeout)
            self.worker, self.sent_at = client._worker, read_time()
            self.is_sent.set()
            self.cluster.spawn(client._deliver(name, act, LATE_SECONDS, "late"))
            await asyncio.sleep(timeout)
            raise OutcomeUnknown(name)

        draw_fate = SimulatedClient._draw_fate

        def lose_if_cut(client: SimulatedClient) -> str:
            return "lost" if client._worker.is_cut() else draw_fate(client)

        monkeypatch.setattr(SimulatedClient, "_send", send_late)
        monkeypatch.setattr(SimulatedClient, "_draw_fate", lose_if_cut)


async def play(cluster: SimulatedCluster, late: LateStart, lost_after: float) -> list[str]:
    """Lose the leader this many seconds after the start was sent."""
    for worker in cluster.workers.values():
        worker.boot()
    rows = SharedRows()
    hosts = [SimulatedHost(f"h{number}", rows, cluster) for number in range(3)]
    running = {host.name: asyncio.create_task(host.run()) for host in hosts}
    await asyncio.sleep(8.0)
    job = JobRecord(make_job_id(1), QUEUE, str(WORK_MS), (StepSpec(1, ROOM, WORK_MS),))
    cluster.jobs[job.job] = job
    rows.put_job(job)
    await late.is_sent.wait()
    assert late.worker is not None
    late.worker.cut_until = FOR_EVER
    leader = next(host for host in hosts if host.term is not None)
    asyncio.get_running_loop().call_later(lost_after, running[leader.name].cancel)
    await asyncio.sleep(0.35)
    late.worker._end_life()
    await asyncio.sleep(0.4)
    late.worker.boot()
    await asyncio.sleep(30.0)
    for task in (others := asyncio.all_tasks() - {asyncio.current_task()}):
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    return []


def simulate(cluster: SimulatedCluster, late: LateStart, lost_after: float, monkeypatch) -> None:
    cluster.configuration = PoolConfiguration(ConfigVersion(1), {QUEUE: make_queue()})
    late.install(monkeypatch)
    problems = run_logged(play(cluster, late, lost_after), cluster, monkeypatch)
    problems.extend(check_runs(cluster.runs))
    print("\n".join(f"{at:.3f} {text}" for at, text in cluster.log))
    assert late.worker is not None
    assert late.worker.life == 2
    assert not problems


@pytest.mark.parametrize("seed", range(2))
def test_no_task_runs_twice_if_the_lost_leader_was_of_an_earlier_release(seed, monkeypatch):
    """The next life carries out its late start, so the successor waits for that life."""
    cluster = SimulatedCluster(seed, Faults(failing=0.0), 12)
    cluster.unidentified_epochs = frozenset({1})

    def find_since(leadership: PoolLeadership, epoch: Epoch, inherited: int) -> int:
        return 0 if epoch == 1 else find_since_now(leadership, epoch, inherited)

    find_since_now = PoolLeadership._find_since
    monkeypatch.setattr(PoolLeadership, "_find_since", find_since)
    late = LateStart(cluster)
    simulate(cluster, late, 0.05, monkeypatch)
    assert late.worker is not None
    assert f"{late.worker.name}.2" in {run.place for run in cluster.runs}


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("crosses_lives", [False, True], ids=["one life", "any life"])
@pytest.mark.parametrize(
    "lost_after",
    [pytest.param(0.05, id="before the restart"), pytest.param(1.5, id="after the restart")],
)
def test_no_task_runs_twice_if_a_leader_is_lost_near_the_restart_of_a_silent_worker(
    lost_after, crosses_lives, seed, monkeypatch
):
    cluster = SimulatedCluster(seed, Faults(failing=0.0, crosses_lives=crosses_lives), 12)
    late = LateStart(cluster)
    simulate(cluster, late, lost_after, monkeypatch)
    assert late.worker is not None
    (run,) = cluster.runs
    assert run.end == "done"
    assert not run.place.startswith(f"{late.worker.name}.")
    assert run.started_at < late.sent_at + lost_after + MAX_STAND_SECONDS

"""The trace of a job id, built from the logs of real processes, explains its failure."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from typer.testing import CliRunner

from lentilpath.main import app
from lentilpathd._pool._records import JOBS_TABLE
from tests.common.requests import wait_until
from tests.soak.clients import Clients, Job
from tests.soak.runs import Soak

LONG_TASK_SECONDS = 30.0

Scenario = Callable[[Soak, Clients], Awaitable[Job]]


def run_and_trace(tmp_path, scenario: Scenario) -> str:
    """Run a failure scenario on real processes and return the trace of its job."""

    async def run() -> Job:
        soak = Soak(0, tmp_path)
        try:
            await soak.open()
            return await scenario(soak, Clients(soak.hosts, random.Random(0)))
        finally:
            for host in soak.hosts:
                # A planned stop flushes buffered log lines.
                await host.terminate()
            await soak.close()

    job = asyncio.run(run())
    logs = [str(path) for path in sorted(tmp_path.glob("*.log"))]
    result = CliRunner().invoke(app, ["trace", job.name, *logs])
    assert result.exit_code == 0, result.output
    return result.output


def test_a_refused_job_is_explained_by_the_cause_of_its_refusal(tmp_path):
    async def scenario(soak: Soak, clients: Clients) -> Job:
        for faults in soak.table_faults:
            faults.is_unavailable = True
        job = Job("00000000000000aa", (1,))
        await clients.submit(job, attempts=1)
        assert job.submit_statuses == [503]
        return job

    trace = run_and_trace(tmp_path, scenario)
    assert "LP517" in trace
    assert "LP522" not in trace


def test_a_late_job_is_explained_by_the_worker_that_was_lost(tmp_path):
    async def scenario(soak: Soak, clients: Clients) -> Job:
        for worker in soak.workers:
            worker.run_seconds = LONG_TASK_SECONDS
        job = Job("00000000000000ab", (1,))
        await clients.submit(job)
        await wait_until(lambda: bool(soak.log))
        proxy = soak.worker_proxies[int(soak.log[0].worker.removeprefix("w"))]
        proxy.to_server_open.clear()
        proxy.to_client_open.clear()
        await wait_until(lambda: len(soak.log) == 2)
        return job

    lines = run_and_trace(tmp_path, scenario).splitlines()
    (lost,) = [line for line in lines if "LP529" in line]
    assert "reason=lease-lapsed" in lost
    first, second, *_ = (line for line in lines if "LP525 a run is started" in line)
    worker = lost.partition("worker=")[2].split()[0]
    assert f"worker={worker}" in first
    assert f"worker={worker}" not in second
    assert lines.index(first) < lines.index(lost) < lines.index(second)


def test_an_unclear_answer_is_explained_by_the_write_that_was_not_answered(tmp_path):
    async def scenario(soak: Soak, clients: Clients) -> Job:
        job = Job("00000000000000ac", (1,))
        for faults in soak.table_faults:
            # The renewal of the leader's lease must not use up the lost response.
            faults.lost_responses, faults.lost_table = 1, JOBS_TABLE
        await clients.submit(job)
        assert job.accepted_at is not None
        return job

    trace = run_and_trace(tmp_path, scenario)
    # The next attempt goes to another partition, so it is a first write there too.
    assert trace.index("LP518") < trace.index("LP522")
    assert trace.count("LP523") == 1

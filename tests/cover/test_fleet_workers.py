"""The stand-in workers crash and change their capacity as the platform's workers do."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from lentilpath_http import HttpError, HttpRequest, RequestNotSent, create_client
from tests.common.fleet.store import StandInStore
from tests.common.fleet.workers import CRASHING_SPEC, StandInWorker
from tests.common.requests import wait_until


def read_entry(worker: StandInWorker) -> dict[str, Any]:
    entry: dict[str, Any] = json.loads(worker.store.rows["servers", "", worker.name][0])
    return entry


def make_call(worker: StandInWorker, target: str, **fields: object) -> HttpRequest:
    headers = (("x-expect-instance", worker.name),)
    return HttpRequest("POST", target, headers, json.dumps(fields).encode())


def make_start(worker: StandInWorker, task: str, spec: str) -> HttpRequest:
    expires_ms = worker.read_clock() + 5_000
    return make_call(worker, "/run-start", task=task, runId=1, spec=spec, expiresMs=expires_ms)


def test_a_task_that_crashes_its_worker_ends_all_runs_and_cuts_all_connections():
    async def scenario() -> None:
        worker = StandInWorker("w0", StandInStore(), [], run_seconds=60.0, crash_seconds=60.0)
        await worker.start()
        client = create_client("127.0.0.1", worker.port)
        for task, spec in (("a.0.0.0", "run"), ("b.0.0.0", CRASHING_SPEC)):
            assert (await client.send(make_start(worker, task, spec), 5.0)).status == 200
        with pytest.raises(HttpError):
            await client.send(make_call(worker, "/hold", lastSeen=0, waitMs=2_000), 5.0)
        assert [run.outcome for run in worker.log] == ["crashed", "crashed"]
        with pytest.raises(RequestNotSent):
            await client.send(make_start(worker, "c.0.0.0", "run"), 5.0)
        worker.restart()
        assert read_entry(worker)["born"] == 1
        client.close()
        await worker.close()

    asyncio.run(scenario())


def test_a_crashed_worker_returns_at_its_address_as_a_new_incarnation():
    async def scenario() -> None:
        worker = StandInWorker("w0", StandInStore(), [], crash_seconds=0.1)
        await worker.start()
        address = read_entry(worker)["address"]
        client = create_client("127.0.0.1", worker.port)
        await client.send(make_start(worker, "a.0.0.0", CRASHING_SPEC), 5.0)
        await wait_until(lambda: read_entry(worker)["born"] == 2)
        assert read_entry(worker)["address"] == address
        response = await client.send(make_call(worker, "/hold", lastSeen=0), 5.0)
        assert json.loads(response.body)["running"] == []
        client.close()
        await worker.close()

    asyncio.run(scenario())


def test_a_changed_capacity_is_registered_with_a_higher_sequence():
    async def scenario() -> None:
        worker = StandInWorker("w0", StandInStore(), [])
        await worker.start()
        worker.set_capacity(1_000)
        assert read_entry(worker)["sequence"] == 1
        worker.register()
        assert read_entry(worker)["sequence"] == 2
        assert read_entry(worker)["capacity"] == {"cpu": 1_000, "memMb": 8_192, "gpu": 0}
        [(_, former), (shrunk_at, current)] = worker.capacities
        assert (former, current) == (4_000, 1_000)
        assert worker.get_max_capacity(shrunk_at, shrunk_at) == 1_000
        assert worker.get_max_capacity(shrunk_at - 1.0, shrunk_at) == 4_000
        await worker.close()

    asyncio.run(scenario())

"""A command reaches no other process of a worker than the one that it was made for.

Guards against a lease for a former process that the next one under the same id and address took for
its own: its clock begins anew, so it held its runs for the longest lease that it accepts.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import pytest

from lentilpath_core.errors import OutcomeUnknown, WorkerUnavailable
from lentilpath_core.ids import FencingToken, WorkerTime
from lentilpath_core.pool import Life, ListedWorker, RunNumber, StartAnswer
from lentilpath_core.settings import Address
from lentilpath_http import HttpRequest, HttpResponse, serve_http
from lentilpath_platform.workers import open_worker
from lentilpathd.pool import OtherLife, PoolWorker, RefusedByFence
from tests.common.fleet.store import StandInStore
from tests.common.fleet.workers import StandInWorker
from tests.common.pools import make_task, make_worker
from tests.soak.proxies import Proxy

AGE_MS = 60_000
"""Reading of the clock of the worker's first process."""
TOKEN = FencingToken(7)
TIMEOUT_SECONDS = 2.0


def make_listed(port: int) -> ListedWorker:
    return replace(make_worker("w0", life=Life(1)), address=Address("127.0.0.1", port))


async def send_start(client: PoolWorker, number: int = 0, timeout: float = TIMEOUT_SECONDS) -> Any:
    lease_until = WorkerTime(AGE_MS + 4_000)
    return await client.start(
        make_task(1, number), RunNumber(1), "text", "", "", lease_until, timeout
    )


@asynccontextmanager
async def run_worker() -> AsyncIterator[tuple[StandInWorker, Proxy, PoolWorker]]:
    """Run a worker behind a proxy, with a client of its first process."""
    worker = StandInWorker("w0", StandInStore(), [], run_seconds=60.0)
    worker.clock_started_ms = worker.read_clock() - AGE_MS
    await worker.start()
    proxy = Proxy("127.0.0.1", worker.port)
    client = open_worker(make_listed(await proxy.open()), TOKEN)
    try:
        yield worker, proxy, client
    finally:
        client.close()
        await proxy.close()
        await worker.close()


async def stop_run(client: PoolWorker) -> None:
    await client.stop(make_task(1), RunNumber(1), TIMEOUT_SECONDS)


async def extend_lease(client: PoolWorker) -> None:
    await client.renew(0, WorkerTime(AGE_MS + 4_000), 0, TIMEOUT_SECONDS)


async def acknowledge_ends(client: PoolWorker) -> None:
    await client.renew(9, None, 0, TIMEOUT_SECONDS)


@pytest.mark.parametrize("command", [send_start, stop_run, extend_lease, acknowledge_ends])
def test_a_command_on_a_new_connection_is_not_carried_out_by_the_next_process(
    command: Callable[[PoolWorker], Awaitable[object]],
):
    async def scenario() -> None:
        async with run_worker() as (worker, _, client):
            assert await send_start(client) is StartAnswer.STARTED
            worker.restart()
            ends = worker.unacknowledged_ends = [[1, "a.0.0.0", 1, "done", ""]]
            worker.ended_runs[1] = worker.log[0]
            # The first one may still be sent on a connection that has just ended.
            with pytest.raises((OutcomeUnknown, OtherLife)):
                await command(client)
            with pytest.raises(OtherLife):
                await command(client)
            assert worker.lease_until == 0
            assert worker.running == {}
            assert worker.closed_runs == {}
            assert worker.unacknowledged_ends == ends

    asyncio.run(scenario())


def test_a_start_that_the_network_delays_over_a_restart_is_never_carried_out():
    async def scenario() -> None:
        async with run_worker() as (worker, proxy, client):
            assert await send_start(client) is StartAnswer.STARTED
            proxy.to_server_open.clear()
            with pytest.raises(OutcomeUnknown):
                await send_start(client, 1, timeout=0.1)
            worker.restart()
            proxy.to_server_open.set()
            with pytest.raises(OtherLife):
                await send_start(client, 2)
            assert worker.lease_until == 0
            assert len(worker.log) == 1

    asyncio.run(scenario())


def test_a_start_whose_connection_is_established_by_the_next_process_is_not_sent():
    """A worker that is down for a moment accepts the connection once it is up again."""

    async def scenario() -> None:
        async with run_worker() as (worker, proxy, client):
            proxy.to_server_open.clear()
            starting = asyncio.create_task(send_start(client))
            await asyncio.sleep(0.05)
            worker.restart()
            proxy.to_server_open.set()
            with pytest.raises(OtherLife) as caught:
                await starting
            assert caught.value.life == worker.born
            assert worker.lease_until == 0
            assert worker.log == []

    asyncio.run(scenario())


def test_a_connection_is_checked_once():
    async def scenario() -> None:
        async with run_worker() as (worker, proxy, client):
            for number in range(3):
                assert await send_start(client, number) is StartAnswer.STARTED
            assert len(proxy.tunnels) == 1
            assert len(worker.running) == 3
            sent = proxy.forwarded_bytes
            await extend_lease(client)
            checked = proxy.forwarded_bytes - sent
            client.close()
            sent = proxy.forwarded_bytes
            await extend_lease(client)
            assert proxy.forwarded_bytes - sent > checked

    asyncio.run(scenario())


def test_a_process_that_has_seen_a_later_token_refuses_a_command_on_a_new_connection():
    async def scenario() -> None:
        async with run_worker() as (worker, _, client):
            worker.token = TOKEN + 1
            with pytest.raises(RefusedByFence):
                await send_start(client)

    asyncio.run(scenario())


UNUSABLE = {
    "overloaded": HttpResponse(503, (), b""),
    "failing": HttpResponse(500, (), b""),
    "unreadable": HttpResponse(200, (), b"{"),
}


@pytest.mark.parametrize("case", UNUSABLE)
def test_a_command_is_not_sent_to_a_process_that_cannot_be_identified(case: str):
    async def scenario() -> None:
        targets: list[str] = []

        async def answer(request: HttpRequest) -> HttpResponse:
            targets.append(request.target)
            return UNUSABLE[case]

        server = await serve_http(answer, "127.0.0.1", 0)
        client = open_worker(make_listed(server.get_port()), TOKEN)
        assert await send_start(client) is StartAnswer.UNHEALTHY
        with pytest.raises(WorkerUnavailable):
            await stop_run(client)
        assert set(targets) == {"/hold"}
        client.close()
        await server.close(0.0)

    asyncio.run(scenario())

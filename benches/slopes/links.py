"""Measures bytes and processor time of a leader's requests to workers and peers on loopback."""

from __future__ import annotations

import asyncio
import time

from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import HostId, Incarnation, RegionId, TaskId, WorkerTime, ZoneId
from lentilpath_core.peers import PeerRequest
from lentilpath_core.resources import Resources
from lentilpath_core.settings import Address, PeerSettings
from lentilpath_http import HttpRequest, HttpResponse, create_client, json_response, serve_http
from lentilpathd._adapters.worker import HttpWorker
from lentilpathd._peers import PeerBus
from lentilpathd._ports import StartCommand, SyncCommand

REPEATS = 500
LOOPBACK = "127.0.0.1"
PEER_PORT = 28_431
TASK = {
    "task": "menu-rebuild-2026-12-03/17",
    "attempt": 1,
    "state": "succeeded",
    "resources": {"millicores": 1000, "memory_mib": 2048, "accelerators": 0},
    "started_at": 1_796_100_000_000,
    "ended_at": 1_796_100_010_000,
    "millicore_ms": 10_000,
    "peak_memory_mib": 1_500,
}


async def measure_sync(ended_tasks: int) -> tuple[float, float]:
    """Return bytes in both directions and the leader's processor time in ms of one sync.

    The response lists `ended_tasks` tasks, and the request tells the worker to delete as many.
    """

    async def answer(request: HttpRequest) -> HttpResponse:
        report = {
            "boot": "portland-dock-worker-1-4711-1796100000000000000",
            "clock": 1_796_100_000_000,
            "sequence": 17,
            "complete": False,
            "tasks": [TASK] * ended_tasks,
        }
        return json_response(200, report)

    server = await serve_http(answer, LOOPBACK, 0)
    client = create_client(LOOPBACK, server.get_port())
    worker = HttpWorker(client)
    forget = ((TaskId(str(TASK["task"])), 1),) * ended_tasks
    command = SyncCommand(17, 2_000, 10_000, WorkerTime(1_796_100_000_000), forget)
    started = time.process_time()
    for _ in range(REPEATS):
        await worker.sync(command, 5.0)
    # Client and server run in this process and do about the same work, so halve the time.
    elapsed_ms = (time.process_time() - started) * 1_000 / 2
    size = client.bytes_sent + client.bytes_received
    worker.close()
    await server.close(0)
    return size / REPEATS, elapsed_ms / REPEATS


async def measure_start() -> tuple[float, float]:
    """Return bytes in both directions and the leader's processor time in ms of one start."""

    async def answer(request: HttpRequest) -> HttpResponse:
        return json_response(200, {"state": "running"})

    server = await serve_http(answer, LOOPBACK, 0)
    client = create_client(LOOPBACK, server.get_port())
    worker = HttpWorker(client)
    command = StartCommand(
        TaskId(str(TASK["task"])),
        1,
        Resources(1_000, 2_048, 0),
        10_000,
        (("kind", "batch"),),
        10_000,
        WorkerTime(1_796_100_000_000),
    )
    started = time.process_time()
    for _ in range(REPEATS):
        await worker.start(command, 5.0)
    elapsed_ms = (time.process_time() - started) * 1_000 / 2
    size = client.bytes_sent + client.bytes_received
    worker.close()
    await server.close(0)
    return size / REPEATS, elapsed_ms / REPEATS


async def measure_peer_request() -> tuple[float, float]:
    """Return bytes in both directions and processor time in ms of both sides of a peer request."""

    async def answer(request: PeerRequest) -> None:
        return None

    address = Address(LOOPBACK, PEER_PORT)
    server = PeerBus(
        HostId("portland-dock-1"), Incarnation("portland-dock-1.0123abcd"), ZoneId("z")
    )
    server.handle("leadership.hello", answer)
    serving = asyncio.create_task(server.serve(address))
    client = PeerBus(
        HostId("portland-dock-2"), Incarnation("portland-dock-2.0123abcd"), ZoneId("z")
    )
    peer = PeerSettings(server.host, RegionId("r"), ZoneId("z"), address)
    client.set_peers((peer,))
    for _ in range(20):
        try:
            await client.ask(server.host, "leadership.hello", None, type(None), 1.0)
            break
        except LentilpathError:
            await asyncio.sleep(0.05)
    bytes_before = client.bytes_sent + client.bytes_received
    started = time.process_time()
    for _ in range(REPEATS):
        await client.ask(server.host, "leadership.hello", None, type(None), 1.0)
    elapsed_ms = (time.process_time() - started) * 1_000
    size = client.bytes_sent + client.bytes_received - bytes_before
    serving.cancel()
    await asyncio.wait((serving,))
    client.close()
    return size / REPEATS, elapsed_ms / REPEATS


async def print_link_slopes() -> None:
    """Measure the requests and print the cost of each kind."""
    idle_bytes, idle_ms = await measure_sync(0)
    busy_bytes, busy_ms = await measure_sync(10)
    start_bytes, start_ms = await measure_start()
    peer_bytes, peer_ms = await measure_peer_request()
    print(f"- a sync with nothing to report: {idle_bytes:.0f} bytes, {idle_ms:.2f} ms")
    print(
        f"- each ended task in a sync: {(busy_bytes - idle_bytes) / 10:.0f} bytes more, "
        f"{(busy_ms - idle_ms) / 10:.3f} ms more"
    )
    print(f"- a start command: {start_bytes:.0f} bytes, {start_ms:.2f} ms")
    print(f"- a request between peers: {peer_bytes:.0f} bytes, {peer_ms:.2f} ms for both sides")

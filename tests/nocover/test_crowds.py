"""Crowds of clients that do not behave leave an entry host alive, within its limits and serving."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest

from lentilpath_http import HttpError, HttpRequest, HttpResponse, create_client
from tests.common.fleet.deployment import CONFIG, QUEUE, make_step
from tests.common.fleet.store import StandInStore, StoreFaults
from tests.common.fleet.workers import StandInWorker, serve_advice
from tests.soak.processes import (
    CALLERS_PORT,
    HostProcess,
    choose_addresses,
    make_settings,
)

MEMORY_MB = 96
"""The test host's memory; one that serves nobody uses less than half of it."""
MAX_DESCRIPTORS = 256
MAX_BODY_BYTES = 1_048_576
BODY_CLIENTS = 150
"""Clients whose legal bodies exceed the host's memory together."""
IDLE_CLIENTS = 400
METRICS_PORT = 9464
TIMEOUT_SECONDS = 60.0
KB_PER_MB = 1_024
HEAD = b"POST /checks/%016x HTTP/1.1\r\nhost: {host}\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
MEMORY_LIMIT: dict[str, object] = {"memoryMb": MEMORY_MB}
numbers = itertools.count(1)


@dataclass
class CrowdedHost:
    """A host process, and the open connections of its clients."""

    process: HostProcess
    connections: list[socket.socket]

    async def connect(self, port: int = CALLERS_PORT, receive_bytes: int = 0) -> socket.socket:
        connection = socket.socket()
        self.connections.append(connection)
        connection.setblocking(False)
        if receive_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        with contextlib.suppress(OSError):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await asyncio.get_running_loop().sock_connect(
                    connection, (self.process.address, port)
                )
        return connection

    async def send(self, data: bytes, piece_bytes: int) -> None:
        """Send `data` on a new connection, which stays open; the host may refuse or close it."""
        connection = await self.connect()
        data = data.replace(b"{host}", self.process.address.encode(), 1)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                for start in range(0, len(data), piece_bytes):
                    await loop.sock_sendall(connection, data[start : start + piece_bytes])
                    await asyncio.sleep(0)

    async def submit(self, body: bytes | None = None) -> HttpResponse:
        """Submit an ordinary job, or `body`; a caller that is refused or cut off returns."""
        path = f"/checks/{next(numbers):016x}"
        data = body or json.dumps({"spec": "run", "steps": [make_step()]}).encode()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                client = create_client(self.process.address, CALLERS_PORT)
                with contextlib.suppress(HttpError):
                    response = await client.send(HttpRequest("POST", path, (), data), 5.0)
                    if response.status not in (503, 504):
                        return response
                client.close()
                await asyncio.sleep(0.2)

    def read_peak_memory_mb(self) -> float:
        assert self.process.process is not None
        for line in Path(f"/proc/{self.process.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / KB_PER_MB
        raise AssertionError("the process has no memory")

    def count_descriptors(self) -> int:
        assert self.process.process is not None
        return len(os.listdir(f"/proc/{self.process.process.pid}/fd"))

    async def check(self) -> None:
        """Check the limits, and that an ordinary job is accepted beside the crowd and after it."""
        descriptors = self.count_descriptors()
        assert (await self.submit()).status == 200
        self.leave()
        assert (await self.submit()).status == 200
        assert self.process.is_running()
        assert self.read_peak_memory_mb() <= MEMORY_MB
        assert descriptors <= MAX_DESCRIPTORS

    def leave(self) -> None:
        for connection in self.connections:
            connection.close()
        self.connections.clear()


@asynccontextmanager
async def run_hosts(
    folder: Path, limits: dict[str, object], count: int = 1
) -> AsyncIterator[list[CrowdedHost]]:
    """Yield hosts of one deployment, once each of them accepts jobs."""
    store = StandInStore()
    addresses = choose_addresses(count, 0)
    routes = [{**QUEUE, "name": f"r-{each}", "host": each} for each in addresses]
    store.put("op", "", "config", json.dumps({**CONFIG, "routes": routes}).encode())
    advice = await serve_advice()
    worker = StandInWorker("w0", store, [], 0.1)
    await worker.start()
    hosts: list[CrowdedHost] = []
    for number, address in enumerate(addresses):
        port = await store.listen(StoreFaults())
        name = f"h{number}"
        settings = make_settings(name, address, port, advice.get_port())
        process = HostProcess(name, address, folder, {**settings, "limits": limits})
        hosts.append(CrowdedHost(process, []))
    try:
        for host in hosts:
            await host.process.start()
        for host in hosts:
            await host.submit()
        yield hosts
    finally:
        for host in hosts:
            host.leave()
            await host.process.kill()
            host.process.client.close()
        await worker.close()
        await advice.close(0.0)
        await store.close()


def run_crowd(
    folder: Path,
    limits: dict[str, object],
    crowd: Callable[[CrowdedHost], Awaitable[object]],
    hosts: int = 1,
) -> None:
    async def scenario() -> None:
        async with run_hosts(folder, limits, hosts) as crowded:
            await asyncio.gather(*(crowd(host) for host in crowded))
            for host in crowded:
                await host.check()

    asyncio.run(scenario())


def encode_chunks(body: bytes, chunk_bytes: int) -> bytes:
    return b"".join(
        b"%x\r\n%s\r\n" % (len(chunk), chunk)
        for chunk in (body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes))
    )


def announce(size: int) -> bytes:
    return HEAD % next(numbers) + b"content-length: %d\r\n\r\n" % size


LARGE_BODY = b'{"spec": "%s", "steps": []}' % (b"x" * (MAX_BODY_BYTES - 1_000))
"""A submission of legal size that the host refuses once it has read all of it."""


@pytest.mark.parametrize("piece_bytes", [MAX_BODY_BYTES, 10_000], ids=["whole", "in pieces"])
def test_many_large_unfinished_bodies_stay_within_the_memory(tmp_path, piece_bytes):
    unfinished = announce(len(LARGE_BODY)) + LARGE_BODY[:-10]
    finished = announce(len(LARGE_BODY)) + LARGE_BODY

    async def crowd(host: CrowdedHost) -> None:
        await asyncio.gather(
            *(
                host.send(finished if each % 10 == 0 else unfinished, piece_bytes)
                for each in range(BODY_CLIENTS)
            )
        )

    run_crowd(tmp_path, MEMORY_LIMIT, crowd)


@pytest.mark.parametrize(("chunk_bytes", "body_bytes"), [(65_536, len(LARGE_BODY)), (1, 170_000)])
def test_many_unfinished_chunked_bodies_stay_within_the_memory(tmp_path, chunk_bytes, body_bytes):
    data = CHUNKED % next(numbers) + encode_chunks(LARGE_BODY[:body_bytes], chunk_bytes)

    async def crowd(host: CrowdedHost) -> None:
        await asyncio.gather(
            *(
                host.send(data + b"0\r\n\r\n" if each % 10 == 0 else data, MAX_BODY_BYTES)
                for each in range(BODY_CLIENTS)
            )
        )

    run_crowd(tmp_path, MEMORY_LIMIT, crowd)


@pytest.mark.parametrize("is_announced", [True, False], ids=["announced", "just sent"])
def test_many_bodies_far_over_the_limit_stay_within_the_memory(tmp_path, is_announced):
    head = announce(1_000 * MAX_BODY_BYTES) if is_announced else CHUNKED % next(numbers)
    body = b"x" * (4 * MAX_BODY_BYTES)
    data = head + (body if is_announced else encode_chunks(body, 65_536))

    async def crowd(host: CrowdedHost) -> None:
        await asyncio.gather(*(host.send(data, 65_536) for _ in range(BODY_CLIENTS)))

    run_crowd(tmp_path, MEMORY_LIMIT, crowd)


def test_many_idle_connections_leave_descriptors_for_others(tmp_path):
    async def crowd(host: CrowdedHost) -> None:
        await asyncio.gather(*(host.connect() for _ in range(IDLE_CLIENTS)))
        # The host accepts connections in the order in which they were made.
        await host.submit()

    run_crowd(tmp_path, {**MEMORY_LIMIT, "maxFds": MAX_DESCRIPTORS}, crowd)


def test_many_clients_that_read_no_answers_stay_within_the_memory(tmp_path):
    requests = b"GET /metrics HTTP/1.1\r\nhost: 127.0.0.1\r\n\r\n" * 400

    async def crowd(host: CrowdedHost) -> None:
        loop = asyncio.get_running_loop()

        async def ask() -> None:
            connection = await host.connect(METRICS_PORT, receive_bytes=4_096)
            with contextlib.suppress(OSError):
                await loop.sock_sendall(connection, requests)

        await asyncio.gather(*(ask() for _ in range(BODY_CLIENTS)))

    run_crowd(tmp_path, MEMORY_LIMIT, crowd)


def test_crowds_of_all_kinds_at_all_hosts_leave_each_within_its_limits(tmp_path):
    chunked = CHUNKED % next(numbers)
    kinds = (
        announce(len(LARGE_BODY)) + LARGE_BODY[:-10],
        announce(len(LARGE_BODY)) + LARGE_BODY,
        chunked + encode_chunks(LARGE_BODY, 65_536),
        chunked + encode_chunks(LARGE_BODY[:170_000], 1),
        chunked + encode_chunks(b"x" * (4 * MAX_BODY_BYTES), 65_536),
        announce(1_000 * MAX_BODY_BYTES) + b"x" * MAX_BODY_BYTES,
        b"",
    )

    async def crowd(host: CrowdedHost) -> None:
        await asyncio.gather(
            *(host.send(kinds[each % len(kinds)], 100_000) for each in range(BODY_CLIENTS))
        )

    run_crowd(tmp_path, {**MEMORY_LIMIT, "maxFds": MAX_DESCRIPTORS}, crowd, hosts=3)


@pytest.mark.parametrize(
    "data",
    [
        announce(len(LARGE_BODY)) + LARGE_BODY,
        CHUNKED % 1 + encode_chunks(LARGE_BODY, 65_536) + b"0\r\n\r\n",
        CHUNKED % 1 + encode_chunks(LARGE_BODY, 64) + b"0\r\n\r\n",
        CHUNKED % 1 + encode_chunks(LARGE_BODY[:10] + LARGE_BODY[-150_000:], 1) + b"0\r\n\r\n",
    ],
    ids=["announced", "large chunks", "small chunks", "chunks of one byte"],
)
@pytest.mark.parametrize("piece_bytes", [2 * MAX_BODY_BYTES, 10_000], ids=["whole", "in pieces"])
def test_a_single_large_body_of_legal_size_is_read_to_its_end(tmp_path, data, piece_bytes):
    async def scenario() -> bytes:
        async with run_hosts(tmp_path, MEMORY_LIMIT) as [host]:
            await host.send(data, piece_bytes)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                return await asyncio.get_running_loop().sock_recv(host.connections[-1], 65_536)

    answer = asyncio.run(scenario())
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"no steps" in answer

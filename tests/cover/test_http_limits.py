"""Limits of all connections of an HTTP server together."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from lentilpath_http import (
    Eviction,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    SharedLimits,
    create_budget,
    serve_http,
)
from lentilpath_http._budget import Holder

GET = b"GET /plan HTTP/1.1\r\nhost: h\r\n\r\n"
TIMEOUT_SECONDS = 20.0
Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def announce(size: int) -> bytes:
    return b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % size


class LimitedServers:
    """Two servers that share a budget; the handler answers once it is released."""

    def __init__(self, limits: SharedLimits) -> None:
        self.budget = create_budget(limits)
        self.servers: list[HttpServer] = []
        self.streams: list[Stream] = []
        self.release = asyncio.Event()
        self.release.set()
        self.called = asyncio.Event()

    async def start(self) -> None:
        for _ in range(2):
            limits = HttpLimits(max_body_bytes=100_000, linger_seconds=0.0)
            server = await serve_http(
                self.answer, "127.0.0.1", 0, limits=limits, budget=self.budget
            )
            self.servers.append(server)

    async def answer(self, request: HttpRequest) -> HttpResponse:
        self.called.set()
        await self.release.wait()
        return HttpResponse(200, (), str(len(request.body)).encode())

    async def send(self, data: bytes, server: int = 0) -> asyncio.StreamReader:
        stream = await asyncio.open_connection("127.0.0.1", self.servers[server].get_port())
        self.streams.append(stream)
        stream[1].write(data)
        return stream[0]

    async def close(self) -> None:
        for _, writer in self.streams:
            writer.close()
        for server in self.servers:
            await server.close(0.0)


def run_servers(
    limits: SharedLimits, scenario: Callable[[LimitedServers], Awaitable[None]]
) -> None:
    async def run() -> None:
        servers = LimitedServers(limits)
        await servers.start()
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await scenario(servers)
        finally:
            await servers.close()

    asyncio.run(run())


async def read_status(reader: asyncio.StreamReader) -> int:
    return int((await reader.readline()).split()[1])


async def expect_refusal(reader: asyncio.StreamReader, status: int) -> dict[str, str]:
    """Check that an unfinished request is answered, not run, and its connection closed."""
    answer = await reader.read(-1)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d" % status), answer
    content: dict[str, str] = json.loads(body)
    assert content["outcome"] == "not-run"
    assert (b"retry-after: 1" in head) is (status == 503)
    return content


def test_the_largest_unfinished_request_of_all_servers_is_refused_when_memory_is_spent():
    async def scenario(servers: LimitedServers) -> None:
        small = await servers.send(announce(20_000) + b"x" * 19_000, server=1)
        large = await servers.send(announce(70_000) + b"x" * 60_000)
        third = await servers.send(announce(50_000) + b"x" * 49_000)
        await expect_refusal(large, 503)
        for reader, (_, writer) in zip(
            (small, third), (servers.streams[0], servers.streams[2]), strict=True
        ):
            writer.write(b"x" * 1_000)
            assert await read_status(reader) == 200

    run_servers(SharedLimits(max_held_bytes=120_000), scenario)


def test_a_request_that_is_being_handled_is_not_refused_for_others():
    async def scenario(servers: LimitedServers) -> None:
        servers.release.clear()
        handled = await servers.send(announce(90_000) + b"x" * 90_000)
        await servers.called.wait()
        refused = await servers.send(announce(40_000) + b"x" * 39_000)
        await expect_refusal(refused, 503)
        servers.release.set()
        assert await read_status(handled) == 200

    run_servers(SharedLimits(max_held_bytes=120_000), scenario)


def test_memory_of_answered_refused_and_closed_requests_is_free_again():
    async def scenario(servers: LimitedServers) -> None:
        for _ in range(5):
            assert await read_status(await servers.send(announce(90_000) + b"x" * 90_000)) == 200
            cut = await servers.send(announce(90_000) + b"x" * 10)
            servers.streams[-1][1].close()
            assert await cut.read(-1) == b""
            await expect_refusal(await servers.send(announce(100_001) + b"x" * 90_000), 413)

    run_servers(SharedLimits(max_held_bytes=100_000), scenario)


@pytest.mark.parametrize("begun", [b"", GET, b"POST / HTTP/1.1\r\n"])
def test_the_connection_that_has_waited_longest_is_closed_for_a_new_one(begun):
    async def scenario(servers: LimitedServers) -> None:
        first = await servers.send(begun)
        if begun == GET:
            assert await read_status(first) == 200
            await first.readuntil(b"\r\n\r\n0")
        second = await servers.send(GET, server=1)
        assert await read_status(second) == 200
        third = await servers.send(GET)
        assert await read_status(third) == 200
        answer = await first.read(-1)
        assert (b"not-run" in answer) is begun.startswith(b"POST")
        servers.streams[1][1].write(GET)
        await second.readuntil(b"\r\n\r\n0")
        assert await read_status(second) == 200

    run_servers(SharedLimits(max_connections=2), scenario)


def test_a_new_connection_is_closed_while_all_others_are_being_served():
    async def scenario(servers: LimitedServers) -> None:
        servers.release.clear()
        served = await servers.send(GET)
        await servers.called.wait()
        refused = await servers.send(b"")
        assert await refused.read(-1) == b""
        servers.release.set()
        assert await read_status(served) == 200

    run_servers(SharedLimits(max_connections=1), scenario)


def test_a_body_announced_over_the_limit_is_refused_before_any_of_it_arrives():
    async def scenario(servers: LimitedServers) -> None:
        reader = await servers.send(announce(100_001))
        assert (await expect_refusal(reader, 413))["error"] == "request-too-large"
        expecting = announce(100_001).replace(b"host", b"expect: 100-continue\r\nhost")
        await expect_refusal(await servers.send(expecting), 413)

    run_servers(SharedLimits(), scenario)


def test_a_caller_that_sends_on_after_the_limit_can_read_the_refusal():
    async def scenario(servers: LimitedServers) -> None:
        chunk = b"c350\r\n" + b"x" * 50_000 + b"\r\n"
        head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        await expect_refusal(await servers.send(head + chunk * 3), 413)

    run_servers(SharedLimits(), scenario)


def test_a_body_of_many_small_chunks_is_served_while_others_are_answered_between_them():
    async def scenario(servers: LimitedServers) -> None:
        head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        slow = await servers.send(head + b"1\r\nx\r\n" * 600 + b"0\r\n\r\n")
        assert await read_status(await servers.send(GET)) == 200
        assert await read_status(slow) == 200
        assert (await slow.readuntil(b"\r\n\r\n600")).endswith(b"600")

    run_servers(SharedLimits(max_small_pieces_per_second=1_000), scenario)


def test_what_is_refused_or_closed_for_others_is_reported():
    reported: list[Eviction] = []
    budget = create_budget(SharedLimits(max_connections=2, max_held_bytes=10), reported.append)
    small, large, newcomer = (Holder(lambda at_once: None) for _ in range(3))
    assert budget.admit(small)
    assert budget.admit(large)
    budget.hold(small, 4)
    assert reported == []
    budget.hold(large, 8)
    assert reported == [Eviction.MEMORY]
    assert budget.admit(newcomer)
    assert reported == [Eviction.MEMORY, Eviction.CONNECTIONS]

"""The ports for readiness and metrics answer whatever else was sent to them before.

Guards against bytes that end a listening server. The callers' port is the same server with another
handler; test_requests_edge has more of its framings, and slow senders.
"""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from lentilpath_core.ids import HostId, RegionId, ZoneId
from lentilpath_core.settings import Address
from lentilpath_http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    create_client,
    serve_http,
)
from lentilpathd._pool._metrics import METRICS_PATH, PoolMetrics, serve_metrics
from lentilpathd._pool._settings import PoolHostSettings

SECONDS = 20.0
LIMITS = HttpLimits(receive_timeout_seconds=0.05, idle_timeout_seconds=0.05)
STARTS = st.sampled_from(
    [
        b"",
        b"GET /metrics HTTP/1.1\r\nhost: x\r\n",
        b"GET /" + b"x" * 40_000,
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999999999999\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        b"GET /\xff HTTP/1.1\r\nx: \xff\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    ]
)
MESSAGES = st.builds(bytes.__add__, STARTS, st.binary(max_size=200))


async def send_bytes(port: int, data: bytes) -> None:
    """Send the bytes and hang up at once, without reading an answer."""
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    writer.close()


async def send_and_wait(port: int, data: bytes) -> None:
    """Send the bytes and wait until the server closes the connection, which it does soon."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    async with asyncio.timeout(SECONDS):
        try:
            while await reader.read(65_536):
                pass
        except ConnectionError:
            pass
    writer.close()


async def answer_readiness(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, (), b"")


async def open_servers() -> list[HttpServer]:
    address = Address("127.0.0.1", 0)
    places = (HostId("h"), ZoneId("z"), RegionId("r"))
    own = PoolHostSettings(*places, address, address, address, address, 6_000, 6_000)
    readiness = await serve_http(answer_readiness, "127.0.0.1", 0, limits=LIMITS)
    return [readiness, await serve_metrics(PoolMetrics(), own, {})]


@settings(max_examples=60)
@given(st.lists(MESSAGES, max_size=3))
def test_any_bytes_leave_the_ports_for_readiness_and_metrics_in_service(messages: list[bytes]):
    async def run() -> list[int]:
        readiness, metrics = await open_servers()
        for message in messages:
            await send_and_wait(readiness.get_port(), message)
            await send_bytes(metrics.get_port(), message)
        statuses = []
        for server in (readiness, metrics):
            client = create_client("127.0.0.1", server.get_port())
            response = await client.send(HttpRequest("GET", METRICS_PATH), SECONDS)
            statuses.append(response.status)
            client.close()
            await server.close(0.0)
        return statuses

    assert asyncio.run(run()) == [200, 200]

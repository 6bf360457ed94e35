"""What a host reads from the table arrives whatever its size, over a link of any speed.

Guards against bounds that fit only small answers: an answer that was cut off at its bound was asked
for again from its first byte, so a host with a slow link never got it.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from lentilpath_core.errors import PeerUnavailable
from lentilpath_core.ids import (
    Epoch,
    FencingToken,
    HostId,
    Incarnation,
    Instant,
    RegionId,
    RowVersion,
    ZoneId,
)
from lentilpath_core.peers import PROTOCOL_VERSION, PeerReply
from lentilpath_core.pool import PoolConfiguration, PoolLoads, QueueId, create_pool
from lentilpath_core.settings import Address
from lentilpath_http import (
    HttpRequest,
    HttpResponse,
    ResponseLost,
    TransferBounds,
    create_client,
    serve_http,
)
from lentilpath_platform import store as store_client
from lentilpath_platform.registry import PlatformRegistry
from lentilpath_platform.store import open_table
from lentilpath_platform.workers import open_worker
from lentilpathd._adapters.platform import create_platform
from lentilpathd._events import Event
from lentilpathd._peers import PeerBus, convert_to_body, decode_message, encode_message
from lentilpathd._pool import (
    _configuration,
    _direct_path,
    _members,
    _table_path,
    _worker_watch,
)
from lentilpathd._pool._breaker import MIN_SILENCE_MS, PathBreaker
from lentilpathd._pool._configuration import ConfigurationFollower
from lentilpathd._pool._digests import Digests
from lentilpathd._pool._members import HeartbeatSender, Members
from lentilpathd._pool._messages import Digest
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._ports import AnswerProgress, PartitionRow, PartitionRows
from lentilpathd._pool._relay_messages import RelayedRow, RelayReply
from lentilpathd._pool._settings import PoolHostSettings
from lentilpathd._pool._table_path import TablePath
from lentilpathd._pool._worker_watch import MAX_READS, WorkerWatch
from tests.common.fleet.store import StandInStore, StoreFaults
from tests.common.pools import PoolHarness, make_queue, make_worker
from tests.common.requests import wait_until
from tests.common.tables import OnePartitionTable
from tests.common.virtual_time import run_in_virtual_time
from tests.cover.test_pool_registry import make_configuration
from tests.cover.test_pool_table_path import InMemoryBus, break_direct_path
from tests.soak.proxies import Proxy

ROUTES = 1_400
LINK_BYTES_PER_SECOND = 1_000_000
"""The configuration takes half a second, several times the bounds below."""
LONG_POLL_SECONDS = 0.1
REQUEST_TIMEOUT_SECONDS = 0.1

Scenario = Callable[[StandInStore, Proxy, Address], Awaitable[None]]


def run_on_a_slow_link(scenario: Scenario) -> None:
    async def run() -> None:
        store = StandInStore()
        proxy = Proxy("127.0.0.1", await store.listen(StoreFaults()))
        port = await proxy.open()
        try:
            await scenario(store, proxy, Address("127.0.0.1", port))
        finally:
            await proxy.close()
            await store.close()

    asyncio.run(run())


@pytest.mark.parametrize("is_first", [True, False])
def test_a_configuration_that_takes_longer_than_the_bound_of_a_request_comes_into_force(
    is_first: bool, monkeypatch: pytest.MonkeyPatch
):
    """The host has just started, or has an earlier version in force."""
    monkeypatch.setattr(_configuration, "LONG_POLL_SECONDS", LONG_POLL_SECONDS)
    monkeypatch.setattr(_configuration, "REQUEST_TIMEOUT_SECONDS", REQUEST_TIMEOUT_SECONDS)
    applied: list[PoolConfiguration] = []

    async def scenario(store: StandInStore, proxy: Proxy, address: Address) -> None:
        registry = PlatformRegistry(open_table(address))
        first = make_configuration(4, ROUTES) if is_first else make_configuration(3, 1)
        store.put("op", "", "config", first)
        proxy.bytes_per_second = LINK_BYTES_PER_SECOND
        following = asyncio.create_task(ConfigurationFollower(registry, applied.append).run())
        if not is_first:
            await wait_until(lambda: len(applied) == 1)
            store.put("op", "", "config", make_configuration(4, ROUTES))
        await wait_until(lambda: bool(applied) and applied[-1].version == 4)
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)

    run_on_a_slow_link(scenario)
    assert len(applied[-1].queues) == ROUTES


def open_path(address: Address) -> TablePath:
    """Return a path to the table through a slow link, with a host that would relay."""
    progress = AnswerProgress()
    bus = PeerBus(HostId("h1"), Incarnation("h1.1"), ZoneId("z"))
    relays = (HostId("h2"),)
    return TablePath(
        open_table(address, progress), bus, lambda now: relays, PoolMetrics(), progress
    )


def test_a_path_on_which_a_large_answer_is_arriving_counts_as_up(caplog: pytest.LogCaptureFixture):
    """Guards against a relay that is asked for the same answer, which then crosses two links."""
    caplog.set_level(logging.INFO)

    async def scenario(store: StandInStore, proxy: Proxy, address: Address) -> None:
        path = open_path(address)
        store.put("op", "", "config", make_configuration(4, ROUTES))
        # After these an answer is expected within the shortest silence.
        for _ in range(20):
            await path.read_partition("pool", "cell", "", "", 5.0)
        proxy.bytes_per_second = LINK_BYTES_PER_SECOND
        assert len((await path.read_partition("op", "", "", "", 5.0)).rows) == 1

    run_on_a_slow_link(scenario)
    assert f"LP{Event.TABLE_UNREACHABLE.number}" not in caplog.text


def test_the_silence_of_a_path_begins_with_the_last_part_of_an_answer():
    breaker = PathBreaker()
    breaker.begin(Instant(1))
    assert not breaker.is_responsive(Instant(1 + MIN_SILENCE_MS))
    breaker.hear(Instant(MIN_SILENCE_MS))
    assert breaker.is_responsive(Instant(2 * MIN_SILENCE_MS - 1))
    assert not breaker.is_responsive(Instant(2 * MIN_SILENCE_MS))


def measure_digest(queues: int) -> int:
    """Return the length in bytes of the answer to a heartbeat, with jobs waiting in one queue."""
    policies = [make_queue(QueueId(f"q{number}")) for number in range(queues)]
    harness = PoolHarness(*policies)
    harness.add_workers(make_worker("w1"))
    for job in range(1, 40):
        harness.submit(job, queue=QueueId("q0"))
    members = cast(Any, SimpleNamespace(list_known_hosts=lambda now: ()))
    digest = Digests(Epoch(1), members, harness.state).get(harness.now)
    return len(msgspec.msgpack.encode(msgspec.to_builtins(digest)))


def test_the_answer_to_a_heartbeat_does_not_grow_with_the_configuration():
    """With each queue in it, heartbeats took half of a link of 5 Mbit/s."""
    assert measure_digest(4_000) == measure_digest(1)


def test_a_configuration_whose_transfer_falls_silent_is_asked_for_again(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(store_client, "READ_TRANSFER", TransferBounds(0.2, 30.0))
    applied: list[PoolConfiguration] = []

    async def scenario(store: StandInStore, proxy: Proxy, address: Address) -> None:
        registry = PlatformRegistry(open_table(address))
        store.put("op", "", "config", make_configuration(4, ROUTES))
        proxy.bytes_per_second = LINK_BYTES_PER_SECOND
        following = asyncio.create_task(ConfigurationFollower(registry, applied.append).run())
        await wait_until(lambda: proxy.forwarded_bytes > 50_000)
        proxy.blackhole_open_connections()
        await wait_until(lambda: bool(applied))
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)

    run_on_a_slow_link(scenario)
    assert len(applied[0].queues) == ROUTES


def test_a_large_configuration_that_cannot_be_used_is_read_once(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a slow link that is filled by the same unusable version again and again."""
    monkeypatch.setattr(_configuration, "LONG_POLL_SECONDS", LONG_POLL_SECONDS)
    caplog.set_level(logging.INFO)
    applied: list[PoolConfiguration] = []

    async def scenario(store: StandInStore, proxy: Proxy, address: Address) -> None:
        follower = ConfigurationFollower(PlatformRegistry(open_table(address)), applied.append)
        following = asyncio.create_task(follower.run())
        store.put("op", "", "config", make_configuration(3, 1))
        await wait_until(lambda: len(applied) == 1)
        usable = make_configuration(4, ROUTES)
        store.put("op", "", "config", usable.replace(b'"version": 4', b'"version": "four"'))
        await wait_until(lambda: f"LP{Event.CONFIG_INVALID.number}" in caplog.text)
        await asyncio.sleep(5 * LONG_POLL_SECONDS)
        confirmed_at = cast(Any, _configuration).read_instant()
        assert not follower.is_current(int(4_000 * LONG_POLL_SECONDS), confirmed_at)
        store.put("op", "", "config", make_configuration(5, 2))
        await wait_until(lambda: len(applied) == 2)
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)

    run_on_a_slow_link(scenario)
    assert caplog.text.count(f"LP{Event.CONFIG_READ.number}") == 3


@pytest.mark.parametrize(
    ("pause_seconds", "bounds"),
    [(10.0, TransferBounds(0.1, 10.0)), (0.01, TransferBounds(5.0, 0.3))],
)
def test_a_transfer_that_falls_silent_or_never_ends_is_given_up(
    pause_seconds: float, bounds: TransferBounds
):
    """Guards against a source that sends a byte now and then and holds up its reader for good."""

    async def trickle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n")
        try:
            while True:
                writer.write(b"x")
                await writer.drain()
                await asyncio.sleep(pause_seconds)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def run() -> None:
        server = await asyncio.start_server(trickle, "127.0.0.1", 0)
        client = create_client("127.0.0.1", server.sockets[0].getsockname()[1])
        try:
            with pytest.raises(ResponseLost, match="bytes of the answer arrived"):
                await client.send(HttpRequest("GET", "/"), 5.0, bounds)
        finally:
            server.close()

    asyncio.run(run())


async def read_object(address: Address) -> int:
    """Return the length of an object that the cell's platform answers with."""
    platform = create_platform(address)
    data = await platform.get_object("journal", REQUEST_TIMEOUT_SECONDS)
    platform.close()
    return len(data or b"")


async def read_report(address: Address) -> int:
    """Return the length of the checkpoints in a worker's report."""
    worker = open_worker(replace(make_worker("w1"), address=address), FencingToken(1))
    report = await worker.renew(0, None, 0, REQUEST_TIMEOUT_SECONDS)
    worker.close()
    return sum(len(each.checkpoint) for each in report.running)


CHECKPOINT = "c" * 500
RUNNING = [[f"{number:016x}.0.0.0", 1, CHECKPOINT, 50] for number in range(800)]
REPORT = json.dumps({"clockMs": 1, "born": 1, "running": RUNNING}).encode()


@pytest.mark.parametrize(
    ("read", "length"),
    [(read_object, len(REPORT)), (read_report, len(RUNNING) * len(CHECKPOINT))],
)
def test_objects_and_workers_reports_that_take_longer_than_the_bound_arrive(
    read: Callable[[Address], Awaitable[int]], length: int
):
    """A report that never arrives in time is asked for again, and its leases lapse meanwhile."""

    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, (), REPORT)

    async def run() -> int:
        server = await serve_http(answer, "127.0.0.1", 0)
        proxy = Proxy("127.0.0.1", server.get_port())
        address = Address("127.0.0.1", await proxy.open())
        proxy.bytes_per_second = LINK_BYTES_PER_SECOND
        try:
            return await read(address)
        finally:
            await proxy.close()
            await server.close(0.0)

    assert asyncio.run(run()) == length


class SlowBus:
    """Answers each request after some time, or not at all."""

    def __init__(self, answer_seconds: float) -> None:
        self.answer_seconds = answer_seconds
        self.asked: list[HostId] = []

    async def ask(
        self, host: HostId, topic: str, message: object, answer: object, timeout: float
    ) -> Digest:
        self.asked.append(host)
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(self.answer_seconds)
        except TimeoutError as error:
            raise PeerUnavailable(f"{host} did not answer in time") from error
        return Digest(Epoch(1), PoolLoads())

    def set_peers(self, peers: object) -> None:
        pass


def make_sender(bus: SlowBus) -> HeartbeatSender:
    address = Address("127.0.0.1", 1)
    places = (HostId("h1"), ZoneId("z"), RegionId("r"))
    own = PoolHostSettings(*places, address, address, address, address, 6_000, 6_000)
    members = Members(own, cast(Any, bus), lambda: True)
    return HeartbeatSender(own, cast(Any, bus), members)


def test_a_leader_whose_answers_wait_behind_a_large_one_counts_as_answering(
    monkeypatch: pytest.MonkeyPatch,
):
    """A queue of 0.8 s on the link is what 0.5 MB take on one of 5 Mbit/s."""
    bus = SlowBus(0.8)
    answered: list[bool] = []

    async def scenario() -> None:
        sender = make_sender(bus)
        sender.set_leader(HostId("h2"))
        sending = asyncio.create_task(sender.run())
        await asyncio.sleep(1.0)
        for _ in range(50):
            await asyncio.sleep(0.1)
            answered.append(sender.has_recent_digest(cast(Any, _members).read_instant()))
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)

    run_in_virtual_time(scenario(), monkeypatch, _members)
    assert all(answered)


def test_a_heartbeat_to_a_leader_that_does_not_answer_is_given_up_when_another_one_leads(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(_members, "HEARTBEAT_TIMEOUT_SECONDS", 3_600.0)
    bus = SlowBus(3_600.0)

    async def scenario() -> None:
        sender = make_sender(bus)
        sender.set_leader(HostId("h2"))
        sending = asyncio.create_task(sender.run())
        await wait_until(lambda: bus.asked == ["h2"])
        sender.set_leader(HostId("h3"))
        await wait_until(lambda: bus.asked == ["h2", "h3"])
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)

    asyncio.run(scenario())


def test_a_relayed_configuration_is_compressed_and_arrives_as_it_was():
    value = make_configuration(4, ROUTES)
    sent = RelayReply("done", (RelayedRow("", "config", value, 7, False),), 7)
    reply = PeerReply(
        PROTOCOL_VERSION, HostId("b"), Incarnation("b.1"), "ok", convert_to_body(sent)
    )
    data = encode_message(reply)
    assert len(data) < len(value) / 4
    assert msgspec.convert(decode_message(data, PeerReply).body, RelayReply) == sent


class BoundedBus(InMemoryBus):
    """Loses an answer that takes longer than the timeout."""

    async def ask(self, host: Any, topic: Any, message: Any, answer: Any, timeout: Any) -> Any:
        try:
            async with asyncio.timeout(timeout):
                return await super().ask(host, topic, message, answer, timeout)
        except TimeoutError as error:
            raise PeerUnavailable(f"{host} did not answer in time") from error


class SlowTable(OnePartitionTable):
    """A table whose rows take several timeouts of a request to arrive."""

    def __init__(self) -> None:
        super().__init__()
        self.progress = AnswerProgress()

    async def read_partition(self, *arguments: Any) -> PartitionRows:
        for _ in range(60):
            await asyncio.sleep(0.05)
            self.progress.report()
        return cast(PartitionRows, await super().read_partition(*arguments))


def test_rows_that_take_long_to_arrive_at_a_relay_are_read_through_it(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against a relay that counts as silent while it reads, and the next one that does."""

    async def scenario() -> PartitionRows:
        hosts: dict[str, InMemoryBus] = {}
        own, other = OnePartitionTable(), SlowTable()
        other.rows["a"] = PartitionRow("", "a", b"value", RowVersion(1))
        first, _ = (
            TablePath(
                cast(Any, table),
                cast(Any, BoundedBus(name, hosts)),
                lambda now: (HostId("h1"), HostId("h2")),
                PoolMetrics(),
                progress,
            )
            for name, table, progress in (("h1", own, None), ("h2", other, other.progress))
        )
        await break_direct_path(first, own)
        # Less than the table takes, and more than a relay takes to say that it is reading.
        return await first.read_partition("op", "", "", "", 0.8)

    modules = (_direct_path, _table_path)
    read = run_in_virtual_time(scenario(), monkeypatch, *modules)
    assert [row.value for row in read.rows] == [b"value"]


class EndlessRegistry:
    """Lists of workers that arrive for ever."""

    def __init__(self) -> None:
        self.reads = 0

    async def read_workers(self, timeout: float) -> Any:
        self.reads += 1
        await asyncio.Event().wait()


def test_lists_of_workers_that_take_long_to_arrive_are_not_asked_for_ever_more_often(
    monkeypatch: pytest.MonkeyPatch,
):
    registry = EndlessRegistry()
    state = create_pool(Epoch(1), Instant(0))

    async def scenario() -> None:
        watch = WorkerWatch(cast(Any, registry), state, lambda event: None)
        watching = asyncio.create_task(watch.run())
        await asyncio.sleep(60.0)
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)

    run_in_virtual_time(scenario(), monkeypatch, _worker_watch)
    assert registry.reads == MAX_READS

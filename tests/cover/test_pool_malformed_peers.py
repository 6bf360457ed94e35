"""A malformed message between hosts costs the sender an error and the receiver one log line.

Guards against a message that ends the peers' port: after 20 such failures within 30 s the
supervisor ends the whole process.
"""

from __future__ import annotations

import asyncio
import logging
import tracemalloc
import zlib
from functools import partial
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pynng
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilpath_core.errors import PeerNotReached, PeerUnavailable
from lentilpath_core.ids import HostId, Incarnation, RegionId, ZoneId
from lentilpath_core.peers import PROTOCOL_VERSION, PeerReply, PeerRequest
from lentilpath_core.settings import Address, PeerSettings
from lentilpath_standins._free_ports import allocate_port
from lentilpathd import _peers
from lentilpathd._peers import (
    COMPRESSED_MARK,
    MAX_MESSAGE_BYTES,
    MIN_COMPRESSED_BYTES,
    PeerBus,
)
from lentilpathd._pool._advice import ADVICE_TOPIC, AdviceAgent
from lentilpathd._pool._host import MAX_REQUEST_BYTES, PoolHost
from lentilpathd._pool._messages import HEARTBEAT_TOPIC, NOTICE_TOPIC, STATE_TOPIC, UNCLEAR_TOPIC
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._table_path import RELAY_TOPIC, TablePath
from tests.common.tables import OnePartitionTable

SECONDS = 20.0
PEER = HostId("b")
HUGE = 2**63
MAX_UNPACKED_BYTES = 104_857_600
"""Half of the smallest entry host's memory, 200 MB."""
TOPICS = (HEARTBEAT_TOPIC, NOTICE_TOPIC, STATE_TOPIC, UNCLEAR_TOPIC, RELAY_TOPIC, ADVICE_TOPIC)
FIELDS = st.sampled_from(
    [
        "job",
        "part",
        "key",
        "value",
        "version",
        "address",
        "zone",
        "region",
        "cores",
        "commit",
        "read",
        "table",
        "first",
        "end",
        "after",
        "wait_ms",
        "timeout_ms",
        "checks",
        "puts",
        "deletes",
        "step",
        "workers",
    ]
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-HUGE, HUGE) | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(FIELDS, inner, max_size=6),
    max_leaves=15,
)
DEEP = b"\x91" * 100_000
"""Lists in lists, which a decoder that recurses cannot read."""


def make_bus(name: str) -> PeerBus:
    return PeerBus(HostId(name), Incarnation(f"{name}.1"), ZoneId("z"))


def make_request(topic: str, body: object) -> bytes:
    sender = (HostId("a"), Incarnation("a.1"), ZoneId("z"))
    return msgspec.msgpack.encode(PeerRequest(PROTOCOL_VERSION, *sender, topic, body))


def make_host_bus() -> PeerBus:
    """Return a bus with the handlers of a host of a pool."""
    bus = make_bus("b")
    host = cast(Any, SimpleNamespace(_require_term=lambda: None, unclear_jobs=None, settings=None))
    for topic, handler in (
        (HEARTBEAT_TOPIC, PoolHost._handle_heartbeat),
        (NOTICE_TOPIC, PoolHost._handle_notice),
        (STATE_TOPIC, PoolHost._handle_state_request),
        (UNCLEAR_TOPIC, PoolHost._handle_unclear_notice),
    ):
        bus.handle(topic, partial(handler, host))
    table = cast(Any, OnePartitionTable())
    TablePath(table, bus, lambda now: (), PoolMetrics())
    AdviceAgent(cast(Any, None), bus)
    return bus


@settings(max_examples=300)
@given(st.sampled_from(TOPICS), VALUES)
def test_any_body_of_any_topic_is_answered(topic: str, body: object):
    reply = asyncio.run(make_host_bus()._answer(make_request(topic, body)))
    assert msgspec.msgpack.decode(reply, type=PeerReply).sender == "b"


@settings(max_examples=300)
@given(
    st.binary(max_size=100)
    | VALUES.map(msgspec.msgpack.encode)
    | st.just(DEEP)
    | st.binary(max_size=100).map(COMPRESSED_MARK.__add__)
    | st.sampled_from([DEEP, bytes(2 * MAX_MESSAGE_BYTES)]).map(zlib.compress)
)
def test_any_bytes_are_answered_as_malformed(data: bytes):
    reply = asyncio.run(make_host_bus()._answer(data))
    assert msgspec.msgpack.decode(reply, type=PeerReply).code in ("malformed", "version")


def test_a_short_request_does_not_unpack_to_more_memory_than_a_host_has():
    bus = PeerBus(HostId("b"), Incarnation("b.1"), ZoneId("z"), MAX_REQUEST_BYTES)
    request = make_request(HEARTBEAT_TOPIC, [{}] * 4_000_000)
    data = zlib.compress(request)
    assert len(data) < MIN_COMPRESSED_BYTES
    tracemalloc.start()
    try:
        reply = asyncio.run(bus._answer(data))
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert msgspec.msgpack.decode(reply, type=PeerReply).code == "malformed"
    assert peak_bytes < MAX_UNPACKED_BYTES


class ListeningHost:
    """A bus that listens, and a raw socket that sends it bytes."""

    def __init__(self) -> None:
        self.address = Address("127.0.0.1", allocate_port())
        self.bus = make_bus("b")

    async def exchange(self, *messages: bytes) -> list[PeerReply]:
        serving = asyncio.create_task(self.bus.serve(self.address))
        replies = []
        url = f"tcp://{self.address.host}:{self.address.port}"
        with pynng.Req0(resend_time=-1) as socket:
            socket.dial(url, block=False)
            for message in messages:
                async with asyncio.timeout(SECONDS):
                    await socket.asend(message)
                    replies.append(msgspec.msgpack.decode(await socket.arecv(), type=PeerReply))
        assert not serving.done()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        return replies


@pytest.mark.parametrize("error", [OverflowError, RecursionError, AttributeError, LookupError])
def test_an_unexpected_error_of_a_handler_leaves_the_port_open(error: type[Exception], caplog):
    host = ListeningHost()

    async def fail(request: PeerRequest) -> None:
        raise error("x" * 1_000_000)

    async def answer_hugely(request: PeerRequest) -> int:
        return 10**30

    host.bus.handle("fail", fail)
    host.bus.handle("huge", answer_hugely)
    requests = (DEEP, make_request("fail", None), make_request("huge", None), b"")
    with caplog.at_level(logging.INFO):
        replies = asyncio.run(host.exchange(*requests, make_request("x" * 1_000_000, None)))
    expected = ["malformed", "internal", "internal", "malformed", "unknown-topic"]
    assert [reply.code for reply in replies] == expected
    assert all(len(str(reply.body)) < 1_000 for reply in replies)
    assert sum("LP570" in record.getMessage() for record in caplog.records) == 2
    assert all(len(record.getMessage()) < 2_000 for record in caplog.records)


def test_requests_that_never_end_do_not_occupy_the_port(monkeypatch):
    monkeypatch.setattr(_peers, "MAX_HANDLER_SECONDS", 0.01)
    host = ListeningHost()

    async def wait(request: PeerRequest) -> None:
        await asyncio.Event().wait()

    host.bus.handle("wait", wait)
    replies = asyncio.run(host.exchange(make_request("wait", None)))
    assert [reply.code for reply in replies] == ["late"]


class ScriptedSocket:
    """A connection whose peer answers with given bytes."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer

    def new_context(self) -> ScriptedSocket:
        return self

    async def asend(self, data: bytes) -> None:
        pass

    async def arecv(self) -> bytes:
        return self.answer

    def close(self) -> None:
        pass


@settings(max_examples=200)
@given(st.binary(max_size=60) | VALUES.map(msgspec.msgpack.encode) | st.just(DEEP))
def test_an_unreadable_answer_is_a_failure_of_the_peer_and_not_of_the_caller(answer: bytes):
    bus = make_bus("a")
    bus._sockets[PEER] = cast(Any, ScriptedSocket(answer))

    async def run() -> None:
        with pytest.raises(PeerUnavailable):
            await bus.ask(PEER, "topic", None, str, SECONDS)

    asyncio.run(run())


@pytest.mark.parametrize("address", [("127.0.0.1", 99_999), ("", -1), ("a b\n", 1), ("x" * 999, 5)])
def test_an_unusable_address_of_a_peer_fails_only_the_requests_to_it(address: tuple[str, int]):
    bus = make_bus("a")
    bus.set_peers((PeerSettings(PEER, RegionId("r"), ZoneId("z"), Address(*address)),))

    async def run() -> None:
        with pytest.raises(PeerNotReached):
            await bus.ask(PEER, "topic", None, str, 0.05)
        bus.close()

    asyncio.run(run())

"""Running hosts follow the list of workers on, whatever another writer leaves among its entries.

Guards against one odd entry that ends each process that reads the list, again and again, or that a
leader stores where the next leader cannot read it.
"""

from __future__ import annotations

import asyncio
import json
import logging
from contextlib import suppress

import msgspec
import pytest

from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import HostId, Incarnation, RegionId, ZoneId
from lentilpath_core.settings import PeerSettings
from lentilpathd._events import Event
from lentilpathd._peers import PeerBus
from lentilpathd._pool._members import HEARTBEAT_INTERVAL_MS
from lentilpathd._pool._messages import HEARTBEAT_TOPIC
from lentilpathd._pool._records import POOL_TABLE
from tests.common.fleet.deployment import Fleet, RunningHost, make_step, run_fleet
from tests.common.requests import wait_until
from tests.cover.test_pool_registry import ENTRY

DEPTH = 3_500
"""Levels of nesting that fit in the longest entry that is read."""
HUGE_NUMBERS = (b"1" + b"0" * 400, b"1e400", b"-1e400", b"9223372036854775808", b"0.5", b"-1")
ADDRESSES = (
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:8x",
    "127.0.0.1:",
    ":80",
    "",
    "[::1]:80",
    "\0:80",
    "a b:80",
    "127.0.0.1\r\nx: y:80",
    "x" * 300 + ":80",
    "\ud83d\ude00.invalid:80",
)


def encode(**changes: object) -> bytes:
    return json.dumps(ENTRY | changes).encode()


def replace_number(field: str, number: bytes) -> bytes:
    marker = 123_454_321
    if field in ("cpu", "memMb", "gpu"):
        value = encode(capacity={"cpu": 1_000, "memMb": 64, "gpu": 0, field: marker})
    else:
        value = encode(**{field: marker})
    return value.replace(str(marker).encode(), number)


def nest(opening: bytes, closing: bytes) -> bytes:
    return opening * DEPTH + closing * DEPTH


def list_odd_entries() -> list[bytes]:
    """Return entries that cannot be read, or that name no worker that answers."""
    deep = nest(b"[", b"]")
    entries = [b"", b"null", b"{", b"\xff\xfe", b"\0" * 100, b"[" * 8_000, b"x" * 100_000, deep]
    entries += [nest(b'{"a":', b"}")[: 4 * DEPTH], b"[" * 200_000]
    for field in ("service", "capacity", "labels", "born", "unknown"):
        entries.append(encode(**{field: "here"}).replace(b'"here"', deep))
    for field in ("cpu", "memMb", "gpu", "born", "sequence", "remainingMs"):
        entries += [replace_number(field, number) for number in HUGE_NUMBERS]
    entries += [encode(address=address) for address in ADDRESSES]
    entries += [encode(state=state) for state in ("", "odd", "draining", None, 5)]
    entries += [encode(service=service) for service in ("", "unknown", "\ud800", None)]
    entries += [encode(labels=labels) for labels in (["\ud800"], [""], ["\0"], None, [None], "x")]
    entries += [encode(labels=["x" * 10] * 500), encode(zone="\ud800"), encode(zone="\0")]
    return entries


ODD_KEYS = ("\0", "a\r\nb: c", "\ud83d\ude00", "x" * 200, " ", "../x")


def put_odd_entries(fleet: Fleet) -> None:
    for number, value in enumerate(list_odd_entries()):
        fleet.store.put("servers", "", f"odd{number:03}", value)
    for key in ODD_KEYS:
        fleet.store.put("servers", "", key, encode())


async def expect_service(fleet: Fleet, host: RunningHost) -> None:
    """Check that jobs complete through the host, also on a worker that is registered now."""
    await fleet.add_worker()
    await wait_until(host.host.is_ready)
    for _ in range(3):
        job, status = await fleet.submit(host, make_step(2))
        assert status == 200
        assert await fleet.wait_for_end(host, job) == "completed"


def check_processes(fleet: Fleet, killed: RunningHost | None) -> None:
    assert [each.task.done() for each in fleet.hosts] == [each is killed for each in fleet.hosts]


def test_running_hosts_serve_on_after_odd_entries_a_takeover_and_a_restart(
    caplog: pytest.LogCaptureFixture,
):
    caplog.set_level(logging.INFO)

    async def scenario() -> None:
        async with run_fleet(hosts=2, workers=2) as fleet:
            put_odd_entries(fleet)
            leader = await fleet.wait_for_leader()
            await expect_service(fleet, leader)
            await asyncio.sleep(3 * HEARTBEAT_INTERVAL_MS / 1_000)
            check_processes(fleet, None)
            await leader.kill()
            (other,) = [each for each in fleet.hosts if each is not leader]
            await expect_service(fleet, other)
            assert (await fleet.wait_for_leader()) is other
            started = await fleet.add_host()
            await expect_service(fleet, started)
            check_processes(fleet, leader)
            fleet.check_observed_runs()

    asyncio.run(scenario())
    for event in (Event.INTERNAL_ERROR, Event.ROW_UNREADABLE, Event.PART_FAILED):
        assert f"LP{event.number:03} " not in caplog.text
    assert caplog.text.count(f"LP{Event.ENTRY_UNREADABLE.number} ") >= len(HUGE_NUMBERS)


@pytest.mark.parametrize("value", [b"\x91" * 5_000, b"\xcf" + b"\xff" * 8, b"x", b""])
def test_hosts_serve_on_after_odd_rows_among_those_that_a_leader_stores_of_its_workers(
    value: bytes,
):
    """Another writer's row among the leader's own; the next leader waits for the leases only."""

    async def scenario() -> None:
        async with run_fleet(hosts=2, workers=2) as fleet:
            leader = await fleet.wait_for_leader()
            entry = ["w", 1, "planner", ["127.0.0.1", 70_000], "z1", "r1", [], [2**70, 0, 0]]
            workers = ("0workers/40/1/1", "0workers/x", "0workers/1/1/99999999999999999999")
            for key in (*workers, "0lease", "0other"):
                fleet.store.put(POOL_TABLE, "cell", key, value)
            odd_worker = msgspec.msgpack.encode([[*entry[:-1], [2**63, 0, 0]]])
            fleet.store.put(POOL_TABLE, "cell", "0workers/41/1/1", odd_worker)
            await leader.kill()
            (other,) = [each for each in fleet.hosts if each is not leader]
            await expect_service(fleet, other)
            check_processes(fleet, leader)

    asyncio.run(scenario())


HEARTBEAT = {
    "address": {"host": "127.0.0.1", "port": 1},
    "zone": "z1",
    "region": "r",
    "cores": 1.0,
    "can_lead": False,
    "up_ms": 1,
    "hosts_mark": 0,
}
ODD_HEARTBEATS: tuple[dict[str, object], ...] = (
    {"address": {"host": "127.0.0.1", "port": 70_000}},
    {"address": {"host": "127.0.0.1", "port": -1}},
    {"address": {"host": "\0", "port": 1}, "can_lead": True},
    {"address": None},
    {"cores": float("nan"), "can_lead": True},
    {"cores": float("-inf"), "can_lead": True},
    {"up_ms": 2**63 - 1, "can_lead": True},
    {"hosts_mark": -(2**63)},
    {"zone": [[[[]]]]},
)


async def send_odd_heartbeats(leader: RunningHost) -> None:
    """Send heartbeats of hosts that do not exist, as another program might."""
    for number, changes in enumerate(ODD_HEARTBEATS):
        name = HostId(f"odd{number}")
        bus = PeerBus(name, Incarnation(f"{name}.1"), ZoneId("z1"))
        peers = leader.host.settings.peers
        host = leader.host.settings.host
        bus.set_peers((PeerSettings(host, RegionId("r"), ZoneId("z1"), peers),))
        with suppress(LentilpathError):
            await bus.ask(host, HEARTBEAT_TOPIC, HEARTBEAT | changes, dict, 5.0)
        bus.close()


def test_hosts_serve_on_after_odd_heartbeats_of_peers():
    """The leader's answers carry what it knows of its peers to all other hosts."""

    async def scenario() -> None:
        async with run_fleet(hosts=2, workers=2) as fleet:
            leader = await fleet.wait_for_leader()
            (other,) = [each for each in fleet.hosts if each is not leader]
            await send_odd_heartbeats(leader)
            await expect_service(fleet, other)
            await send_odd_heartbeats(leader)
            await leader.kill()
            await expect_service(fleet, other)
            check_processes(fleet, leader)

    asyncio.run(scenario())

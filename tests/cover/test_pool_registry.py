"""Lists and configurations of a large deployment are read whole, and unusable ones change nothing.

An entry or a configuration that cannot be used is logged once, and the last usable value stays.
"""

from __future__ import annotations

import asyncio
import json

import pytest

from lentilpath_core.errors import InvalidSettings
from lentilpath_core.ids import RackId
from lentilpath_core.pool import MachineId, PoolConfiguration
from lentilpath_core.settings import Address
from lentilpath_platform.registry import PlatformRegistry
from lentilpath_platform.store import MAX_PAGE_ROWS, open_table
from lentilpathd._events import Event
from lentilpathd._pool import _configuration
from lentilpathd._pool._configuration import ConfigurationFollower
from tests.common.fleet.deployment import CONFIG, QUEUE
from tests.common.fleet.store import StandInStore, StoreFaults
from tests.common.requests import wait_until

TIMEOUT_SECONDS = 5.0
WORKERS = 2 * MAX_PAGE_ROWS + 200
ROUTES = 1_400
ENTRY = {
    "service": "planner",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 4_000, "memMb": 8_192, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 1,
    "sequence": 1,
    "machine": "m1",
}


def run_scenario(scenario) -> None:
    async def run() -> None:
        store = StandInStore()
        port = await store.listen(StoreFaults())
        try:
            await scenario(store, PlatformRegistry(open_table(Address("127.0.0.1", port))))
        finally:
            await store.close()

    asyncio.run(run())


def put_worker(store: StandInStore, name: str, **changes: object) -> None:
    store.put("servers", "", name, json.dumps(ENTRY | changes).encode())


def make_configuration(version: int, routes: int) -> bytes:
    many = [
        QUEUE | {"name": f"r{number}", "pathPrefix": f"/q{number}/"} for number in range(routes)
    ]
    return json.dumps(CONFIG | {"version": version, "routes": many}).encode()


def test_more_workers_than_a_page_of_the_list_are_all_read_with_or_without_a_rack():
    async def scenario(store: StandInStore, registry: PlatformRegistry) -> None:
        for number in range(WORKERS):
            put_worker(store, f"w{number:05}", labels=[] if number % 3 == 0 else ["a", "r1"])
        workers = await registry.read_workers(TIMEOUT_SECONDS)
        assert len(workers) == WORKERS
        assert {worker.rack for worker in workers} == {RackId(""), RackId("r1")}
        assert {worker.machine for worker in workers} == {MachineId("m1")}

    run_scenario(scenario)


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "odd"},
        {"address": "nowhere"},
        {"capacity": {"cpu": -1}},
        {"capacity": "large"},
        {"labels": 5},
    ],
)
def test_a_worker_whose_entry_becomes_unusable_keeps_its_last_usable_one(changes, caplog):
    async def scenario(store: StandInStore, registry: PlatformRegistry) -> None:
        put_worker(store, "w1")
        put_worker(store, "w2")
        usable = await registry.read_workers(TIMEOUT_SECONDS)
        put_worker(store, "w1", **changes)
        put_worker(store, "w3", **changes)
        for _ in range(3):
            assert await registry.read_workers(TIMEOUT_SECONDS) == usable
        put_worker(store, "w1", sequence=2)
        assert [each.sequence for each in await registry.read_workers(TIMEOUT_SECONDS)] == [2, 1]
        store.put("servers", "", "w1", None)
        assert len(await registry.read_workers(TIMEOUT_SECONDS)) == 1

    run_scenario(scenario)
    assert caplog.text.count(f"LP{Event.ENTRY_UNREADABLE.number}") == 2


def test_many_routes_at_once_are_in_force_and_an_invalid_version_leaves_them_so(
    caplog, monkeypatch
):
    async def scenario(store: StandInStore, registry: PlatformRegistry) -> None:
        applied: list[PoolConfiguration] = []
        polls: list[None] = []
        follow = registry.follow_configuration

        async def follow_and_count(*arguments):
            polls.append(None)
            return await follow(*arguments)

        monkeypatch.setattr(registry, "follow_configuration", follow_and_count)
        follower = ConfigurationFollower(registry, applied.append)
        task = asyncio.create_task(follower.run())
        store.put("op", "", "config", make_configuration(3, 1))
        await wait_until(lambda: len(applied) == 1)
        store.put("op", "", "config", make_configuration(4, ROUTES))
        await wait_until(lambda: len(applied) == 2)
        assert len(applied[1].queues) == ROUTES
        store.put("op", "", "config", b'{"version": 5, "routes": [{"name": 7}]}')
        await wait_until(lambda: f"LP{Event.CONFIG_INVALID.number}" in caplog.text)
        with pytest.raises(InvalidSettings, match="name"):
            await registry.read_configuration(TIMEOUT_SECONDS)
        assert follower.get_current() is applied[1]
        polls_before = len(polls)
        await asyncio.sleep(5 * _configuration.RETRY_SECONDS)
        assert len(polls) - polls_before <= 1
        store.put("op", "", "config", make_configuration(6, 2))
        await wait_until(lambda: len(applied) == 3)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run_scenario(scenario)
    assert caplog.text.count(f"LP{Event.CONFIG_INVALID.number}") == 1

"""A large configuration comes into force on running hosts with slow links, whatever happens.

Guards against routes that are answered with 404 long after the table has accepted them.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from tests.common.fleet.deployment import Fleet, RunningHost, run_fleet
from tests.common.fleet.store import StoreFaults
from tests.common.requests import wait_until
from tests.cover.test_pool_registry import make_configuration

LINK_BYTES_PER_SECOND = 625_000
"""5 Mbit/s, the slowest link of the deployments."""
ROUTES = 4_200
"""1.2 MB on the wire, 1.9 s of such a link."""
VERSION = 4
FAULTS = {
    "none": StoreFaults(),
    "the table is 100 times slower": StoreFaults(added_latency_seconds=0.4),
    "the table refuses this host": StoreFaults(is_unavailable=True),
    "the table drops its history": StoreFaults(history_lost=True),
}


def get_version(host: RunningHost) -> int:
    configuration = host.host.configuration.get_current()
    return configuration.version if configuration is not None else 0


async def expect_last_route(fleet: Fleet, host: RunningHost) -> None:
    await wait_until(lambda: get_version(host) == VERSION)
    response = await host.call("GET", f"/q{ROUTES - 1}/00000000000000ff")
    assert response.status != 404
    assert not any(each.task.done() for each in fleet.hosts)


@pytest.mark.parametrize("fault", FAULTS)
def test_a_large_configuration_is_in_force_on_a_host_with_a_slow_link(fault: str):
    async def scenario() -> None:
        async with run_fleet(hosts=2, workers=1) as fleet:
            host = await fleet.add_host(bytes_per_second=LINK_BYTES_PER_SECOND)
            await wait_until(host.host.is_ready)
            for name, value in vars(replace(FAULTS[fault])).items():
                setattr(host.faults, name, value)
            fleet.store.put("op", "", "config", make_configuration(VERSION, ROUTES))
            await wait_until(lambda: max(map(get_version, fleet.hosts)) == VERSION)
            if host.faults.history_lost:
                await asyncio.sleep(1.0)
                host.faults.history_lost = False
            await expect_last_route(fleet, host)

    asyncio.run(scenario())


def test_a_large_configuration_is_in_force_on_a_host_with_a_slow_link_that_has_just_started():
    async def scenario() -> None:
        async with run_fleet(hosts=2, workers=1) as fleet:
            fleet.store.put("op", "", "config", make_configuration(VERSION, ROUTES))
            host = await fleet.add_host(bytes_per_second=LINK_BYTES_PER_SECOND)
            await expect_last_route(fleet, host)

    asyncio.run(scenario())

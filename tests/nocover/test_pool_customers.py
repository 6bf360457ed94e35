"""Hosts on the stand-in platform serve calls by the customers' keys that are in force.

Guards against keys that go on working after they were withdrawn, on connected clients, around a
restart or while the table is away, and against accepted jobs that are lost with a key.
"""

from __future__ import annotations

import asyncio
import json

from lentilpath_core.ids import Instant
from lentilpathd._clock import read_instant
from tests.common.fleet.deployment import CONFIG, Fleet, RunningHost, make_step, run_fleet
from tests.common.fleet.store import StoreFaults
from tests.common.requests import wait_until

JOB = "/checks/00000000000000aa"
BODY = {"spec": "run", "steps": [make_step()]}


def put_customers(fleet: Fleet, version: int, **keys: list[str]) -> None:
    tenants = [{"name": name, "apiKeys": each} for name, each in keys.items()]
    value = json.dumps(CONFIG | {"version": version, "tenants": tenants}).encode()
    fleet.store.put("op", "", "config", value)


async def wait_for_version(fleet: Fleet, version: int) -> None:
    def is_in_force() -> bool:
        found = [each.host.configuration.get_current() for each in fleet.hosts]
        return all(each is not None and each.version == version for each in found)

    await wait_until(is_in_force)


async def get_statuses(host: RunningHost, key: str | None) -> list[int]:
    calls = [("POST", JOB, BODY), ("GET", JOB, None), ("GET", "/checks/", None)]
    calls.append(("DELETE", JOB, None))
    return [(await host.call(method, path, body, key)).status for method, path, body in calls]


async def expect_completed(host: RunningHost, key: str) -> None:
    state = ""
    async with asyncio.timeout(30.0):
        while state != "completed":
            await asyncio.sleep(0.05)
            response = await host.call("GET", JOB, key=key)
            assert response.status == 200
            state = json.loads(response.body)["state"]


def run_scenario(scenario, **sizes) -> None:
    async def run() -> None:
        async with run_fleet(**sizes) as fleet:
            await scenario(fleet)

    asyncio.run(run())


def test_calls_with_an_unknown_key_get_401_and_store_nothing():
    async def scenario(fleet: Fleet) -> None:
        put_customers(fleet, 4, small=["k1", "k2"], large=["k3"])
        await wait_for_version(fleet, 4)
        host = fleet.hosts[0]
        for key in (None, "unknown"):
            assert await get_statuses(host, key) == [401] * 4
        assert (await host.call("GET", JOB, key="k1")).status == 410
        assert (await host.call("GET", "/unknown/", key="unknown")).status == 404

    run_scenario(scenario, hosts=1)


def test_another_customers_key_neither_reads_nor_cancels_nor_takes_over_a_job():
    async def scenario(fleet: Fleet) -> None:
        put_customers(fleet, 4, small=["k1", "k2"], large=["k3"])
        await wait_for_version(fleet, 4)
        host = fleet.hosts[0]
        assert (await host.call("POST", JOB, BODY, "k1")).status == 200
        assert (await host.call("POST", JOB, BODY, "k2")).status == 200
        assert (await host.call("POST", JOB, BODY, "k3")).status == 403
        assert (await host.call("DELETE", JOB, key="k3")).status == 403
        assert (await host.call("GET", JOB, key="k3")).status == 403
        await expect_completed(host, "k2")
        assert (await host.call("GET", JOB, key="k3")).status == 403

    run_scenario(scenario, hosts=1)


def test_a_withdrawn_key_is_refused_on_an_open_connection_and_its_job_runs_on():
    async def scenario(fleet: Fleet) -> None:
        put_customers(fleet, 4, small=["k1"])
        await wait_for_version(fleet, 4)
        host = fleet.hosts[0]
        assert (await host.call("POST", JOB, BODY, "k1")).status == 200
        put_customers(fleet, 5, small=["k2"])
        await wait_for_version(fleet, 5)
        assert await get_statuses(host, "k1") == [401] * 4
        await expect_completed(host, "k2")

    run_scenario(scenario, hosts=1)


def test_a_job_that_its_quota_can_never_hold_gets_429_with_the_quota_and_no_time_to_come_back():
    async def scenario(fleet: Fleet) -> None:
        tenants = [{"name": "small", "apiKeys": ["k1"], "maxItems": {"cpu": 500}}]
        value = json.dumps(CONFIG | {"version": 4, "tenants": tenants}).encode()
        fleet.store.put("op", "", "config", value)
        await wait_for_version(fleet, 4)
        host = fleet.hosts[0]
        refused = await host.call("POST", JOB, BODY, "k1")
        assert refused.status == 429
        assert "500 millicores" in json.loads(refused.body)["error"]
        assert not refused.get_header("retry-after")
        assert (await host.call("GET", JOB, key="k1")).status == 410
        put_customers(fleet, 5, small=["k1"])
        await wait_for_version(fleet, 5)
        assert (await host.call("POST", JOB, BODY, "k1")).status == 200
        # The repetition of an accepted submission is no new job, so a later quota does not count.
        fleet.store.put("op", "", "config", value.replace(b'"version": 4', b'"version": 6'))
        await wait_for_version(fleet, 6)
        assert (await host.call("POST", JOB, BODY, "k1")).status == 200

    run_scenario(scenario, hosts=1)


def test_a_host_that_restarts_while_the_table_is_away_accepts_no_key_at_all():
    async def scenario(fleet: Fleet) -> None:
        put_customers(fleet, 4, small=["k1"])
        await wait_for_version(fleet, 4)
        put_customers(fleet, 5, small=["k2"])
        await wait_for_version(fleet, 5)
        await fleet.hosts[0].kill()
        restarted = await fleet.add_host(faults=StoreFaults(is_unavailable=True))
        for key in ("k1", "k2"):
            assert await get_statuses(restarted, key) == [503] * 4

    run_scenario(scenario, hosts=1)


def test_a_host_that_is_cut_off_keeps_its_version_unless_its_age_is_limited():
    async def scenario(fleet: Fleet) -> None:
        put_customers(fleet, 4, small=["k1"])
        await wait_for_version(fleet, 4)
        pool_host = fleet.hosts[0].host
        configuration = pool_host.configuration.get_current()
        assert configuration is not None
        assert pool_host.may_check_keys(configuration)
        assert pool_host.configuration.is_current(60_000, read_instant())
        assert not pool_host.configuration.is_current(60_000, Instant(read_instant() + 61_000))

    run_scenario(scenario, hosts=1)

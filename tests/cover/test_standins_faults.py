"""The stand-ins inject the faults that a test switches on."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from lentilpath_core.errors import OutcomeUnknown, TableUnavailable, Unavailable
from lentilpath_core.ids import RowVersion, TaskId, WorkerTime, WriteId, ZoneId
from lentilpath_core.resources import Resources
from lentilpath_core.settings import Address
from lentilpath_core.zone.reports import WorkerTaskState
from lentilpath_http import serve_http
from lentilpath_standins._faults import create_connection_handler
from lentilpath_standins.platform import PlatformStandin, start_platform
from lentilpath_standins.worker import WorkerStandin
from lentilpathd._adapters.platform import create_platform
from lentilpathd._adapters.worker import create_worker
from lentilpathd._ports import StartCommand, SyncCommand, Transaction

HOST = {
    "name": "w1",
    "kind": "worker",
    "region": "r",
    "zone": "z",
    "address": "127.0.0.1",
    "port": 9,
}
PUT = Transaction(WriteId("w"), (("k", RowVersion(0)),), (("k", "v"),))
SHORT_SECONDS = 0.2


@asynccontextmanager
async def run_platform(callers=("near", "far")):
    standin = PlatformStandin([HOST], 0, {"far": {"w1": {"host": "127.0.0.2", "port": 7}}})
    servers = await start_platform(standin, "127.0.0.1", 0, dict.fromkeys(callers, 0))
    platforms = [create_platform(Address("127.0.0.1", server.get_port())) for server in servers]
    try:
        yield standin, platforms
    finally:
        for platform in platforms:
            platform.close()
        for server in servers:
            await server.close(0.1)


def test_a_lost_answer_comes_after_the_write_applied():
    async def check():
        async with run_platform() as (standin, (platform, *_)):
            standin.fault_injector.replace_faults(lose_answers=1)
            assert (await platform.read(("k",), 1.0))[0].value == ""
            with pytest.raises(OutcomeUnknown, match="closed the connection before its answer"):
                await platform.commit(PUT, 1.0)
            assert (await platform.read(("k",), 1.0))[0].value == "v"

    asyncio.run(check())


def test_a_late_write_applies_after_its_connection_broke():
    async def check():
        async with run_platform() as (standin, (platform, *_)):
            standin.fault_injector.replace_faults(late_writes=1, late_ms=100)
            with pytest.raises(OutcomeUnknown):
                await platform.commit(PUT, 1.0)
            assert (await platform.read(("k",), 1.0))[0].value == ""
            await asyncio.sleep(SHORT_SECONDS)
            assert (await platform.read(("k",), 1.0))[0].value == "v"

    asyncio.run(check())


def test_a_platform_that_is_down_does_nothing():
    async def check():
        async with run_platform() as (standin, (platform, *_)):
            standin.fault_injector.replace_faults(down=True)
            with pytest.raises(TableUnavailable):
                await platform.commit(PUT, 1.0)
            with pytest.raises(Unavailable):
                await platform.list_hosts(1.0)

    asyncio.run(check())


def test_only_the_callers_that_are_cut_off_get_no_answer():
    async def check():
        async with run_platform() as (standin, (_, near, far)):
            standin.fault_injector.replace_faults(cut=["far"])
            assert await near.list_hosts(1.0)
            with pytest.raises(TableUnavailable):
                await far.list_hosts(SHORT_SECONDS)
            standin.fault_injector.replace_faults(cut=[])
            assert await far.list_hosts(1.0)

    asyncio.run(check())


def test_each_caller_sees_the_addresses_that_are_meant_for_it():
    async def check():
        async with run_platform() as (_, (_, near, far)):
            assert (await near.list_hosts(1.0))[0].address == Address("127.0.0.1", 9)
            assert (await far.list_hosts(1.0))[0].address == Address("127.0.0.2", 7)

    asyncio.run(check())


def test_an_unchanged_host_list_is_not_transferred_again():
    async def check():
        async with run_platform() as (_, (platform, *_)):
            first = await platform.list_hosts(1.0)
            client = platform._client
            full_transfer_bytes = client.bytes_received
            assert await platform.list_hosts(1.0) == first
            assert client.bytes_received - full_transfer_bytes < full_transfer_bytes / 2

    asyncio.run(check())


def test_only_the_own_zone_s_workers_are_transferred():
    async def check():
        async with run_platform() as (_, (platform, *_)):
            address = Address(platform._client.address, platform._client.port)
            assert len(await platform.list_hosts(1.0)) == 1
            assert len(await create_platform(address, ZoneId("z")).list_hosts(1.0)) == 1
            assert await create_platform(address, ZoneId("elsewhere")).list_hosts(1.0) == ()

    asyncio.run(check())


def test_silenced_connections_stay_silent_while_new_ones_work():
    async def check():
        async with run_platform() as (standin, (platform, *_)):
            await platform.list_hosts(1.0)
            standin.fault_injector.replace_faults(silence_open=1)
            with pytest.raises(TableUnavailable):
                await platform.list_hosts(SHORT_SECONDS)
            assert await platform.list_hosts(1.0)

    asyncio.run(check())


def test_a_client_waits_on_only_one_of_several_silent_connections():
    async def check():
        async with run_platform() as (standin, (platform, *_)):
            await asyncio.gather(*(platform.list_hosts(1.0) for _ in range(3)))
            standin.fault_injector.replace_faults(silence_open=1)
            with pytest.raises(TableUnavailable):
                await platform.list_hosts(SHORT_SECONDS)
            for _ in range(3):
                assert await platform.list_hosts(1.0)

    asyncio.run(check())


def test_a_worker_that_fails_all_starts_each_task_and_reports_its_failure():
    async def check():
        standin = WorkerStandin("w1", Resources(1_000, 1_000, 0), None)
        server = await serve_http(create_connection_handler(standin.handle), "127.0.0.1", 0)
        worker = create_worker(Address("127.0.0.1", server.get_port()))
        standin.fault_injector.replace_faults(fail_all=True)
        not_after = WorkerTime((await read_report(worker)).clock + 60_000)
        start = StartCommand(TaskId("a/0"), 1, Resources(1, 1, 0), 9_000, (), 10_000, not_after)
        await worker.start(start, 1.0)
        report = await read_report(worker)
        assert [task.state for task in report.tasks] == [WorkerTaskState.FAILED]
        worker.close()
        await server.close(0.1)

    asyncio.run(check())


async def read_report(worker):
    return await worker.sync(SyncCommand(0, 0, 0, WorkerTime(0), ()), 1.0)

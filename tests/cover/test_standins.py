"""The stand-ins report exactly what ran, and enforce the rules of the table."""

import asyncio

import msgspec
import pytest

from lentilpath_core.ids import RowVersion, TaskId, WorkerTime, WriteId
from lentilpath_core.resources import Resources
from lentilpath_core.settings import Address
from lentilpath_core.zone.reports import StartAnswer, WorkerTaskState
from lentilpath_http import serve_http
from lentilpath_standins._commands import Forget, Start, Sync
from lentilpath_standins._faults import create_connection_handler
from lentilpath_standins._table import Check, Commit, MemoryTable, Put
from lentilpath_standins._tasks import WorkerTasks
from lentilpath_standins.platform import PlatformStandin, start_platform
from lentilpath_standins.worker import WorkerStandin
from lentilpathd._adapters.platform import create_platform
from lentilpathd._adapters.worker import create_worker
from lentilpathd._ports import StartCommand, SyncCommand, Transaction

CAPACITY = Resources(2_000, 1_000, 0)
SECOND_MS = 1_000


def make_start(task="a/0", *, run_ms=SECOND_MS, lease_ms=10 * SECOND_MS, not_after=10**9):
    return Start(task, 1, Resources(1_000, 500, 0), run_ms, {}, lease_ms, not_after)


def list_events(tasks):
    return [(fact.event, fact.task, fact.at, fact.outcome) for fact in tasks.facts]


def test_ends_a_task_whose_lease_has_run_out_at_the_end_of_its_lease():
    tasks = WorkerTasks(CAPACITY)
    tasks.start(make_start(run_ms=0, lease_ms=3 * SECOND_MS), 0, fail_immediately=False)
    tasks.advance(60 * SECOND_MS)
    assert list_events(tasks)[-1] == ("ended", "a/0", 3 * SECOND_MS, "lease_expired")


def test_a_renewal_after_the_lease_does_not_bring_the_task_back():
    tasks = WorkerTasks(CAPACITY)
    tasks.start(make_start(run_ms=0, lease_ms=SECOND_MS), 0, fail_immediately=False)
    tasks.renew(Sync(0, 0, 10 * SECOND_MS, 10**9), 2 * SECOND_MS)
    assert tasks.used == Resources()


def test_a_late_renewal_renews_nothing():
    tasks = WorkerTasks(CAPACITY)
    tasks.start(make_start(run_ms=0, lease_ms=SECOND_MS), 0, fail_immediately=False)
    tasks.renew(Sync(0, 0, 10 * SECOND_MS, not_after=499), 500)
    tasks.advance(SECOND_MS)
    assert list_events(tasks)[-1] == ("ended", "a/0", SECOND_MS, "lease_expired")


def test_refuses_a_late_start():
    tasks = WorkerTasks(CAPACITY)
    assert not tasks.start(make_start(not_after=4), 5, fail_immediately=False)
    assert tasks.facts == []


def test_starts_a_task_that_does_not_fit_and_reports_the_overcommitment():
    tasks = WorkerTasks(CAPACITY)
    for index in range(3):
        tasks.start(make_start(f"a/{index}"), 0, fail_immediately=False)
    assert tasks.overcommitted
    assert tasks.max_used == Resources(3_000, 1_500, 0)


def test_a_repeated_start_does_not_run_the_attempt_again():
    tasks = WorkerTasks(CAPACITY)
    tasks.start(make_start(), 0, fail_immediately=False)
    tasks.advance(2 * SECOND_MS)
    assert tasks.start(make_start(), 2 * SECOND_MS, fail_immediately=False)
    assert len(tasks.facts) == 2


def test_forgets_only_ended_attempts():
    tasks = WorkerTasks(CAPACITY)
    tasks.start(make_start("a/0", run_ms=0), 0, fail_immediately=False)
    tasks.start(make_start("a/1", run_ms=1), 0, fail_immediately=False)
    forget = (Forget("a/0", 1), Forget("a/1", 1))
    tasks.renew(Sync(0, 0, 0, 0, forget), 10)
    assert list(tasks.attempts) == [("a/0", 1)]


def test_a_failed_check_changes_nothing():
    table = MemoryTable()
    table.commit(Commit("1", puts=(Put("a", "1"),)))
    conflicts = table.commit(Commit("2", (Check("a", 0),), (Put("a", "2"), Put("b", "2"))))
    assert [row.value for row in conflicts] == ["1"]
    assert table.read("b").version == 0


def test_a_row_that_comes_back_never_repeats_a_version():
    table = MemoryTable()
    table.commit(Commit("1", puts=(Put("a", "1"),)))
    before = table.read("a").version
    table.commit(Commit("2", deletes=("a",)))
    table.commit(Commit("3", puts=(Put("a", "1"),)))
    assert table.read("a").version > before


def test_scans_by_prefix_after_a_key():
    table = MemoryTable()
    table.commit(Commit("1", puts=tuple(Put(key, "") for key in ("a/2", "a/1", "b/1", "a/3"))))
    assert [row.key for row in table.scan("a/", "a/1", 10)] == ["a/2", "a/3"]
    assert [row.key for row in table.scan("a/", "", 1)] == ["a/1"]


def test_the_adapter_of_the_platform_speaks_the_format_of_the_stand_in():
    async def exchange():
        servers = await start_platform(PlatformStandin([], 0), "127.0.0.1", 0, {})
        platform = create_platform(Address("127.0.0.1", servers[0].get_port()))
        put = Transaction(WriteId("w"), (("k", RowVersion(0)),), (("k", "v"),))
        assert (await platform.commit(put, 1.0)).applied
        again = await platform.commit(put, 1.0)
        assert [row.value for row in again.conflicts] == ["v"]
        assert [row.value for row in await platform.read(("k", "none"), 1.0)] == ["v", ""]
        assert [row.key for row in await platform.scan("", "", 9, 1.0)] == ["k"]
        await platform.put_object("a/b c", b"\x00data", 1.0)
        assert await platform.get_object("a/b c", 1.0) == b"\x00data"
        assert await platform.list_objects("a/", 1.0) == ("a/b c",)
        await platform.delete_object("a/b c", 1.0)
        assert await platform.get_object("a/b c", 1.0) is None
        assert await platform.list_hosts(1.0) == ()
        platform.close()
        await servers[0].close(0.1)

    asyncio.run(exchange())


def test_the_adapter_of_a_worker_speaks_the_format_of_the_stand_in():
    async def exchange():
        standin = WorkerStandin("w1", CAPACITY, None)
        timers = asyncio.create_task(standin.run_timers())
        server = await serve_http(create_connection_handler(standin.handle), "127.0.0.1", 0)
        worker = create_worker(Address("127.0.0.1", server.get_port()))
        first = await worker.sync(SyncCommand(0, 0, 0, WorkerTime(0), ()), 1.0)
        assert first.complete
        not_after = WorkerTime(first.clock + 60_000)
        start = StartCommand(TaskId("a/0"), 1, CAPACITY, 20, (), 10_000, not_after)
        assert await worker.start(start, 1.0) is StartAnswer.STARTED
        sequence = first.sequence
        while True:
            report = await worker.sync(SyncCommand(sequence, 5_000, 9, not_after, ()), 10.0)
            sequence = report.sequence
            if report.tasks and report.tasks[0].state is not WorkerTaskState.RUNNING:
                break
        assert report.tasks[0].state is WorkerTaskState.SUCCEEDED
        assert report.tasks[0].millicore_ms == 2_000 * 20
        late = StartCommand(TaskId("a/1"), 1, CAPACITY, 20, (), 10_000, WorkerTime(first.clock - 1))
        assert await worker.start(late, 1.0) is StartAnswer.REFUSED
        worker.close()
        timers.cancel()
        await server.close(0.1)

    asyncio.run(exchange())


def test_refuses_an_unknown_fault():
    fault_injector = PlatformStandin([], 0).fault_injector
    with pytest.raises(msgspec.ValidationError, match="dwon"):
        fault_injector.replace_faults(dwon=True)

"""No part of a process ends without a line in the log, whatever asyncio makes of its failure.

A host that had led once stopped looking for the leadership: on Python 3.11 a task keeps a count of
cancellations when its task group fails, which was taken for a cancellation of the task itself.
"""

import asyncio

import pytest

from lentilpath_core.ids import HostId
from lentilpathd._cancellation import StrayCancellation, run_in_own_task, start_member
from lentilpathd._events import Event
from lentilpathd._supervisor import FIRST_RESTART_DELAY_MS, Part, supervise_part
from tests.cover.test_peer_cancellation import PEER, SwallowingSocket, check_cancellation, make_bus

RUNS = 3
TIMEOUT_SECONDS = FIRST_RESTART_DELAY_MS * 2**RUNS / 1_000 + 5.0


async def fail():
    await asyncio.sleep(0)
    raise ValueError("fails")


async def fail_in_group():
    async with asyncio.TaskGroup() as group:
        group.create_task(fail())


async def cancel_itself():
    task = asyncio.current_task()
    assert task is not None
    task.cancel()
    await asyncio.sleep(0)


async def return_at_once():
    await asyncio.sleep(0)


async def count_runs(run):
    """Supervise a part until it has run `RUNS` times; return the number of runs."""
    runs = 0
    ran = asyncio.Event()

    async def run_once():
        nonlocal runs
        runs += 1
        if runs >= RUNS:
            ran.set()
        await run()

    supervised = asyncio.create_task(supervise_part(Part("part", run_once)))
    waiting = asyncio.create_task(ran.wait())
    await asyncio.wait(
        (supervised, waiting), timeout=TIMEOUT_SECONDS, return_when=asyncio.FIRST_COMPLETED
    )
    waiting.cancel()
    supervised.cancel()
    await asyncio.wait((supervised,))
    return runs


@pytest.mark.parametrize("run", [fail, fail_in_group, cancel_itself, return_at_once])
def test_a_part_is_started_again_and_logged_however_it_ends(run, monkeypatch):
    logged = []
    monkeypatch.setattr(
        "lentilpathd._supervisor.log_warning_event", lambda event, **_: logged.append(event)
    )
    assert asyncio.run(count_runs(run)) == RUNS
    assert logged[: RUNS - 1] == [Event.PART_FAILED] * (RUNS - 1)


def test_a_peer_is_asked_in_a_task_whose_task_group_has_failed():
    async def check():
        with pytest.raises(ExceptionGroup):
            await fail_in_group()
        bus = make_bus()
        bus.set_peers((PEER,))
        bus._sockets[HostId("b")] = SwallowingSocket()
        assert await bus.ask(HostId("b"), "topic", None, type(None), 0.01) is None

    asyncio.run(check())


def test_a_group_fails_if_a_member_is_cancelled_by_anything_else():
    async def check():
        with pytest.raises(ExceptionGroup) as caught:
            async with asyncio.TaskGroup() as group:
                start_member(group, cancel_itself, "member")
        assert caught.value.subgroup(StrayCancellation) is not None

    asyncio.run(check())


def test_work_whose_failure_hides_its_cancellation_ends_with_its_caller(monkeypatch):
    logged = []
    monkeypatch.setattr(
        "lentilpathd._cancellation.log_warning_event", lambda event, **_: logged.append(event)
    )

    async def fail_when_cancelled():
        try:
            await asyncio.Event().wait()
        finally:
            raise ValueError("fails with its cancellation")

    asyncio.run(check_cancellation(run_in_own_task(fail_when_cancelled, "work")))
    assert logged == [Event.FAILED_AS_CANCELLED]

import asyncio
from typing import Any

from lentilpath_core.errors import WorkerUnavailable
from lentilpath_core.ids import Epoch, Instant, RowVersion, TaskId, WorkerId, WorkerTime
from lentilpath_core.settings import WorkerLeaseSettings
from lentilpath_core.zone.control import RenewalSending, SendStart, StartAnswered, WorkerSynced
from lentilpath_core.zone.reports import StartAnswer, WorkerReport
from lentilpathd._authority import Authority
from lentilpathd._clock import read_instant
from lentilpathd._zone._term import Term
from lentilpathd._zone._worker_link import WorkerLink
from tests.common.zone import ZONE, make_spec

LEASES = WorkerLeaseSettings(lease_ms=1_000, sync_wait_ms=0, silent_after_ms=100)
SETTLE_SECONDS = 10.0


class ScriptedWorker:
    """Answers the given number of syncs, and none after them."""

    def __init__(self, answers):
        self.answers = answers
        self.syncs = []
        self.starts = []

    async def sync(self, command, timeout):
        await asyncio.sleep(0)
        self.syncs.append(command)
        if len(self.syncs) > self.answers:
            raise WorkerUnavailable("gone")
        return WorkerReport("boot", WorkerTime(500_000), 1, True, ())

    async def start(self, command, timeout):
        self.starts.append(command)
        return StartAnswer.STARTED

    def close(self):
        pass


class FixedAuthority:
    def __init__(self, remaining_ms):
        self.until = Instant(read_instant() + remaining_ms)

    def get_authority(self):
        return Authority(Epoch(1), self.until, True)

    def get_leader(self, zone):
        return None

    async def run(self):
        pass

    async def release(self, commands_end=None):
        pass


def make_link(worker: Any, remaining_ms=60_000):
    events: list[Any] = []
    term = Term(ZONE, Epoch(1), RowVersion(1), FixedAuthority(remaining_ms))
    link = WorkerLink(WorkerId("w1"), worker, term, LEASES, events.append)
    return link, events


async def run_until(link, condition, then=None):
    task = asyncio.create_task(link.run())
    async with asyncio.timeout(SETTLE_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        if then is not None:
            then()
            await link.wait_for_commands()
    task.cancel()


def test_renews_nothing_on_a_worker_that_does_not_answer():
    worker = ScriptedWorker(answers=2)
    link, events = make_link(worker)
    asyncio.run(run_until(link, lambda: len(worker.syncs) >= 5))
    renewing = [command.renew_ms > 0 for command in worker.syncs]
    assert renewing[:5] == [False, True, True, False, False]
    assert sum(isinstance(event, RenewalSending) for event in events) == 2


def test_sends_no_start_after_the_authority_has_ended():
    worker = ScriptedWorker(answers=10**9)
    link, events = make_link(worker, remaining_ms=-1)

    async def run():
        link.send_start(SendStart(WorkerId("w1"), TaskId("j/0"), 1), make_spec("j"))
        await link.wait_for_commands()

    asyncio.run(run())
    assert worker.starts == []
    assert [event.answer for event in events] == [StartAnswer.UNREACHED]


def test_a_command_has_no_effect_after_the_authority_by_the_workers_own_clock():
    worker = ScriptedWorker(answers=10**9)
    link, events = make_link(worker, remaining_ms=600)

    def has_answered():
        return any(isinstance(event, WorkerSynced) for event in events)

    def send_start():
        link.send_start(SendStart(WorkerId("w1"), TaskId("j/0"), 1), make_spec("j"))

    asyncio.run(run_until(link, has_answered, send_start))
    assert worker.starts[0].not_after <= 500_000 + 600
    assert [e.answer for e in events if isinstance(e, StartAnswered)] == [StartAnswer.STARTED]
    assert worker.starts[0].task == TaskId("j/0")

"""The leader's link to a worker grants no lease whose end it could not bound."""

from __future__ import annotations

import asyncio
import typing
from dataclasses import replace

from lentilpath_core.errors import OutcomeUnknown
from lentilpath_core.ids import Epoch, WorkerId, WorkerTime
from lentilpath_core.pool import (
    EndedRun,
    LeaseSent,
    RunEnd,
    RunNumber,
    StartAnswer,
    StartAnswered,
    StartRun,
    StartUnanswered,
    WorkerReport,
    WorkerReported,
)
from lentilpathd._pool import _link
from lentilpathd._pool._link import WorkerLink
from lentilpathd._pool._ports import SharedTable
from lentilpathd._pool._writer import RecordWriter
from tests.common.pools import LIFE, make_task, make_worker
from tests.common.tables import OnePartitionTable, make_leadership

LEASE_MS = 5_000
POLLS_BEFORE_STORED = 10
UNUSED_TABLE = typing.cast(SharedTable, None)


class SilencedWorker:
    """Answers the given number of renewals, and none after them."""

    def __init__(self, answers: int) -> None:
        self.answers = answers
        self.numbers: list[int] = []
        self.ended: dict[int, tuple[EndedRun, ...]] = {}
        """Ended runs that the answer to a renewal lists, by the number of the renewal from 1."""
        self.lost_renewals: set[int] = set()
        """Numbers of the renewals that are not answered."""
        self.leases: list[WorkerTime | None] = []
        self.silent_renewals = 0
        self.starts = 0

    async def start(self, task, run, text, checkpoint, ticket, lease_until, timeout):
        self.starts += 1
        raise OutcomeUnknown("no answer")

    async def renew(self, last_end_number, lease_until, wait_ms, timeout):
        self.leases.append(lease_until)
        self.numbers.append(last_end_number)
        if len(self.numbers) in self.lost_renewals:
            raise OutcomeUnknown("no answer")
        if self.answers == 0:
            self.silent_renewals += 1
            raise OutcomeUnknown("no answer")
        self.answers -= 1
        return WorkerReport(WorkerTime(1_000), (), self.ended.get(len(self.numbers), ()))

    async def stop(self, task, run, timeout):
        raise OutcomeUnknown("no answer")

    async def pace(self, task, run, percent, timeout):
        raise OutcomeUnknown("no answer")

    def close(self) -> None:
        pass


def make_start() -> StartRun:
    return StartRun(WorkerId("w1"), LIFE, make_task(1), RunNumber(1), "run", "", "", 0, 0)


def run_link(client: SilencedWorker, renewal_count: int, monkeypatch, on_poll=None) -> list[object]:
    events: list[object] = []
    monkeypatch.setattr(_link, "RETRY_SECONDS", 0.001)

    async def scenario() -> None:
        writer = RecordWriter(
            UNUSED_TABLE, Epoch(1), make_leadership(OnePartitionTable()), events.append
        )
        link = WorkerLink(
            make_worker("w1"), lambda: client, Epoch(1), lambda: LEASE_MS, writer, events.append
        )
        task = asyncio.create_task(link.run())
        while client.silent_renewals < renewal_count:
            await asyncio.sleep(0.001)
            if on_poll is not None:
                on_poll(link)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    return events


def make_end(number: int) -> EndedRun:
    return EndedRun(number, make_task(1), RunNumber(1), RunEnd.DONE, "")


def test_an_end_is_acknowledged_once(monkeypatch):
    client = SilencedWorker(answers=4)
    client.ended = {2: (make_end(57),)}
    run_link(client, 1, monkeypatch)
    assert client.numbers[:4] == [0, 0, 57, 0]


def test_nothing_is_acknowledged_to_a_worker_that_may_have_restarted(monkeypatch):
    client = SilencedWorker(answers=5)
    client.ended = {2: (make_end(57),), 4: (make_end(57),)}
    client.lost_renewals = {3}
    run_link(client, 1, monkeypatch)
    assert client.numbers[:6] == [0, 0, 57, 0, 57, 0]


def test_a_silent_worker_is_granted_no_further_leases(monkeypatch):
    client = SilencedWorker(answers=2)
    events = run_link(client, 10, monkeypatch)
    granted = [each for each in events if isinstance(each, LeaseSent)]
    assert client.leases[0] is None
    assert len([lease for lease in client.leases if lease is not None]) == len(granted)
    assert client.leases[-5:] == [None] * 5


def test_a_start_that_was_given_up_is_not_sent_again(monkeypatch):
    client = SilencedWorker(answers=3)
    sent: list[None] = []

    def on_poll(link):
        if not sent:
            sent.append(link.send_start(make_start()))
        elif client.starts == 1:
            link.cancel_start(make_task(1), RunNumber(1))

    run_link(client, 10, monkeypatch, on_poll)
    assert client.starts == 1


class SlowWorker(SilencedWorker):
    """Never answers a start."""

    async def start(self, task, run, text, checkpoint, ticket, lease_until, timeout):
        self.starts += 1
        await asyncio.sleep(60.0)


def test_a_start_that_is_cancelled_in_flight_counts_as_unanswered(monkeypatch):
    client = SlowWorker(answers=3)
    sent: list[None] = []

    def on_poll(link):
        if not sent and client.numbers[1:]:
            sent.append(link.send_start(make_start()))
        elif client.starts == 1:
            link.cancel_start(make_task(1), RunNumber(1))

    events = run_link(client, 10, monkeypatch, on_poll)
    unanswered = [each for each in events if isinstance(each, StartUnanswered)]
    assert [(each.task, each.run) for each in unanswered] == [(make_task(1), 1)]


def test_a_start_to_a_worker_that_fell_silent_is_not_repeated(monkeypatch):
    client = SilencedWorker(answers=3)
    sent: list[None] = []

    def on_poll(link):
        if not sent and client.silent_renewals:
            sent.append(link.send_start(make_start()))

    run_link(client, 10, monkeypatch, on_poll)
    assert client.starts == 1


class SlowReports(SilencedWorker):
    """Starts runs, answers a long poll only after a minute, and other requests at once."""

    async def start(self, task, run, text, checkpoint, ticket, lease_until, timeout):
        self.starts += 1
        return StartAnswer.STARTED

    async def renew(self, last_end_number, lease_until, wait_ms, timeout):
        report = await super().renew(last_end_number, lease_until, wait_ms, timeout)
        if wait_ms:
            await asyncio.sleep(60.0)
        self.silent_renewals += self.starts
        return report


def test_a_suspected_run_is_looked_for_right_after_its_start(monkeypatch):
    client = SlowReports(answers=9)
    monkeypatch.setattr(_link, "START_CHECK_SECONDS", 0.001)
    sent: list[None] = []

    def on_poll(link):
        if not sent and client.numbers[1:]:
            sent.append(link.send_start(replace(make_start(), is_suspected=True)))

    events = run_link(client, 1, monkeypatch, on_poll)
    assert isinstance(events[-2], StartAnswered)
    assert isinstance(events[-1], WorkerReported)
    assert client.leases[-1] is None


def test_a_suspected_run_is_started_only_on_a_worker_that_has_just_answered(monkeypatch):
    client = SilencedWorker(answers=3)
    sent: list[None] = []

    def on_poll(link):
        if not sent and client.silent_renewals:
            sent.append(link.send_start(replace(make_start(), is_suspected=True)))

    events = run_link(client, 10, monkeypatch, on_poll)
    answers = [each.answer for each in events if isinstance(each, StartAnswered)]
    assert answers == [StartAnswer.UNHEALTHY]
    assert client.starts == 0


def send_suspected_start(is_stored: bool, monkeypatch, wait_seconds: float) -> int:
    """Send a suspected start beside a record; return how many polls later it was started."""
    client = SlowReports(answers=1_000_000)
    monkeypatch.setattr(_link, "STORED_START_WAIT_SECONDS", wait_seconds)
    monkeypatch.setattr(_link, "START_CHECK_SECONDS", 0.001)
    polls: list[int] = []

    def on_poll(link):
        if not client.numbers[1:]:
            return
        if not polls:
            link._writer.queued_count += 1
            link.send_start(replace(make_start(), is_suspected=True))
        polls.append(client.starts)
        if len(polls) == POLLS_BEFORE_STORED and is_stored:
            asyncio.get_running_loop().create_task(confirm_first_record(link._writer))

    run_link(client, 1, monkeypatch, on_poll)
    return polls.count(0)


async def confirm_first_record(writer: RecordWriter) -> None:
    async with writer._durable:
        writer.durable_count += 1
        writer._durable.notify_all()


def test_a_suspected_start_is_sent_once_it_is_stored(monkeypatch):
    assert send_suspected_start(True, monkeypatch, 60.0) >= POLLS_BEFORE_STORED


def test_a_suspected_start_does_not_wait_for_a_table_that_is_away(monkeypatch):
    assert send_suspected_start(False, monkeypatch, 0.01) > 0

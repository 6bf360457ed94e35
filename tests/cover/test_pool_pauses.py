"""A process that was paused acts on no permission that expired meanwhile.

Guards against a leader that wakes up, does not know yet that another one was elected, and starts
runs or extends leases; and against starts by a ticket that expired before the command was sent.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import pytest

from lentilpath_core.errors import OutcomeUnknown
from lentilpath_core.ids import Epoch, Instant, RowVersion, WorkerTime
from lentilpath_core.pool import (
    PauseWatch,
    PoolConfiguration,
    RunningRun,
    StartAnswer,
    StartAnswered,
    StartRun,
    StepSpec,
    WorkerReport,
)
from lentilpath_core.pool._pauses import MAX_GAP_MS
from lentilpath_http import (
    HttpRequest,
    HttpResponse,
    RequestNotSent,
    _client,
    create_client,
    serve_http,
)
from lentilpathd._pool import _configuration, _link
from lentilpathd._pool._configuration import ConfigurationFollower
from lentilpathd._pool._leadership import (
    LEASE_MS,
    RENEW_INTERVAL_MS,
    SLOW_LEASE_MS,
    SLOW_RENEW_INTERVAL_MS,
)
from lentilpathd._pool._lease_extension import LeaseExtension
from lentilpathd._pool._leases import extend_lease
from lentilpathd._pool._link import WorkerLink
from lentilpathd._pool._writer import RecordWriter
from tests.common.pools import PoolHarness, list_advice_requests, list_starts, make_worker
from tests.common.requests import wait_until
from tests.common.tables import OnePartitionTable, make_leadership
from tests.common.virtual_time import run_in_virtual_time
from tests.cover.test_pool_advice import GANGS
from tests.cover.test_pool_link import SilencedWorker, make_start

START = make_start()
PAUSE_SECONDS = 0.3


def test_a_leader_that_was_paused_confirms_its_leadership_before_it_commands():
    watch = PauseWatch(Instant(0))
    assert watch.may_command(Instant(MAX_GAP_MS), is_confirmed=False)
    woken = 2 * MAX_GAP_MS + 1
    assert not watch.may_command(Instant(woken), is_confirmed=False)
    assert not watch.may_command(Instant(woken + 5), is_confirmed=False)
    assert watch.may_command(Instant(woken + 10), is_confirmed=True)
    assert watch.may_command(Instant(woken + 20), is_confirmed=False)


def test_an_outage_of_the_table_alone_is_no_pause():
    watch = PauseWatch(Instant(0))
    assert all(watch.may_command(Instant(now), False) for now in range(0, 60_000, 250))


def test_nobody_can_have_taken_over_after_a_pause_that_goes_unnoticed():
    shortest_lease_ms = min(LEASE_MS, SLOW_LEASE_MS)
    longest_interval_ms = max(RENEW_INTERVAL_MS, SLOW_RENEW_INTERVAL_MS)
    assert shortest_lease_ms - longest_interval_ms >= MAX_GAP_MS


class AnsweringRegistry:
    """Answers requests for the configuration once the test lets it, or fails them."""

    def __init__(self) -> None:
        self.waits: list[float] = []
        self.may_answer = asyncio.Event()
        self.is_away = False

    async def read_configuration(self, timeout: float) -> Any:
        return PoolConfiguration(cast(Any, 1)), RowVersion(1)

    async def follow_configuration(self, after: Any, wait: float, timeout: float) -> Any:
        self.waits.append(wait)
        await self.may_answer.wait()
        self.may_answer.clear()
        if self.is_away:
            raise OutcomeUnknown("no answer")
        return None, RowVersion(1)


@pytest.mark.parametrize("is_away", [False, True])
def test_keys_are_checked_after_a_pause_only_once_the_configuration_was_asked_for(
    is_away: bool, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a key that was withdrawn during the pause and is accepted after it."""
    now = [Instant(1_000)]
    monkeypatch.setattr(_configuration, "read_instant", lambda: now[0])
    monkeypatch.setattr(_configuration, "RETRY_SECONDS", 0.001)
    registry = AnsweringRegistry()
    follower = ConfigurationFollower(cast(Any, registry), lambda found: None)

    async def run() -> None:
        running = asyncio.create_task(follower.run())
        await wait_until(lambda: len(registry.waits) == 1)
        assert follower.is_settled(now[0])
        now[0] = Instant(now[0] + 30_000)
        assert not follower.is_settled(now[0])
        registry.is_away = is_away
        registry.may_answer.set()
        await wait_until(lambda: len(registry.waits) == 2)
        assert not follower.is_settled(now[0])
        registry.may_answer.set()
        await wait_until(lambda: len(registry.waits) == 3)
        assert follower.is_settled(now[0])
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    asyncio.run(run())
    assert [wait > 0 for wait in registry.waits] == [True, False, True]


class PollingRegistry:
    """Answers each long poll at its end, without a change."""

    def __init__(self) -> None:
        self.waits: list[float] = []

    async def read_configuration(self, timeout: float) -> Any:
        return PoolConfiguration(cast(Any, 1)), RowVersion(1)

    async def follow_configuration(self, after: Any, wait: float, timeout: float) -> Any:
        self.waits.append(wait)
        await asyncio.sleep(wait)
        return None, RowVersion(1)


def test_a_host_that_runs_without_a_pause_always_checks_keys(monkeypatch: pytest.MonkeyPatch):
    """Guards against a host that takes its own waiting for a pause, and refuses calls meanwhile."""
    registry = PollingRegistry()
    settled: list[bool] = []

    async def scenario() -> None:
        follower = ConfigurationFollower(cast(Any, registry), lambda found: None)
        running = asyncio.create_task(follower.run())
        await follower.wait_for_first()
        for _ in range(20):
            await asyncio.sleep(0.7)
            settled.append(follower.is_settled(cast(Any, _configuration).read_instant()))
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    run_in_virtual_time(scenario(), monkeypatch, _configuration)
    assert all(settled)
    assert set(registry.waits) == {_configuration.LONG_POLL_SECONDS}


class RecordingWorker(SilencedWorker):
    """Answers every call, and lists the given runs."""

    def __init__(self, *running: RunningRun) -> None:
        super().__init__(answers=10**9)
        self.running = running
        self.stops = 0
        self.tickets: list[str] = []
        self.answers_to_starts = [StartAnswer.STARTED]

    async def start(self, task, run, text, checkpoint, ticket, lease_until, timeout):
        self.tickets.append(ticket)
        await asyncio.sleep(0)
        if not self.answers_to_starts:
            return await super().start(task, run, text, checkpoint, ticket, lease_until, timeout)
        return self.answers_to_starts.pop(0)

    async def renew(self, last_end_number, lease_until, wait_ms, timeout):
        await super().renew(last_end_number, lease_until, wait_ms, timeout)
        await asyncio.sleep(0.001)
        return WorkerReport(WorkerTime(1_000), self.running, ())

    async def stop(self, task, run, timeout):
        self.stops += 1


def run_link(
    client: RecordingWorker, monkeypatch: pytest.MonkeyPatch, start: StartRun, may_command=None
) -> list[Any]:
    """Send a start over a link; return the events of the first 50 ms, in virtual time."""
    events: list[Any] = []
    monkeypatch.setattr(_link, "RETRY_SECONDS", 0.001)
    writer = RecordWriter(
        cast(Any, None), Epoch(1), make_leadership(OnePartitionTable()), events.append
    )
    link = WorkerLink(
        make_worker("w1"),
        lambda: client,
        Epoch(1),
        lambda: 5_000,
        writer,
        events.append,
        may_command or (lambda: True),
    )

    async def scenario() -> None:
        running = asyncio.create_task(link.run())
        await asyncio.sleep(0.02)
        link.send_start(start)
        await asyncio.sleep(0.05)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    run_in_virtual_time(scenario(), monkeypatch)
    return events


def list_answers(events: list[Any]) -> list[StartAnswer]:
    return [event.answer for event in events if isinstance(event, StartAnswered)]


def test_no_start_is_sent_and_no_lease_extended_before_the_leadership_is_confirmed(monkeypatch):
    client = RecordingWorker()
    events = run_link(client, monkeypatch, START, may_command=lambda: False)
    assert client.tickets == []
    assert set(client.leases) == {None}
    assert list_answers(events) == []


def test_a_start_that_was_held_back_is_sent_once_the_leadership_is_confirmed(monkeypatch):
    client = RecordingWorker()
    calls = iter(range(10**9))
    events = run_link(client, monkeypatch, START, may_command=lambda: next(calls) > 30)
    assert list_answers(events) == [StartAnswer.STARTED]


def test_a_start_whose_ticket_has_expired_is_not_sent(monkeypatch):
    client = RecordingWorker()
    start = replace(START, ticket="t", ticket_until=Instant(0))
    assert list_answers(run_link(client, monkeypatch, start)) == [StartAnswer.NO_PERMISSION]
    assert client.tickets == []


@pytest.mark.parametrize("is_listed", [True, False])
def test_a_start_without_an_answer_is_not_repeated_with_an_expired_ticket(is_listed, monkeypatch):
    run = RunningRun(START.task, START.run, "", 0)
    client = RecordingWorker(*([run] if is_listed else []))
    client.answers_to_starts = []
    clock = cast(Any, _link).read_instant
    start = replace(START, ticket="t", ticket_until=Instant(clock() + 10**6))
    sent = client.start

    async def start_and_wake_up_late(*arguments: Any) -> Any:
        monkeypatch.setattr(_link, "read_instant", lambda: Instant(clock() + 2 * 10**6))
        return await sent(*arguments)

    monkeypatch.setattr(client, "start", start_and_wake_up_late)
    events = run_link(client, monkeypatch, start)
    assert len(client.tickets) == 1
    assert list_answers(events) == ([StartAnswer.STARTED] if is_listed else [])
    assert client.stops == (0 if is_listed else 1)


def test_a_start_carries_the_end_of_its_ticket():
    harness = PoolHarness(GANGS)
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(1), queue=GANGS.queue)
    (call,) = list_advice_requests(harness.place())
    harness.grant_permissions(call, "w1", valid_ms=2_000)
    (start,) = list_starts([*harness.effects, *harness.place()])[:1]
    assert start.ticket_until == harness.now + 2_000


def test_a_new_leader_that_was_paused_extends_no_lease_of_former_workers():
    client = RecordingWorker()
    noted: list[int] = []
    asyncio.run(extend_lease(client, lambda: 5_000, noted.append, lambda: False))
    assert noted == []
    assert client.leases == [None]


@pytest.mark.parametrize("is_confirmed", [True, False])
def test_a_new_leader_extends_former_leases_only_while_its_own_is_confirmed(is_confirmed):
    """It does not know yet whom it would need for a majority."""
    client = RecordingWorker()
    settings = SimpleNamespace(lease_ms=5_000)
    context: Any = SimpleNamespace(create_worker=lambda *_: client, settings=settings)
    leadership: Any = SimpleNamespace(is_confirmed=lambda now: is_confirmed)
    extension = LeaseExtension(context, Epoch(2), leadership, lambda: True, lambda event: None)
    asyncio.run(extension._extend(make_worker("w1")))
    assert len(extension.sent) == is_confirmed
    assert (client.leases[-1] is not None) is is_confirmed


def test_a_request_is_not_sent_if_the_process_was_paused_while_it_connected(monkeypatch):
    requests: list[HttpRequest] = []

    async def answer(request: HttpRequest) -> HttpResponse:
        requests.append(request)
        return HttpResponse(200, (), b"")

    async def run() -> None:
        server = await serve_http(answer, "127.0.0.1", 0)
        client = create_client("127.0.0.1", server.get_port())
        connect = cast(Any, _client).open_connection

        async def connect_and_pause(*arguments: Any, **named: Any) -> Any:
            connection = await connect(*arguments, **named)
            time.sleep(PAUSE_SECONDS)  # noqa: ASYNC251, the whole process is paused
            return connection

        monkeypatch.setattr(_client, "open_connection", connect_and_pause)
        with pytest.raises(RequestNotSent):
            await client.send(HttpRequest("POST", "/"), PAUSE_SECONDS / 2)
        await server.close(0.0)

    asyncio.run(run())
    assert requests == []

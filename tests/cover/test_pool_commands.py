"""Commands that wait in the leader's link to a worker for those before them to be answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import pytest

from lentilpath_core.errors import OutcomeUnknown, TableUnavailable
from lentilpath_core.ids import Epoch, Instant, WorkerId
from lentilpath_core.pool import (
    JobCancelled,
    ListedWorker,
    PaceRun,
    PoolEvent,
    RunningRun,
    RunNumber,
    StartAnswer,
    StartAnswered,
    StartRun,
    StartUnanswered,
    StepSpec,
    StopAnswered,
    StopReason,
    StopRun,
    WorkerReport,
)
from lentilpath_core.pool._workers import STOP_RETRY_MS
from lentilpathd._events import Event
from lentilpathd._pool import _command_slots, _command_times, _link, _worker_watch
from lentilpathd._pool._command_slots import (
    MAX_CONCURRENT_COMMANDS,
    MAX_CONCURRENT_STOPS,
    CommandSlots,
    ExtraSlots,
    count_stop_slots,
)
from lentilpathd._pool._command_times import CommandKind, CommandTimes, LateStops
from lentilpathd._pool._link import WorkerLink, compute_batch_delay
from lentilpathd._pool._ports import Registry
from lentilpathd._pool._worker_links import WorkerLinks
from lentilpathd._pool._worker_watch import WorkerWatch
from lentilpathd._pool._writer import RecordWriter
from tests.common.pools import (
    LIFE,
    PoolHarness,
    list_starts,
    list_stops,
    make_task,
    make_worker,
)
from tests.common.tables import OnePartitionTable, make_leadership
from tests.common.virtual_time import run_in_virtual_time
from tests.cover.test_pool_link import LEASE_MS, UNUSED_TABLE, SilencedWorker, make_start

NOTICE_MS = 2_500


class BusyWorker(SilencedWorker):
    """Answers renewals at once, and commands once `proceed` is set."""

    def __init__(self, *running: RunningRun) -> None:
        super().__init__(answers=10**9)
        self.running = running
        self.proceed = asyncio.Event()
        self.is_silenced = False
        """Whether commands are lost."""
        self.commands: list[tuple[str, int]] = []
        """What was received, and for which number of a task."""
        self.paces: list[int] = []
        self.in_flight = 0
        self.most_in_flight = 0

    async def renew(self, last_end_number, lease_until, wait_ms, timeout):
        report = await super().renew(last_end_number, lease_until, wait_ms, timeout)
        await asyncio.sleep(0.001)
        return WorkerReport(report.clock, self.running, ())

    async def start(self, task, run, text, checkpoint, ticket, lease_until, timeout):
        await self._receive("start", task)
        return StartAnswer.STARTED

    async def stop(self, task, run, timeout):
        await self._receive("stop", task)

    async def pace(self, task, run, percent, timeout):
        self.paces.append(percent)
        await self._receive("pace", task)

    async def _receive(self, name, task):
        self.commands.append((name, task.number))
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        await asyncio.sleep(0)
        await self.proceed.wait()
        self.in_flight -= 1
        if self.is_silenced:
            raise OutcomeUnknown("no answer")


class Play:
    """A link to a worker, and what the decision core is told."""

    def __init__(self, client: BusyWorker) -> None:
        self.client = client
        self.events: list[PoolEvent] = []
        self.is_leaving = False
        self.may_start = True
        self.times: list[CommandTimes] = []
        self.link = WorkerLink(
            make_worker("w1"),
            lambda: client,
            Epoch(1),
            lambda: LEASE_MS,
            make_writer(),
            self.events.append,
            is_leaving=lambda: self.is_leaving,
            may_start=lambda: self.may_start,
            report_times=self.times.append,
        )

    def start(self, *numbers: int) -> None:
        for number in numbers:
            self.link.send_start(make_numbered_start(number))

    def stop(self, *numbers: int) -> None:
        for number in numbers:
            task = make_task(1, number)
            self.link.send_stop(
                StopRun(WorkerId("w1"), LIFE, task, RunNumber(1), StopReason.JOB_OVER)
            )

    def list_stopped(self) -> list[int]:
        return [each.task.number for each in self.events if isinstance(each, StopAnswered)]

    def list_answers(self) -> dict[int, StartAnswer]:
        return {
            each.task.number: each.answer for each in self.events if isinstance(each, StartAnswered)
        }


def make_writer() -> RecordWriter:
    return RecordWriter(
        UNUSED_TABLE, Epoch(1), make_leadership(OnePartitionTable()), lambda event: None
    )


def make_numbered_start(number: int) -> StartRun:
    return replace(make_start(), task=make_task(1, number))


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20.0):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.001)


def run_play(play_link, monkeypatch: pytest.MonkeyPatch, *running: RunningRun) -> Play:
    """Play with a link to a worker that is in touch."""
    monkeypatch.setattr(_link, "RETRY_SECONDS", 0.001)

    async def scenario() -> Play:
        play = Play(BusyWorker(*running))
        task = asyncio.create_task(play.link.run())
        await wait_for(lambda: len(play.client.numbers) > 1)
        await play_link(play)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return play

    return asyncio.run(scenario())


def test_starts_that_wait_are_not_sent_once_their_worker_is_listed_as_leaving(monkeypatch):
    async def play_link(play: Play) -> None:
        play.start(*range(600))
        await wait_for(lambda: len(play.client.commands) == 3)
        play.is_leaving = True
        play.link.withdraw_starts()
        await wait_for(lambda: len(play.list_answers()) == 597)
        play.client.proceed.set()
        await wait_for(lambda: len(play.list_answers()) == 600)

    play = run_play(play_link, monkeypatch)
    assert play.client.commands == [("start", 0), ("start", 1), ("start", 2)]
    answers = play.list_answers()
    assert [answers[each] for each in range(3)] == [StartAnswer.STARTED] * 3
    assert {answers[each] for each in range(3, 600)} == {StartAnswer.NOT_SENT}


def test_a_start_is_sent_by_what_is_listed_when_it_is_sent(monkeypatch):
    async def play_link(play: Play) -> None:
        play.start(*range(4))
        await wait_for(lambda: len(play.client.commands) == 3)
        play.is_leaving = True
        play.client.proceed.set()
        await wait_for(lambda: len(play.list_answers()) == 4)

    play = run_play(play_link, monkeypatch)
    assert len(play.client.commands) == 3
    assert play.list_answers()[3] is StartAnswer.NOT_SENT


def test_starts_wait_while_the_list_of_workers_is_out_of_date(monkeypatch):
    """A worker may have begun to leave meanwhile, however slow the host is that leads."""

    async def play_link(play: Play) -> None:
        play.may_start = False
        play.client.proceed.set()
        play.start(*range(5))
        await asyncio.sleep(0.02)
        assert not play.client.commands
        play.is_leaving = True
        play.link.withdraw_starts()
        await wait_for(lambda: len(play.list_answers()) == 5)
        play.is_leaving, play.may_start = False, True
        play.start(7)
        await wait_for(lambda: len(play.list_answers()) == 6)

    play = run_play(play_link, monkeypatch)
    assert play.client.commands == [("start", 7)]
    answers = play.list_answers()
    assert [answers[number] for number in range(5)] == [StartAnswer.NOT_SENT] * 5


@pytest.mark.parametrize(
    ("listed_ms_ago", "loop_late_ms_ago", "failed_ms_ago", "may_start"),
    [
        (1_700, 100, None, True),
        (1_701, 100, None, False),
        (1_701, 2_001, None, True),
        (60_000, 100, 50, True),
        (1_701, 100, 5_000, False),
    ],
    ids=["recent", "host is slow", "table is slow", "table is away", "table is back"],
)
def test_starts_need_a_recent_list_unless_the_table_gives_none(
    listed_ms_ago, loop_late_ms_ago, failed_ms_ago, may_start, monkeypatch
):
    now = Instant(100_000)
    registry = ListedAt()
    watch = WorkerWatch(cast(Registry, registry), PoolHarness().state, lambda event: None)

    def read(ms_ago: int, is_away: bool) -> None:
        monkeypatch.setattr(_worker_watch, "read_instant", lambda: Instant(now - ms_ago))
        registry.is_away = is_away
        asyncio.run(watch._read())

    if failed_ms_ago is not None and failed_ms_ago > listed_ms_ago:
        read(failed_ms_ago, is_away=True)
    read(listed_ms_ago, is_away=False)
    if failed_ms_ago is not None and failed_ms_ago < listed_ms_ago:
        read(failed_ms_ago, is_away=True)
    watch.note_loop_delay(_worker_watch.LATE_LOOP_MS, Instant(now - loop_late_ms_ago))
    watch.note_loop_delay(_worker_watch.LATE_LOOP_MS - 1, now)
    assert watch.may_start(now) is may_start


class ListedAt:
    """A registry without workers that answers at once, or not at all."""

    is_away = False

    async def read_workers(self, timeout: float) -> tuple[ListedWorker, ...]:
        if self.is_away:
            raise TableUnavailable("away")
        return ()


@pytest.mark.parametrize("is_running", [True, False])
def test_a_start_without_an_answer_is_not_repeated_at_a_leaving_worker(is_running, monkeypatch):
    async def play_link(play: Play) -> None:
        play.start(0)
        await wait_for(lambda: len(play.client.commands) == 1)
        play.client.is_silenced = play.is_leaving = True
        play.link.withdraw_starts()
        play.client.proceed.set()
        if is_running:
            await wait_for(lambda: len(play.list_answers()) == 1)
        else:
            await wait_for(lambda: len(play.client.commands) == 2)

    listed = [RunningRun(make_task(1), RunNumber(1), "", 0)] if is_running else []
    play = run_play(play_link, monkeypatch, *listed)
    assert play.client.commands[:2] == [("start", 0)] + ([] if is_running else [("stop", 0)])
    assert play.list_answers() == ({0: StartAnswer.STARTED} if is_running else {})
    assert len([each for each in play.events if isinstance(each, StartUnanswered)]) == 1


def test_starts_that_were_withdrawn_before_the_link_runs_are_answered_once():
    async def scenario() -> Play:
        play = Play(BusyWorker())
        play.start(0, 1)
        play.link.withdraw_starts()
        task = asyncio.create_task(play.link.run())
        await wait_for(lambda: len(play.client.numbers) > 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return play

    play = asyncio.run(scenario())
    answers = [each.answer for each in play.events if isinstance(each, StartAnswered)]
    assert answers == [StartAnswer.NOT_SENT] * 2


def test_the_links_follow_the_list_of_workers():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"), make_worker("w2"))

    async def scenario() -> list[tuple[str, StartAnswer]]:
        events: list[Any] = []
        clients = []

        def create_worker(*_: Any) -> BusyWorker:
            clients.append(BusyWorker())
            return clients[-1]

        context: Any = SimpleNamespace(create_worker=create_worker)
        links = WorkerLinks(
            context,
            Epoch(1),
            harness.state,
            make_writer(),
            events.append,
            lambda: True,
            lambda worker, life: LEASE_MS,
        )

        async def run_links() -> None:
            async with asyncio.TaskGroup() as group:
                links.start(group)

        task = asyncio.create_task(run_links())
        await wait_for(lambda: all(len(each.numbers) > 1 for each in clients) and bool(clients))
        for start in (replace(make_start(), worker=each) for each in harness.state.workers):
            link = links.get(start.worker, LIFE)
            assert link is not None
            for number in range(5):
                link.send_start(replace(start, task=make_task(1, number)))
        await wait_for(lambda: sum(len(each.commands) for each in clients) == 6)
        harness.list_workers(
            make_worker("w1", leaves_in_ms=NOTICE_MS, sequence=1), make_worker("w2", sequence=1)
        )
        links.withdraw_starts()
        await wait_for(lambda: any(isinstance(each, StartAnswered) for each in events))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return [(each.worker, each.answer) for each in events if isinstance(each, StartAnswered)]

    assert asyncio.run(scenario()) == [("w1", StartAnswer.NOT_SENT)] * 2


def test_a_task_whose_start_was_not_sent_starts_elsewhere_at_once():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(1))
    (start,) = list_starts(harness.place())
    harness.add_workers(make_worker("w1", leaves_in_ms=NOTICE_MS, sequence=1), make_worker("w2"))
    assert list_starts(harness.place()) == []
    harness.answer_start(start, StartAnswer.NOT_SENT)
    (again,) = list_starts(harness.place())
    assert (again.task, again.worker) == (start.task, "w2")


def test_a_start_that_is_stopped_before_it_was_sent_needs_no_command(monkeypatch):
    async def play_link(play: Play) -> None:
        play.start(*range(4))
        await wait_for(lambda: len(play.client.commands) == 3)
        play.stop(3)
        play.client.proceed.set()
        await wait_for(lambda: len(play.list_answers()) == 4)

    play = run_play(play_link, monkeypatch)
    assert play.client.commands == [("start", 0), ("start", 1), ("start", 2)]
    assert play.list_answers()[3] is StartAnswer.NOT_SENT
    assert not [each for each in play.events if isinstance(each, StopAnswered)]


def test_a_cancelled_job_holds_no_run_whose_start_was_not_sent():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(1))
    (start,) = list_starts(harness.place())
    harness.handle_event(JobCancelled(start.task.job))
    harness.answer_start(start, StartAnswer.NOT_SENT)
    harness.confirm_records()
    (worker,) = harness.state.workers.values()
    assert not worker.attempts
    assert list_starts(harness.place()) == []


def test_a_stop_goes_before_starts_that_wait(monkeypatch):
    async def play_link(play: Play) -> None:
        play.start(*range(10))
        await wait_for(lambda: len(play.client.commands) == 3)
        play.stop(20)
        await asyncio.sleep(0.01)
        play.client.proceed.set()
        await wait_for(lambda: len(play.client.commands) == 11)

    play = run_play(play_link, monkeypatch)
    assert play.client.commands[3] == ("stop", 20)


def test_a_stop_that_is_decided_again_while_it_waits_keeps_its_turn(monkeypatch):
    """Otherwise each repetition puts it behind the others, and no stop that waits is ever sent."""

    async def play_link(play: Play) -> None:
        play.stop(*range(10))
        await wait_for(lambda: len(play.client.commands) == 3)
        play.stop(0, 3, 4)
        await asyncio.sleep(0.01)
        play.client.proceed.set()
        await wait_for(lambda: len(play.list_stopped()) == 10)

    play = run_play(play_link, monkeypatch)
    assert play.client.commands == [("stop", number) for number in range(10)]
    assert sorted(play.list_stopped()) == list(range(10))


def test_a_stop_that_was_answered_can_be_sent_again(monkeypatch):
    async def play_link(play: Play) -> None:
        play.client.proceed.set()
        play.stop(0)
        await wait_for(lambda: len(play.list_stopped()) == 1)
        play.stop(0)
        await wait_for(lambda: len(play.list_stopped()) == 2)

    assert run_play(play_link, monkeypatch).client.commands == [("stop", 0), ("stop", 0)]


def test_a_run_is_stopped_again_only_some_time_after_the_answer_to_its_stop():
    """Its stop may have waited in the link for longer than a sound worker takes to stop it."""
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(1))
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    listed = ((start.task, start.run, 0),)
    harness.handle_event(JobCancelled(start.task.job))
    harness.pass_time(STOP_RETRY_MS)
    harness.handle_event(StopAnswered(start.worker, LIFE, start.task, start.run))
    # Each report comes 1 ms later.
    harness.pass_time(STOP_RETRY_MS - 2)
    assert list_stops(harness.report("w1", running=listed)) == []
    assert len(list_stops(harness.report("w1", running=listed))) == 1


def stop_many(count: int, monkeypatch: pytest.MonkeyPatch, is_silenced: bool = False) -> int:
    """Stop many runs at once; return the largest number of stops in flight."""

    async def play_link(play: Play) -> None:
        play.client.is_silenced = is_silenced
        play.client.proceed.set()
        play.stop(*range(count))
        await wait_for(lambda: len(play.client.commands) >= count)

    return run_play(play_link, monkeypatch).client.most_in_flight


def test_many_stops_share_more_connections_up_to_a_bound(monkeypatch):
    assert stop_many(1_000, monkeypatch) == MAX_CONCURRENT_STOPS


def test_the_stops_of_a_wide_step_open_no_further_connections(monkeypatch):
    assert stop_many(48, monkeypatch) == MAX_CONCURRENT_COMMANDS


def test_stops_that_a_worker_does_not_answer_open_no_further_connections(monkeypatch):
    assert stop_many(1_000, monkeypatch, is_silenced=True) == MAX_CONCURRENT_COMMANDS


def test_stops_of_a_slow_worker_are_in_time_for_as_many_runs_as_it_may_have(monkeypatch):
    """A stop may be answered only once its run has ended, so slots are taken for that long."""
    answer_seconds, runs, cancel_seconds = 0.45, 240, 2.5
    sent_at: list[float] = []

    class SlowWorker(BusyWorker):
        async def stop(self, task, run, timeout):
            sent_at.append(asyncio.get_running_loop().time())
            await asyncio.sleep(answer_seconds)

    async def scenario() -> float:
        play = Play(SlowWorker())
        task = asyncio.create_task(play.link.run())
        await wait_for(lambda: len(play.client.numbers) > 1)
        decided_at = asyncio.get_running_loop().time()
        play.stop(*range(runs))
        await wait_for(lambda: len(play.list_stopped()) == runs)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return max(sent_at) - decided_at

    assert run_in_virtual_time(scenario(), monkeypatch, _link, _command_slots) <= cancel_seconds


@pytest.mark.parametrize(
    ("unanswered", "waited_ms", "answer_ms", "slots"),
    [
        (48, 0, 50, 3),
        (200, 0, 50, 10),
        (200, 500, 50, 20),
        (20, 0, 450, 9),
        (20, 2_000, 450, 20),
        (1_000, 0, 450, MAX_CONCURRENT_STOPS),
    ],
)
def test_stops_have_as_many_slots_as_they_need(unanswered, waited_ms, answer_ms, slots):
    assert count_stop_slots(unanswered, waited_ms, answer_ms) == slots


def test_the_links_to_all_workers_share_the_additional_slots():
    async def scenario() -> int:
        extra = ExtraSlots(5)
        workers = [CommandSlots(extra) for _ in range(4)]
        in_flight = most = 0

        async def stop(slots: CommandSlots) -> None:
            nonlocal in_flight, most
            async with slots.reserve_for_stop():
                in_flight += 1
                most = max(most, in_flight)
                await asyncio.sleep(0.001)
                in_flight -= 1

        async with asyncio.timeout(20.0):
            await asyncio.gather(*(stop(slots) for slots in workers for _ in range(200)))
            # All of them were given back.
            assert [extra.take() for _ in range(6)] == [True] * 5 + [False]
        return most

    assert asyncio.run(scenario()) == 4 * MAX_CONCURRENT_COMMANDS + 5


def test_many_stops_keep_to_the_bound_of_starts_afterwards(monkeypatch):
    async def play_link(play: Play) -> None:
        play.client.proceed.set()
        play.stop(*range(1_000))
        await wait_for(lambda: len(play.client.commands) == 1_000)
        await wait_for(lambda: play.client.in_flight == 0)
        play.client.proceed.clear()
        play.start(*range(1_000, 1_100))
        await wait_for(lambda: play.client.in_flight == MAX_CONCURRENT_COMMANDS)
        await asyncio.sleep(0.01)
        assert play.client.in_flight == MAX_CONCURRENT_COMMANDS

    run_play(play_link, monkeypatch)


def test_commands_that_are_cancelled_in_any_state_free_their_slots():
    async def scenario() -> None:
        slots = CommandSlots()
        proceed = asyncio.Event()
        done: list[int] = []

        async def command(number: int) -> None:
            is_stop = bool(number % 2)
            async with slots.reserve_for_stop() if is_stop else slots.reserve():
                await proceed.wait()
                done.append(number)

        commands = [asyncio.create_task(command(number)) for number in range(12)]
        await asyncio.sleep(0)
        # In flight, waiting, and with a turn that has just come.
        commands[0].cancel()
        commands[9].cancel()
        commands[11].cancel()
        await asyncio.sleep(0)
        commands[3].cancel()
        proceed.set()
        async with asyncio.timeout(20.0):
            await asyncio.gather(*commands, return_exceptions=True)
            async with slots.reserve(), slots.reserve(), slots.reserve():
                pass
        assert sorted(done) == [
            number for number, each in enumerate(commands) if not each.cancelled()
        ]

    asyncio.run(scenario())


def test_the_wait_of_a_command_is_told_apart_from_its_time_in_flight(monkeypatch):
    """Without both, many stops for one worker look like a slow worker."""
    lines: list[tuple[Event, dict[str, object]]] = []
    monkeypatch.setattr(
        _command_times, "log_event", lambda event, **fields: lines.append((event, fields))
    )
    late = LateStops(WorkerId("w1"))
    sent = CommandTimes(CommandKind.STOP, Instant(1_000), Instant(2_900), Instant(2_950))
    late.note(sent, waiting=40, slots=3)
    late.note(replace(sent, answered_at=Instant(3_400)), waiting=39, slots=3)
    late.note(replace(sent, kind=CommandKind.START), waiting=39, slots=3)
    late.note(replace(sent, answered_at=Instant(3_500)), waiting=0, slots=3)
    times = {"decided_ms": 1_950, "queued_ms": 1_900, "answer_ms": 50}
    later = {"decided_ms": 2_500, "queued_ms": 1_900, "answer_ms": 600}
    assert lines == [
        (Event.STOPS_LATE, {"worker": "w1", "count": 1, **times, "waiting": 40, "slots": 3}),
        (Event.STOPS_LATE, {"worker": "w1", "count": 2, **later, "waiting": 0, "slots": 3}),
    ]


def test_each_command_reports_its_times(monkeypatch):
    async def play_link(play: Play) -> None:
        play.client.proceed.set()
        play.start(0)
        await wait_for(lambda: len(play.list_answers()) == 1)
        play.stop(0)
        play.link.send_pace(make_pace(50))
        await wait_for(lambda: len(play.times) == 3)

    play = run_play(play_link, monkeypatch)
    assert {each.kind for each in play.times} == set(CommandKind)
    assert all(each.decided_at <= each.sent_at <= each.answered_at for each in play.times)


def test_reports_of_many_runs_leave_time_for_commands():
    """Each report with an end lists all runs of its worker, and the next would follow at once."""
    assert compute_batch_delay(32) == compute_batch_delay(0) == _link.BATCH_DELAY_SECONDS
    assert compute_batch_delay(240) == pytest.approx(0.12)


def make_pace(percent: int, number: int = 1) -> PaceRun:
    return PaceRun(WorkerId("w1"), LIFE, make_task(1, number), RunNumber(1), percent)


def test_a_pace_that_is_refused_is_repeated(monkeypatch):
    """The core takes the pace that it ordered last for the one in force."""

    async def play_link(play: Play) -> None:
        play.client.is_silenced = True
        play.client.proceed.set()
        play.link.send_pace(make_pace(0))
        await wait_for(lambda: len(play.client.paces) == 2)
        play.client.is_silenced = False
        await wait_for(lambda: len(play.times) == 1)
        await asyncio.sleep(0.01)

    assert set(run_play(play_link, monkeypatch).client.paces) == {0}


def test_the_last_pace_of_a_run_is_sent_last_and_replaces_those_that_wait(monkeypatch):
    async def play_link(play: Play) -> None:
        play.link.send_pace(make_pace(25))
        await wait_for(lambda: len(play.client.paces) == 1)
        play.link.send_pace(make_pace(6))
        play.link.send_pace(make_pace(0))
        await asyncio.sleep(0.01)
        assert play.client.paces == [25]
        play.client.proceed.set()
        await wait_for(lambda: len(play.times) == 2)
        play.link.send_pace(make_pace(50))
        await wait_for(lambda: len(play.times) == 3)

    assert run_play(play_link, monkeypatch).client.paces == [25, 0, 50]


def test_a_pace_that_is_never_taken_is_given_up(monkeypatch):
    monkeypatch.setattr(_link, "PACE_RETRY_MS", 0)

    async def play_link(play: Play) -> None:
        play.client.is_silenced = True
        play.client.proceed.set()
        play.link.send_pace(make_pace(0))
        await wait_for(lambda: not play.link._paces)

    assert run_play(play_link, monkeypatch).client.paces == [0]

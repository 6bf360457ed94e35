"""The leader's session with one life of a worker: lease renewals, starts and stops.

A life is one incarnation of the worker process, from its start to its end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from lentilpath_core.ids import Epoch, Instant, WorkerTime
from lentilpath_core.pool import (
    LeaseSent,
    Life,
    ListedWorker,
    OtherLifeAnswered,
    PaceRun,
    PoolEvent,
    RunNumber,
    StartAnswer,
    StartAnswered,
    StartRun,
    StartUnanswered,
    StopAnswered,
    StopRun,
    TaskKey,
    WorkerReport,
    WorkerReported,
)
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._pool._command_log import log_unanswered
from lentilpathd._pool._command_slots import CommandSlots, ExtraSlots
from lentilpathd._pool._command_times import (
    CommandKind,
    CommandTimes,
    LateStops,
    ReportTimes,
    ignore_times,
)
from lentilpathd._pool._guard import report_unexpected
from lentilpathd._pool._leases import RENEWAL_TIMEOUT_SECONDS, WorkerClock
from lentilpathd._pool._ports import Deposed, OtherLife, PoolWorker, RefusedByFence
from lentilpathd._pool._records import format_task
from lentilpathd._pool._writer import RecordWriter

RENEWAL_LONG_POLL_MS = 800
"""Long poll: how long a worker may delay its response while no run ends."""
BATCH_DELAY_SECONDS = 0.02
"""Pause after a report with ended runs, so that several ends share one report."""
BATCH_DELAY_PER_RUN_SECONDS = 0.0005
"""The same for each run that the report lists, if that is longer: a report takes time in proportion
to them. Five times as long as it takes, so that the ends of many runs leave time for commands."""
DURABLE_WAIT_SECONDS = 0.4
"""After this the next renewal is sent even if ends are not durable yet, to keep the leases."""
RETRY_SECONDS = 0.1
"""Twice the longest network round trip."""
MAX_POLL_BACKOFF = 8
"""While commands are withheld a worker is polled without a lease, in the end once in this many
`RETRY_SECONDS`: often enough to be in touch."""
START_CHECK_SECONDS = 0.1
"""A suspected run is looked for this long after its start: ten times as long as a task takes that
crashes its worker, and short enough that few workers crash meanwhile for another reason."""
STORED_START_WAIT_SECONDS = 0.5
"""A suspected start waits this long until it is stored, and is then sent all the same: while the
table is away, its task would stand still. Ten of the longest network round trips."""
PACE_RETRY_MS = 10_000
"""For this long a pace is repeated; a run that is over may be refused any. Longer than a worker
refuses commands as unhealthy before other work is sent elsewhere."""
COMMAND_TIMEOUT_SECONDS = 0.8
"""Under a quarter of a lease, so that a lost command is noticed well before its lease expires."""


def compute_batch_delay(listed_runs: int) -> float:
    """Return the pause, in seconds, after a report with ended runs and this many others."""
    return max(BATCH_DELAY_SECONDS, listed_runs * BATCH_DELAY_PER_RUN_SECONDS)


class WorkerLink:
    """Renews the leases and sends the commands for one life of a worker until cancelled.

    Each client that `create_client` returns has a higher fencing token than the one before it. A
    worker that has fallen silent may have restarted, and commands that it has not answered may
    still arrive. So it is contacted with a new client, after which they have no effect.
    """

    def __init__(
        self,
        listed: ListedWorker,
        create_client: Callable[[], PoolWorker],
        epoch: Epoch,
        get_lease_ms: Callable[[], int],
        writer: RecordWriter,
        handle_event: Callable[[PoolEvent], None],
        may_command: Callable[[], bool] = lambda: True,
        is_leaving: Callable[[], bool] = lambda: False,
        may_start: Callable[[], bool] = lambda: True,
        report_times: ReportTimes = ignore_times,
        extra_slots: ExtraSlots | None = None,
    ) -> None:
        self._may_command = may_command
        self._is_leaving = is_leaving
        self._may_start = may_start
        self._report_times = report_times
        self._listed = listed
        self._create_client = create_client
        self._client = create_client()
        self._epoch = epoch
        self._get_lease_ms = get_lease_ms
        self._writer = writer
        self._handle_event = handle_event
        self._clock = WorkerClock()
        self._unacknowledged_number = 0
        """Number up to which the next renewal acknowledges ends; 0 for none."""
        self._slots = CommandSlots(extra_slots)
        self._late_stops = LateStops(listed.worker)
        self._commands: dict[tuple[TaskKey, RunNumber], asyncio.Task[None]] = {}
        self._unsent_starts: dict[tuple[TaskKey, RunNumber], StartRun] = {}
        self._stopping: set[tuple[TaskKey, RunNumber]] = set()
        """Runs with a stop that is in progress: waiting, in flight or about to be repeated."""
        self._paces: dict[tuple[TaskKey, RunNumber], tuple[PaceRun, Instant]] = {}
        """The paces that are not answered yet, and when they were decided."""
        self._group: asyncio.TaskGroup | None = None
        self._early: list[Callable[[], None]] = []
        """Commands for a link that has been created but does not run yet."""
        self._report_count = 0
        self._withheld_polls = 0
        """Number of renewals in a row for which commands, or a lease, were withheld."""
        self._is_closed = False
        self._is_silent = False
        self._is_superseded = False
        self._answered_life: Life | None = None
        """Another life of the worker that has answered last."""

    async def run(self) -> None:
        """Renew leases and handle reports until cancelled; raises `Deposed`."""
        try:
            async with asyncio.TaskGroup() as group:
                self._group = group
                for send in self._early:
                    send()
                while await self._renew():
                    pass
        finally:
            self._group = None
            self._is_closed = True
            self._client.close()

    async def _renew(self) -> bool:
        """Renew once; raises `Deposed`. Always returns true, so that `run` continues."""
        wait_ms = RENEWAL_LONG_POLL_MS
        sent_at = read_instant()
        # A silent worker may still receive messages, so each grant would postpone the time at which
        # its leases are known to have expired. It is polled without a lease until it answers.
        lease = None if self._is_silent or self._is_superseded else self._grant_lease(sent_at)
        if lease is None:
            wait_ms = 0
        # Whether a lease could be granted if the worker answered.
        may_grant = not self._report_count or self._is_silent or self._get_lease_ms() > 0
        if self._may_command() and may_grant:
            self._withheld_polls = 0
        else:
            await asyncio.sleep(RETRY_SECONDS * min(2**self._withheld_polls, MAX_POLL_BACKOFF))
            self._withheld_polls += 1
        timeout = wait_ms / MS_PER_SECOND + RENEWAL_TIMEOUT_SECONDS
        try:
            # Another life of the worker restarts the numbering of its ends and would drop ends that
            # were never reported. So a number is sent once, to a worker that has just answered.
            number, self._unacknowledged_number = self._unacknowledged_number, 0
            report = await self._client.renew(number, lease, wait_ms, timeout)
        except OtherLife as error:
            self._note_other_life(error.life)
            if not self._is_superseded:
                self._is_superseded = True
                log_event(
                    Event.WORKER_RESTARTED, worker=self._listed.worker, life=self._listed.life
                )
            await asyncio.sleep(RETRY_SECONDS)
            return True
        except RefusedByFence as error:
            raise Deposed(str(error)) from error
        except Exception as error:
            report_unexpected("worker link", error)
            if not self._is_silent:
                self._is_silent = True
                self._replace_client()
                log_event(Event.WORKER_SILENT, worker=self._listed.worker, error=str(error))
            await asyncio.sleep(RETRY_SECONDS)
            return True
        if self._is_silent:
            self._is_silent = False
            log_event(Event.WORKER_RESPONDING, worker=self._listed.worker)
        self._clock.observe(report.clock, read_instant())
        self._report_count += 1
        self._handle_event(WorkerReported(self._listed.worker, self._listed.life, report, sent_at))
        if report.ended:
            # An end is acknowledged only once all records that it causes are durable.
            highest = max(each.number for each in report.ended)
            queued = self._writer.queued_count
            await asyncio.sleep(compute_batch_delay(len(report.running)))
            if not await self._writer.wait_durable(queued, DURABLE_WAIT_SECONDS):
                return True
            self._unacknowledged_number = highest
        return True

    def _note_other_life(self, life: Life | None) -> None:
        if life is not None and life != self._answered_life:
            self._answered_life = life
            self._handle_event(OtherLifeAnswered(self._listed.worker, self._listed.life, life))

    def _replace_client(self) -> None:
        self._client.close()
        self._client = self._create_client()

    def _grant_lease(self, now: Instant) -> WorkerTime | None:
        lease = self._clock.make_lease(now, self._get_lease_ms())
        if lease is None or not self._may_command():
            return None
        self._handle_event(LeaseSent(self._listed.worker, self._listed.life, lease[1]))
        return lease[0]

    def send_start(self, effect: StartRun) -> None:
        """Start a run; retried until the worker's answer is known.

        A suspected start waits for the records that were queued before it, so that a later leader
        knows of it, but not for a table that is away.
        """
        self._unsent_starts[(effect.task, effect.run)] = effect
        queued, now = self._writer.queued_count, read_instant()
        self._run_or_postpone(
            lambda: self._spawn((effect.task, effect.run), self._start(effect, queued, now))
        )

    def withdraw_starts(self) -> None:
        """Answer the starts that were not sent yet with `NOT_SENT`, and never send them."""
        for effect in list(self._unsent_starts.values()):
            self._withdraw_start(effect)

    def _withdraw_start(self, effect: StartRun) -> None:
        self.cancel_start(effect.task, effect.run)
        # The answer is an event of its own, since an event may be in progress here.
        self._run_or_postpone(lambda: self._spawn((effect.task, effect.run), self._refuse(effect)))

    async def _refuse(self, effect: StartRun) -> None:
        self._answer_start(effect, StartAnswer.NOT_SENT)

    def send_stop(self, effect: StopRun) -> bool:
        """Stop a run; retried until the worker answers. Return whether this needs a new command.

        A stop in progress keeps its turn. A start that was not sent yet is withdrawn, which needs
        no command, and one in flight is cancelled first.
        """
        key = (effect.task, effect.run)
        if key in self._stopping:
            return False
        start = self._unsent_starts.get(key)
        if start is not None:
            self._withdraw_start(start)
            return True
        self.cancel_start(*key)
        self._stopping.add(key)
        now = read_instant()
        self._run_or_postpone(lambda: self._spawn(key, self._stop(effect, now)))
        return True

    def send_pace(self, effect: PaceRun) -> None:
        """Set a run's pace in percent; retried for `PACE_RETRY_MS`, or until another one is set.

        The last pace counts: it replaces one that waits, and follows one that is in flight.
        """
        if self._group is None:
            return
        key = (effect.task, effect.run)
        is_in_progress = key in self._paces
        self._paces[key] = (effect, read_instant())
        if not is_in_progress:
            self._group.create_task(self._send_paces(key))

    async def _send_paces(self, key: tuple[TaskKey, RunNumber]) -> None:
        done = None
        while (wanted := self._paces[key]) is not done:
            effect, decided_at = wanted
            if await self._try_pace(effect, decided_at) or read_instant() >= (
                decided_at + PACE_RETRY_MS
            ):
                done = wanted
            else:
                await asyncio.sleep(RETRY_SECONDS)
        del self._paces[key]

    async def _try_pace(self, effect: PaceRun, decided_at: Instant) -> bool:
        """Send a pace; return whether the worker has answered."""
        if self._is_silent or not self._may_command():
            return False
        client = self._client
        try:
            async with self._slots.reserve():
                if self._paces[(effect.task, effect.run)][0] is not effect:
                    return False
                client = self._client
                sent_at = read_instant()
                await client.pace(effect.task, effect.run, effect.percent, COMMAND_TIMEOUT_SECONDS)
            self._note_times(CommandKind.PACE, decided_at, sent_at)
        except OtherLife:
            return True
        except Exception as error:
            self._raise_if_deposed(error, client)
            log_unanswered(Event.PACE_UNANSWERED, effect, error)
            return False
        return True

    def cancel_start(self, task: TaskKey, run: RunNumber) -> None:
        """Cancel the command in flight for a run that is treated as ended; no start is resent."""
        self._unsent_starts.pop((task, run), None)
        self._stopping.discard((task, run))
        command = self._commands.get((task, run))
        if command is not None:
            command.cancel()

    def _run_or_postpone(self, send: Callable[[], None]) -> None:
        if self._group is not None:
            send()
        elif not self._is_closed:
            self._early.append(send)

    def _spawn(self, key: tuple[TaskKey, RunNumber], command: Coroutine[None, None, None]) -> None:
        assert self._group is not None
        task = self._group.create_task(command)
        self._commands[key] = task
        task.add_done_callback(lambda done: self._discard_command(key, done))

    def _discard_command(self, key: tuple[TaskKey, RunNumber], done: asyncio.Task[None]) -> None:
        if self._commands.get(key) is done:
            del self._commands[key]
            self._stopping.discard(key)

    async def _start(self, effect: StartRun, queued: int, decided_at: Instant) -> None:
        if (effect.task, effect.run) not in self._unsent_starts:
            return
        if effect.is_suspected:
            await self._writer.wait_durable(queued, STORED_START_WAIT_SECONDS)
        if effect.is_suspected and await self._ask_for_report(effect) is None:
            # The start was not sent, so it is not to blame for what has become of the worker.
            self._answer_start(effect, StartAnswer.UNHEALTHY)
            return
        is_unclear = False
        while True:
            if not self._may_command() or (is_unclear and self._is_silent):
                # A start sent to a silent worker would extend a lease that is meant to expire.
                await asyncio.sleep(RETRY_SECONDS)
                continue
            async with self._slots.reserve():
                sent_at = read_instant()
                may_start = self._may_start()
                answer = await self._try_start(effect, is_unclear) if may_start else None
            if not may_start:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if answer is None:
                is_unclear = True
                await asyncio.sleep(RETRY_SECONDS)
                continue
            break
        if is_unclear and answer is not StartAnswer.STARTED:
            # An earlier command may have been executed, or may still be. A stop covers both cases,
            # and the next report tells how the run ended.
            self._stopping.add((effect.task, effect.run))
            await self._stop(effect, read_instant())
            return
        if answer is not StartAnswer.NOT_SENT:
            self._note_times(CommandKind.START, decided_at, sent_at)
        self._answer_start(effect, answer)
        if effect.is_suspected and answer is StartAnswer.STARTED:
            await self._check_start(effect)

    def _answer_start(self, effect: StartRun, answer: StartAnswer) -> None:
        self._unsent_starts.pop((effect.task, effect.run), None)
        self._handle_event(
            StartAnswered(effect.worker, effect.life, effect.task, effect.run, answer)
        )

    async def _check_start(self, effect: StartRun) -> None:
        """Handle a report soon after a start, without waiting for the renewal in flight."""
        await asyncio.sleep(START_CHECK_SECONDS)
        sent_at, report_count = read_instant(), self._report_count
        report = await self._ask_for_report(effect)
        # Answers may overtake each other. An older report would bring back runs that have ended.
        if report is not None and report_count == self._report_count:
            self._handle_event(WorkerReported(effect.worker, effect.life, report, sent_at))

    async def _ask_for_report(self, effect: StartRun) -> WorkerReport | None:
        """Return a report that acknowledges and extends nothing; `None` without an answer."""
        client = self._client
        try:
            return await client.renew(0, None, 0, RENEWAL_TIMEOUT_SECONDS)
        except Exception as error:
            self._raise_if_deposed(error, client)
            log_unanswered(Event.START_NOT_CHECKED, effect, error)
            return None

    async def _try_start(self, effect: StartRun, is_repeated: bool) -> StartAnswer | None:
        """Return the worker's answer, or `None` if the command may have been executed."""
        if effect.ticket_until is not None and read_instant() >= effect.ticket_until:
            return await self._answer_expired(effect, is_repeated)
        if self._is_leaving():
            return await self._find_answer(effect) if is_repeated else StartAnswer.NOT_SENT
        # From here on a stop is sent too, even one that is decided while the lease is granted.
        self._unsent_starts.pop((effect.task, effect.run), None)
        lease = None if self._is_superseded else self._grant_lease(read_instant())
        if lease is None:
            return StartAnswer.UNHEALTHY
        client = self._client
        try:
            answer = await client.start(
                effect.task,
                effect.run,
                effect.text,
                effect.checkpoint,
                effect.ticket,
                lease,
                COMMAND_TIMEOUT_SECONDS,
            )
        except OtherLife:
            return StartAnswer.OTHER_LIFE
        except asyncio.CancelledError:
            self._report_unanswered(effect)
            raise
        except Exception as error:
            self._raise_if_deposed(error, client)
            self._report_unanswered(effect)
            log_unanswered(Event.START_UNANSWERED, effect, error)
            return None
        return answer

    async def _answer_expired(self, effect: StartRun, is_repeated: bool) -> StartAnswer | None:
        """Answer a start whose ticket has expired; an earlier command may have started the run."""
        log_event(
            Event.COMMAND_EXPIRED,
            worker=effect.worker,
            task=format_task(effect.task),
            run=effect.run,
            repeated=is_repeated,
        )
        return await self._find_answer(effect) if is_repeated else StartAnswer.NO_PERMISSION

    async def _find_answer(self, effect: StartRun) -> StartAnswer | None:
        """Return whether an earlier command has started the run; `None` if that is not known.

        `NOT_SENT` means that the run has not begun yet, although a late command may still begin it.
        """
        report = await self._ask_for_report(effect)
        if report is None:
            return None
        listed = {(each.task, each.run) for each in report.running}
        listed |= {(each.task, each.run) for each in report.ended}
        is_started = (effect.task, effect.run) in listed
        if not is_started and not report.is_complete:
            return None
        return StartAnswer.STARTED if is_started else StartAnswer.NOT_SENT

    def _raise_if_deposed(self, error: Exception, client: PoolWorker) -> None:
        """Raise `Deposed` if a command was refused although its token was the newest one here."""
        report_unexpected("worker link", error)
        if isinstance(error, RefusedByFence) and client is self._client:
            raise Deposed(str(error)) from error

    def _report_unanswered(self, effect: StartRun) -> None:
        self._handle_event(StartUnanswered(effect.worker, effect.life, effect.task, effect.run))

    def _note_times(self, kind: CommandKind, decided_at: Instant, sent_at: Instant) -> None:
        times = CommandTimes(kind, decided_at, sent_at, read_instant())
        self._report_times(times)
        slots = self._slots.count_for_stops(times.answered_at)
        self._late_stops.note(times, self._slots.waiting_stops, slots)

    async def _stop(self, effect: StopRun | StartRun, decided_at: Instant) -> None:
        while True:
            if not self._may_command():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            try:
                async with self._slots.reserve_for_stop():
                    client = self._client
                    sent_at = read_instant()
                    await client.stop(effect.task, effect.run, COMMAND_TIMEOUT_SECONDS)
                self._note_times(CommandKind.STOP, decided_at, sent_at)
                break
            except OtherLife:
                break
            except Exception as error:
                self._raise_if_deposed(error, client)
                log_unanswered(Event.STOP_UNANSWERED, effect, error)
                await asyncio.sleep(RETRY_SECONDS)
        self._handle_event(StopAnswered(effect.worker, effect.life, effect.task, effect.run))

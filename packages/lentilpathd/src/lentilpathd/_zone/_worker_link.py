"""The leader's link to one worker: lease renewals, reports and commands."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lentilpath_core.errors import LentilpathError, OutcomeUnknown, WorkerUnavailable
from lentilpath_core.ids import Instant, TaskId, WorkerId, WorkerTime
from lentilpath_core.placement import StopMode
from lentilpath_core.settings import WorkerLeaseSettings
from lentilpath_core.workloads import JobSpec, WorkloadKind
from lentilpath_core.zone.control import (
    ControlEvent,
    RenewalSending,
    SendStart,
    SendStop,
    StartAnswered,
    WorkerSynced,
)
from lentilpath_core.zone.reports import StartAnswer, WorkerReport
from lentilpathd._authority import NO_UNCONFIRMED_START
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._ports import StartCommand, SyncCommand, Worker
from lentilpathd._zone._term import Term

ANSWER_MARGIN_SECONDS = 1.5
"""Timeout of a call to a worker, in addition to the time for which the worker may delay it."""
RETRY_SECONDS = 0.3
STOP_GRACE_MS = 5_000
MIN_CLOCK_RATE_PERCENT = 98
"""Slowest assumed rate of a worker's clock relative to the clock of this process."""

ReportEvent = Callable[[ControlEvent], None]


class WorkerLink:
    """Renews the leases of one worker's attempts and sends commands to it."""

    def __init__(
        self,
        worker_id: WorkerId,
        worker: Worker,
        term: Term,
        leases: WorkerLeaseSettings,
        report_event: ReportEvent,
    ) -> None:
        self.worker_id = worker_id
        self._worker = worker
        self._term = term
        self._leases = leases
        self._report_event = report_event
        self._sequence = 0
        self._next_full_report_at = Instant(0)
        self._worker_clock: tuple[WorkerTime, Instant] | None = None
        self._attempts_to_forget: set[tuple[TaskId, int]] = set()
        self._commands: set[asyncio.Task[None]] = set()
        self._unconfirmed_starts: dict[tuple[TaskId, int], Instant] = {}

    async def run(self) -> None:
        """Synchronise with the worker repeatedly until cancelled."""
        try:
            while True:
                try:
                    await self._sync()
                except LentilpathError:
                    # The next sync renews no lease. The worker may be gone, and each renewal that
                    # it might have received would delay the time when its leases have expired and
                    # it can be declared lost.
                    self._worker_clock = None
                    self._sequence = 0
                    await asyncio.sleep(RETRY_SECONDS)
        finally:
            for command in tuple(self._commands):
                command.cancel()
            self._worker.close()

    def forget(self, task: TaskId, attempt: int) -> None:
        """Let the worker discard the record of an ended attempt with the next sync."""
        self._attempts_to_forget.add((task, attempt))

    def ask_for_all_tasks(self) -> None:
        """Request a complete report with the next sync."""
        self._sequence = 0

    def send_start(self, start: SendStart, spec: JobSpec) -> None:
        """Send a start command; its result is reported as a `StartAnswered` event."""
        self._spawn(self._start(start, spec))

    def send_stop(self, stop: SendStop) -> None:
        """Send a stop command; the worker's next report shows its result."""
        self._spawn(self._stop(stop))

    async def wait_for_commands(self) -> None:
        """Wait until all commands in progress are answered or have failed."""
        if self._commands:
            await asyncio.wait(tuple(self._commands))

    def get_commands_end(self) -> Instant:
        """Return the latest time at which an unconfirmed start may take effect; 0 for none."""
        return max(self._unconfirmed_starts.values(), default=NO_UNCONFIRMED_START)

    async def _sync(self) -> None:
        now = read_instant()
        deadline = self._term.get_command_deadline(now)
        if deadline is None:
            await asyncio.sleep(RETRY_SECONDS)
            return
        not_after = self._compute_not_after(deadline) if self._has_answered_recently(now) else None
        if not_after is not None:
            self._report_event(RenewalSending(self.worker_id, deadline))
        if now >= self._next_full_report_at:
            self._sequence = 0
            self._next_full_report_at = Instant(now + self._leases.full_report_every_ms)
        forgetting = tuple(sorted(self._attempts_to_forget))
        # The first sync asks for an immediate answer, because leases can be renewed only after
        # the worker's clock is known.
        wait_ms = self._leases.sync_wait_ms if not_after is not None else 0
        command = SyncCommand(
            since=self._sequence,
            wait_ms=0 if self._sequence == 0 else wait_ms,
            renew_ms=self._leases.lease_ms if not_after is not None else 0,
            not_after=not_after or WorkerTime(0),
            forget=forgetting,
        )
        asked_for_all = self._sequence == 0
        timeout = wait_ms / MS_PER_SECOND + ANSWER_MARGIN_SECONDS
        report = await self._worker.sync(command, timeout)
        self._handle_report(report, now, asked_for_all)
        self._attempts_to_forget.difference_update(forgetting)

    def _handle_report(self, report: WorkerReport, sent_at: Instant, asked_for_all: bool) -> None:
        self._worker_clock = (report.clock, read_instant())
        full_report_requested = not asked_for_all and self._sequence == 0
        if not full_report_requested:
            self._sequence = report.sequence
        self._report_event(WorkerSynced(self.worker_id, sent_at, report))

    def _has_answered_recently(self, now: Instant) -> bool:
        # Each renewal that is sent may arrive, so it extends the time until the worker's leases
        # are certain to have expired. If a silent worker were sent renewals repeatedly, a dead one
        # would never be declared lost.
        if self._worker_clock is None:
            return False
        return now - self._worker_clock[1] <= self._leases.silent_after_ms

    def _compute_not_after(self, deadline: Instant) -> WorkerTime | None:
        # The worker read its clock before its report arrived here. Counting from the arrival can
        # therefore make the bound only earlier than `deadline`, never later.
        if self._worker_clock is None:
            return None
        clock, read_at = self._worker_clock
        return WorkerTime(clock + (deadline - read_at) * MIN_CLOCK_RATE_PERCENT // 100)

    def _spawn(self, command: object) -> None:
        assert asyncio.iscoroutine(command)
        task = asyncio.get_running_loop().create_task(command)
        self._commands.add(task)
        task.add_done_callback(self._commands.discard)

    async def _start(self, start: SendStart, spec: JobSpec) -> None:
        now = read_instant()
        deadline = self._term.get_command_deadline(now)
        not_after = self._compute_not_after(deadline) if deadline is not None else None
        if deadline is None or not_after is None:
            self._report_start_answer(start, StartAnswer.UNREACHED, now)
            return
        self._report_event(RenewalSending(self.worker_id, deadline))
        self._record_unconfirmed_start(start, now, deadline)
        command = StartCommand(
            task=start.task,
            attempt=start.attempt,
            resources=start.room or spec.resources,
            run_ms=0 if spec.kind is WorkloadKind.SERVICE else spec.run_ms,
            parameters=(("kind", spec.kind.value), *spec.parameters),
            lease_ms=self._leases.lease_ms,
            not_after=not_after,
        )
        try:
            answer = await self._worker.start(command, ANSWER_MARGIN_SECONDS)
        except WorkerUnavailable:
            answer = StartAnswer.UNREACHED
        except OutcomeUnknown:
            answer = StartAnswer.UNCLEAR
        if answer is not StartAnswer.UNCLEAR:
            self._unconfirmed_starts.pop((start.task, start.attempt), None)
        self._report_start_answer(start, answer, deadline)

    def _record_unconfirmed_start(self, start: SendStart, now: Instant, deadline: Instant) -> None:
        self._unconfirmed_starts = {
            key: end for key, end in self._unconfirmed_starts.items() if end > now
        }
        self._unconfirmed_starts[(start.task, start.attempt)] = deadline

    def _report_start_answer(
        self, start: SendStart, answer: StartAnswer, deadline: Instant
    ) -> None:
        self._report_event(
            StartAnswered(self.worker_id, start.task, start.attempt, answer, deadline)
        )

    async def _stop(self, stop: SendStop) -> None:
        deadline = self._term.get_command_deadline(read_instant())
        not_after = self._compute_not_after(deadline) if deadline is not None else None
        if not_after is None:
            return
        try:
            await self._send_stop(stop, not_after)
        except LentilpathError:
            # Request a complete report. If it shows that the attempt still runs, the controller
            # stops it again.
            self._sequence = 0

    async def _send_stop(self, stop: SendStop, not_after: WorkerTime) -> None:
        if stop.mode is StopMode.CHECKPOINT:
            await self._worker.checkpoint(stop.task, stop.attempt, not_after, ANSWER_MARGIN_SECONDS)
        elif stop.mode is StopMode.THROTTLE:
            await self._worker.throttle(
                stop.task, stop.attempt, stop.millicores, not_after, ANSWER_MARGIN_SECONDS
            )
        else:
            await self._worker.stop(
                stop.task, stop.attempt, STOP_GRACE_MS, not_after, ANSWER_MARGIN_SECONDS
            )

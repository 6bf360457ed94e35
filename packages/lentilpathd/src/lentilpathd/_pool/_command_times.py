"""Measures how long commands to a worker wait and are in flight, and logs stops that come late."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lentilpath_core.ids import Instant, WorkerId
from lentilpathd._events import Event, log_event

LATE_STOP_MS = 1_000
"""A third of the shortest time in which the runs of a cancelled job have to be gone."""
LOG_INTERVAL_MS = 1_000
"""A worker with many late stops is named once a second; the last of them are named at once."""


class CommandKind(Enum):
    """What a worker is told to do with a run."""

    START = "start"
    STOP = "stop"
    PACE = "pace"


@dataclass(frozen=True, slots=True)
class CommandTimes:
    """When a command was decided, sent for the last time, and answered."""

    kind: CommandKind
    decided_at: Instant
    sent_at: Instant
    answered_at: Instant

    @property
    def queued_ms(self) -> int:
        """Time from the decision until the command was sent."""
        return self.sent_at - self.decided_at

    @property
    def answer_ms(self) -> int:
        """Time from sending the command until its answer was read."""
        return self.answered_at - self.sent_at

    @property
    def decided_ms(self) -> int:
        """Time from the decision to the answer."""
        return self.answered_at - self.decided_at


ReportTimes = Callable[[CommandTimes], None]


def ignore_times(times: CommandTimes) -> None:
    """Report the times of a command to nobody."""


class LateStops:
    """Logs the stops of one worker that are answered late, at most once in `LOG_INTERVAL_MS`."""

    def __init__(self, worker: WorkerId) -> None:
        self._worker = worker
        self._late: list[CommandTimes] = []
        self._logged_at: Instant | None = None

    def note(self, times: CommandTimes, waiting: int, slots: int) -> None:
        """Note an answered command; `waiting` stops wait for one of `slots` now."""
        if times.kind is not CommandKind.STOP or times.decided_ms < LATE_STOP_MS:
            return
        self._late.append(times)
        now = times.answered_at
        if self._logged_at is not None and now < self._logged_at + LOG_INTERVAL_MS and waiting:
            return
        self._logged_at = now
        log_event(
            Event.STOPS_LATE,
            worker=self._worker,
            count=len(self._late),
            decided_ms=max(each.decided_ms for each in self._late),
            queued_ms=max(each.queued_ms for each in self._late),
            answer_ms=max(each.answer_ms for each in self._late),
            waiting=waiting,
            slots=slots,
        )
        self._late.clear()

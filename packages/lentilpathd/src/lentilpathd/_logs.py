"""Structured logs: rate-limited JSON lines, written to standard output without blocking."""

from __future__ import annotations

import logging as python_logging
import os
import sys
import threading
from collections import Counter, deque
from typing import IO

from absl import logging
from pythonjsonlogger.json import JsonFormatter

from lentilpathd._events import Event, EventLine

MAX_QUEUED_LINES = 20_000
"""Lines queued while nothing reads the output; about 5 MB, a sixtieth of a host's memory."""
WRITE_INTERVAL_SECONDS = 0.1
INFO_LINES_PER_SECOND = 200
"""Limit for each event; twice the rate of task starts by a leader with a full fleet."""
WARNING_LINES_PER_SECOND = 400
"""Limit for each event; higher, so that fewer refusals and faults than successes are lost."""


class EventFormatter(JsonFormatter):
    """Formats a record as one JSON line with the event's number, text and fields."""

    def __init__(self) -> None:
        super().__init__()
        self.host = ""
        """Name written into each line, so that logs of several hosts can be merged."""

    def add_fields(
        self,
        log_data: dict[str, object],
        record: python_logging.LogRecord,
        message_dict: dict[str, object],
    ) -> None:
        """Fill in the fields of the line; called by the formatter library."""
        log_data["at"] = round(record.created, 4)
        log_data["level"] = record.levelname
        log_data["host"] = self.host
        line = record.args[0] if isinstance(record.args, tuple) and record.args else None
        if not isinstance(line, EventLine):
            log_data["text"] = record.getMessage()
            return
        log_data["event"] = line.event.number
        log_data["text"] = line.event.text
        log_data.update(line.fields)


class EventRateLimiter:
    """Limits the lines of each event in each second and counts the suppressed ones."""

    def __init__(self) -> None:
        self._second = 0
        self._written: Counter[int] = Counter()
        self._suppressed: Counter[int] = Counter()

    def allow(self, event: int, is_warning: bool, second: int) -> bool:
        """Return whether a line of this event may be written in this second."""
        if second != self._second:
            self._second = second
            self._written.clear()
        limit = WARNING_LINES_PER_SECOND if is_warning else INFO_LINES_PER_SECOND
        self._written[event] += 1
        if self._written[event] > limit:
            self._suppressed[event] += 1
            return False
        return True

    def record_suppressed(self, event: int) -> None:
        """Count a line that was dropped because the queue is full."""
        self._suppressed[event] += 1

    def pop_suppressed(self, second: int) -> dict[str, int]:
        """Return the numbers of lines suppressed in earlier seconds by event, and reset them."""
        if not self._suppressed or second == self._second:
            return {}
        counts = {f"LP{event:03d}": count for event, count in self._suppressed.items()}
        self._suppressed.clear()
        return counts


class BoundedHandler(python_logging.Handler):
    """Writes lines from a thread, so that a blocked output stream does not block the process."""

    def __init__(self, stream: IO[str]) -> None:
        super().__init__()
        self._descriptor = stream.fileno()
        self._lines: deque[str] = deque()
        self._limiter = EventRateLimiter()
        self._lines_queued = threading.Event()
        self._thread = threading.Thread(target=self._write_forever, daemon=True, name="log")
        self._thread.start()

    def emit(self, record: python_logging.LogRecord) -> None:
        """Queue one record if the rate limit allows it; called by the logging library."""
        second = int(record.created)
        event = _get_event_number(record)
        suppressed = self._limiter.pop_suppressed(second)
        if suppressed:
            self._append(self._make_summary(suppressed), Event.LINES_SUPPRESSED.number)
        if self._limiter.allow(event, record.levelno >= python_logging.WARNING, second):
            self._append(self.format(record), event)

    def _append(self, line: str, event: int) -> None:
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._limiter.record_suppressed(event)
            return
        self._lines.append(line)
        self._lines_queued.set()

    def _make_summary(self, suppressed: dict[str, int]) -> str:
        line = EventLine(Event.LINES_SUPPRESSED, {"counts": suppressed})
        record = python_logging.LogRecord(
            "absl", python_logging.WARNING, "", 0, "%s", (line,), None
        )
        return self.format(record)

    def _write_forever(self) -> None:
        while True:
            self._lines_queued.wait()
            self._lines_queued.clear()
            self.write_queued()
            threading.Event().wait(WRITE_INTERVAL_SECONDS)

    def write_queued(self) -> None:
        """Write all queued lines; blocks while the output stream does."""
        count = len(self._lines)
        data = "".join(self._lines.popleft() + "\n" for _ in range(count)).encode()
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except OSError:
                # The output stream is closed, and there is no other place to report it.
                return


def _get_event_number(record: python_logging.LogRecord) -> int:
    line = record.args[0] if isinstance(record.args, tuple) and record.args else None
    return line.event.number if isinstance(line, EventLine) else 0


def set_up_structured_log(
    host: str = "", stream: IO[str] | None = None, level: str = "info"
) -> BoundedHandler:
    """Log all events as JSON lines of `host` to `stream`, by default to standard output.

    Warnings of libraries take the same way, since Python's own handler blocks and has no limit.
    """
    handler = BoundedHandler(stream or sys.stdout)
    formatter = EventFormatter()
    formatter.host = host
    handler.setFormatter(formatter)
    logger = logging.get_absl_logger()
    logger.propagate = False
    logger.handlers = [handler]
    python_logging.getLogger().addHandler(handler)
    logging.set_verbosity(level)
    return handler

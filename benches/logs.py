"""Measures the processor time of a structured log line, written or dropped by the rate limit."""

from __future__ import annotations

import logging
import os
import time

from lentilpathd._events import Event, EventLine
from lentilpathd._logs import INFO_LINES_PER_SECOND, BoundedHandler, EventFormatter

SIMULATED_SECONDS = 200
"""Seconds of log time to simulate; in each one as many lines are written as the limit allows."""
FIELDS = {
    "task": "00000000000000a1/0/1/17",
    "run": 1,
    "worker": "i-0123456789",
    "epoch": 3,
    "life": 1_790_738_420_805,
    "waited_ms": 121,
    "tier": 0,
    "resumed": False,
    "config": 12,
}


def main() -> None:
    """Print the processor time per line, in microseconds."""
    with open(os.devnull, "w") as sink:
        handler = BoundedHandler(sink)
        formatter = EventFormatter()
        formatter.host = "edge-1"
        handler.setFormatter(formatter)
        print(f"written: {_measure(handler, INFO_LINES_PER_SECOND, first=0):.1f} us per line")
        print(f"dropped: {_measure(handler, INFO_LINES_PER_SECOND, first=1):.1f} us per line")


def _measure(handler: BoundedHandler, lines: int, first: int) -> float:
    """Return microseconds per line; with `first` 1 all lines exceed the limit and are dropped."""
    cpu_seconds = 0.0
    for second in range(SIMULATED_SECONDS):
        created_at = float(second + 1 + first * SIMULATED_SECONDS)
        if first:
            _emit(handler, created_at, lines)
        started = time.process_time()
        _emit(handler, created_at, lines)
        cpu_seconds += time.process_time() - started
    return cpu_seconds / (SIMULATED_SECONDS * lines) * 1e6


def _emit(handler: BoundedHandler, created_at: float, lines: int) -> None:
    for _ in range(lines):
        line = EventLine(Event.RUN_STARTED, FIELDS)
        record = logging.LogRecord("absl", logging.INFO, "", 0, "%s", (line,), None)
        record.created = created_at
        handler.handle(record)


if __name__ == "__main__":
    main()

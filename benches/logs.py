"""What a line of the structured log costs: written, and left out by the bound on the volume."""

from __future__ import annotations

import logging
import os
import time

from lentilpathd._events import Event, EventLine
from lentilpathd._logs import INFO_LINES_PER_SECOND, BoundedHandler, EventFormatter

ROUNDS = 200
"""Seconds of log time that are played; the written lines are this many times the bound."""
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
        print(f"written: {_measure(handler, INFO_LINES_PER_SECOND, first=0):.1f} us a line")
        print(f"left out: {_measure(handler, INFO_LINES_PER_SECOND, first=1):.1f} us a line")


def _measure(handler: BoundedHandler, lines: int, first: int) -> float:
    """Return microseconds a line; with `first` 1 the bound of each second is used up before."""
    spent = 0.0
    for second in range(ROUNDS):
        at = float(second + 1 + first * ROUNDS)
        if first:
            _emit(handler, at, lines)
        begun = time.process_time()
        _emit(handler, at, lines)
        spent += time.process_time() - begun
    return spent / (ROUNDS * lines) * 1e6


def _emit(handler: BoundedHandler, at: float, lines: int) -> None:
    for _ in range(lines):
        line = EventLine(Event.RUN_STARTED, FIELDS)
        record = logging.LogRecord("absl", logging.INFO, "", 0, "%s", (line,), None)
        record.created = at
        handler.handle(record)


if __name__ == "__main__":
    main()

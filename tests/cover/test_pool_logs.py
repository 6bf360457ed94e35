"""The log suffices to trace a job by its id, has a bounded rate and never blocks the caller."""

from __future__ import annotations

import json
import logging
import os
import time

from absl import logging as absl_logging
from typer.testing import CliRunner

from lentilpath.main import app
from lentilpath_core.ids import Instant
from lentilpath_core.tracing import build_trace
from lentilpathd._events import Event, EventLine
from lentilpathd._logs import (
    INFO_LINES_PER_SECOND,
    MAX_QUEUED_LINES,
    WARNING_LINES_PER_SECOND,
    BoundedHandler,
    EventFormatter,
    set_up_structured_log,
)
from lentilpathd._pool._metrics import TEXT_AGE_MS, PoolMetrics

JOB = "00000000000000a1"


def make_record(event: Event, at: float, level: int = logging.INFO, **fields):
    record = logging.LogRecord("absl", level, "", 0, "%s", (EventLine(event, fields),), None)
    record.created = at
    return record


def make_handler(descriptor: int) -> BoundedHandler:
    stream = os.fdopen(descriptor, "w")
    handler = BoundedHandler(stream)
    formatter = EventFormatter()
    formatter.host = "h1"
    handler.setFormatter(formatter)
    handler.stream = stream  # type: ignore[attr-defined]
    return handler


def format_event(event: Event, at: float, **fields) -> str:
    formatter = EventFormatter()
    formatter.host = "h1"
    return formatter.format(make_record(event, at, **fields))


def test_a_line_has_the_events_number_its_host_and_its_fields():
    line = json.loads(format_event(Event.JOB_STORED, 12.5, job=JOB, queue="checks"))
    assert line == {
        "at": 12.5,
        "level": "INFO",
        "host": "h1",
        "event": 522,
        "text": Event.JOB_STORED.text,
        "job": JOB,
        "queue": "checks",
    }


def test_warnings_of_libraries_are_bounded_lines_of_the_same_log():
    """Guards against a crowd of callers whose errors block the process at its standard error."""
    read_end, write_end = os.pipe()
    absl_logger = absl_logging.get_absl_logger()
    before = (absl_logger.handlers, absl_logger.propagate, absl_logger.level)
    verbosity = absl_logging.get_verbosity()
    stream = os.fdopen(write_end, "w")
    handler = set_up_structured_log("h1", stream)
    record = logging.LogRecord("asyncio", logging.WARNING, "", 0, "accept failed", None, None)
    record.created = 5.0
    try:
        for _ in range(3 * WARNING_LINES_PER_SECOND):
            logging.getLogger("asyncio").handle(record)
    finally:
        logging.getLogger().removeHandler(handler)
        absl_logging.set_verbosity(verbosity)
        absl_logger.handlers, absl_logger.propagate, level = before
        absl_logger.setLevel(level)
    assert handler._limiter._suppressed[0] == 2 * WARNING_LINES_PER_SECOND
    data = b""
    while data.count(b"\n") < WARNING_LINES_PER_SECOND:
        data += os.read(read_end, 65_536)
    lines = [json.loads(line) for line in data.splitlines()]
    assert all((line["host"], line["text"]) == ("h1", "accept failed") for line in lines)
    assert len(lines) == WARNING_LINES_PER_SECOND
    stream.close()
    os.close(read_end)


def test_many_readers_of_the_metrics_share_one_text(monkeypatch):
    metrics = PoolMetrics()
    texts = iter((b"first", b"second"))
    monkeypatch.setattr(metrics, "write_text", lambda: next(texts))
    assert {metrics.get_text(Instant(now)) for now in range(TEXT_AGE_MS)} == {b"first"}
    assert metrics.get_text(Instant(TEXT_AGE_MS)) == b"second"


def test_a_stalled_log_reader_blocks_nothing_and_lines_left_out_are_counted():
    read_end, write_end = os.pipe()
    handler = make_handler(write_end)
    seconds = 2 * MAX_QUEUED_LINES // INFO_LINES_PER_SECOND
    for second in range(seconds):
        for _ in range(INFO_LINES_PER_SECOND):
            handler.emit(make_record(Event.RUN_STARTED, float(second), task="x" * 80))
    assert len(handler._lines) <= MAX_QUEUED_LINES
    assert handler._limiter._suppressed[Event.RUN_STARTED.number] > 0
    os.close(read_end)


def test_a_flood_of_one_event_is_bounded_and_does_not_hide_another():
    read_end, write_end = os.pipe()
    handler = make_handler(write_end)
    for number in range(1_000):
        handler.emit(make_record(Event.RUN_STARTED, 5.0, number=number))
        handler.emit(make_record(Event.JOB_NOT_STORED, 5.1, logging.WARNING, number=number))
    handler.emit(make_record(Event.JOB_ENDED, 5.2))
    handler.emit(make_record(Event.JOB_ENDED, 6.0))
    text = ""
    while Event.LINES_SUPPRESSED.text not in text or text.count(Event.JOB_ENDED.text) < 2:
        text += os.read(read_end, 1_000_000).decode()
    assert text.count(Event.RUN_STARTED.text) == INFO_LINES_PER_SECOND
    assert text.count(Event.JOB_NOT_STORED.text) == WARNING_LINES_PER_SECOND
    summary = next(line for line in text.splitlines() if Event.LINES_SUPPRESSED.text in line)
    assert json.loads(summary)["counts"] == {
        "LP525": 1_000 - INFO_LINES_PER_SECOND,
        "LP517": 1_000 - WARNING_LINES_PER_SECOND,
    }
    os.close(read_end)


def make_log() -> list[str]:
    task = f"{JOB}/0/0/0"
    start_time = time.time()
    return [
        format_event(Event.RUN_STARTED, start_time + 0.2, task=task, run=1, worker="w1"),
        format_event(Event.JOB_STORED, start_time, job=JOB, queue="checks"),
        "  18.2 edge-1 "
        + format_event(Event.JOB_SEEN_BY_LEADER, start_time + 0.1, job=JOB, epoch=3),
        format_event(
            Event.RUN_GIVEN_UP,
            start_time + 5.4,
            task=task,
            run=1,
            worker="w1",
            reason="lease-lapsed",
        ),
        format_event(Event.RUN_STARTED, start_time + 5.5, task=task, run=2, worker="w2"),
        format_event(Event.RUN_STARTED, start_time + 1.0, task="00000000000000b2/0/0/0", run=1),
        format_event(Event.RUN_ENDED, start_time + 6.0, task=task, run=2, end="done"),
        format_event(Event.JOB_ENDED, start_time + 6.1, job=JOB, state="completed"),
    ]


def test_a_trace_has_the_lines_of_one_job_in_order_and_points_out_gaps():
    trace = build_trace(make_log(), JOB)
    assert [line.event for line in trace.lines] == [522, 523, 525, 529, 525, 527, 524]
    assert trace.missing == ("nothing for 5.2 s after LP525",)


def test_a_trace_says_which_lines_are_missing():
    ended = f'"event": {Event.JOB_ENDED.number},'
    assert sum(ended in line for line in make_log()) == 1
    log = [line for line in make_log() if ended not in line]
    trace = build_trace([line for line in log if Event.JOB_STORED.text not in line], JOB)
    assert any("stored the job" in text for text in trace.missing)
    assert any("final state" in text for text in trace.missing)
    assert build_trace([], JOB).missing


def test_the_trace_command_reads_files_and_standard_input(tmp_path):
    log = tmp_path / "h1.log"
    log.write_text("\n".join(make_log()))
    from_file = CliRunner().invoke(app, ["trace", JOB, str(log)])
    from_input = CliRunner().invoke(app, ["trace", JOB], input=log.read_text())
    assert from_file.exit_code == 0
    assert from_file.output == from_input.output
    assert "reason=lease-lapsed" in from_file.output
    assert CliRunner().invoke(app, ["trace", "ffffffffffffffff", str(log)]).exit_code == 1
    assert CliRunner().invoke(app, ["trace", JOB, str(tmp_path / "none")]).exit_code == 2

"""The trace of one job or task, assembled from the log lines of several processes."""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

JOB_STORED_EVENT = 522
JOB_SEEN_EVENT = 523
JOB_ENDED_EVENT = 524
RUN_STARTED_EVENT = 525
RUN_ENDED_EVENT = 527
RUN_GIVEN_UP_EVENT = 529
_OMITTED_FIELDS = frozenset({"at", "level", "event", "text", "host", "job", "task", "run"})
MS_PER_SECOND = 1_000
MAX_GAP_SECONDS = 2.0
"""A longer gap between two lines of one job is reported."""


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One log line about the traced id."""

    at: float
    """Seconds since 1970, by the clock of the host that wrote the line."""
    host: str
    event: int
    text: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Trace:
    """All lines about an id in the order of their times, and descriptions of missing lines."""

    lines: tuple[TraceLine, ...]
    missing: tuple[str, ...]
    unreadable: int
    """Number of lines that are not valid JSON."""


def build_trace(log: Iterable[str], wanted_id: str) -> Trace:
    """Return the trace of a job (`JOB`) or of one task (`JOB/0/1/2`) from log lines.

    Text before the first brace of a line, such as the prefix of a log collector, is ignored. The
    trace of a task includes the lines about its job, but none about other tasks.
    """
    job = wanted_id.partition("/")[0]
    found: list[TraceLine] = []
    unreadable = 0
    for text in log:
        start = text.find("{")
        if start < 0 or job not in text:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            unreadable += 1
            continue
        if _matches_id(fields, job, wanted_id):
            found.append(_make_line(fields))
    found.sort(key=lambda line: line.at)
    return Trace(tuple(found), _list_missing(found), unreadable)


def _matches_id(fields: dict[str, Any], job: str, wanted_id: str) -> bool:
    task = fields.get("task")
    if isinstance(task, str):
        return task == wanted_id or (wanted_id == job and task.startswith(job + "/"))
    return fields.get("job") == job


def _make_line(fields: dict[str, Any]) -> TraceLine:
    return TraceLine(
        float(fields.get("at", 0.0)),
        str(fields.get("host", "")),
        int(fields.get("event", 0)),
        str(fields.get("text", "")),
        fields,
    )


def _list_missing(lines: list[TraceLine]) -> tuple[str, ...]:
    events = [line.event for line in lines]
    missing: list[str] = []
    if not lines:
        return ("no line mentions this id; check that the logs of all hosts were given",)
    if JOB_STORED_EVENT not in events:
        missing.append("no host logged that it stored the job: it was refused, or a log is missing")
    elif JOB_SEEN_EVENT not in events and RUN_STARTED_EVENT not in events:
        missing.append("no leader logged that it has seen the job or started a task")
    missing.extend(_list_open_runs(lines))
    if RUN_STARTED_EVENT in events and JOB_ENDED_EVENT not in events:
        missing.append("no line reports a final state of the job")
    for before, after in itertools.pairwise(lines):
        gap_seconds = after.at - before.at
        if gap_seconds > MAX_GAP_SECONDS:
            missing.append(f"nothing for {gap_seconds:.1f} s after LP{before.event:03d}")
    return tuple(missing)


def _list_open_runs(lines: list[TraceLine]) -> list[str]:
    started: dict[tuple[str, int], float] = {}
    for line in lines:
        key = (str(line.fields.get("task")), int(line.fields.get("run", 0)))
        if line.event == RUN_STARTED_EVENT:
            started[key] = line.at
        elif line.event in (RUN_ENDED_EVENT, RUN_GIVEN_UP_EVENT):
            started.pop(key, None)
    return [
        f"{task} run {run} has no end: the end is logged for another task of its gang, it was "
        "stopped, or its end was not stored"
        for task, run in started
    ]


def format_trace_line(line: TraceLine, first_at: float) -> str:
    """Return one line of a trace as readable text, with its time in ms after `first_at`."""
    ms = (line.at - first_at) * MS_PER_SECOND
    subject = line.fields.get("task") or line.fields.get("job") or ""
    run = f" run {line.fields['run']}" if "run" in line.fields else ""
    details = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in _OMITTED_FIELDS
    )
    return f"{ms:9.0f} ms  {line.host:24} LP{line.event:03d} {line.text}: {subject}{run} {details}"

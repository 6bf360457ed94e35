"""The life of one job or task, put together from the log lines of several processes."""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

STORED = 522
TAKEN = 523
JOB_ENDED = 524
STARTED = 525
RUN_ENDED = 527
GIVEN_UP = 529
_ID_FIELDS = ("job", "task")
_PLAIN_FIELDS = frozenset({"at", "level", "event", "text", "host", "job", "task", "run"})
MS_PER_SECOND = 1_000
MAX_GAP_SECONDS = 2.0
"""A longer silence between two lines of one job is pointed out."""


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One line of the log that speaks of the id."""

    at: float
    """Seconds since 1970 by the clock of the host that wrote it."""
    host: str
    event: int
    text: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Trace:
    """All lines of an id in the order of their times, and what the logs do not say."""

    lines: tuple[TraceLine, ...]
    missing: tuple[str, ...]
    unreadable: int
    """Lines that are no JSON objects."""


def trace_id(log: Iterable[str], wanted: str) -> Trace:
    """Return what the log lines say of a job (`JOB`) or of one task (`JOB/0/1/2`).

    Anything before the first brace of a line is left out, such as what a log collector adds. A
    task's trace has the lines of its job as well, and none of other tasks.
    """
    job = wanted.partition("/")[0]
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
        if _speaks_of(fields, job, wanted):
            found.append(_make_line(fields))
    found.sort(key=lambda line: line.at)
    return Trace(tuple(found), _list_missing(found), unreadable)


def _speaks_of(fields: dict[str, Any], job: str, wanted: str) -> bool:
    task = fields.get("task")
    if isinstance(task, str):
        return task == wanted or (wanted == job and task.startswith(job + "/"))
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
        return ("no line speaks of this id: were the logs of all hosts given?",)
    if STORED not in events:
        missing.append("no host says that it stored the job: it was refused, or its log is missing")
    elif TAKEN not in events and STARTED not in events:
        missing.append("no leader says that it has seen the job, nor that it started a task")
    missing.extend(_list_open_runs(lines))
    if STARTED in events and JOB_ENDED not in events:
        missing.append("no line gives the job a final state")
    for before, after in itertools.pairwise(lines):
        gap = after.at - before.at
        if gap > MAX_GAP_SECONDS:
            missing.append(f"nothing for {gap:.1f} s after LP{before.event:03d}")
    return tuple(missing)


def _list_open_runs(lines: list[TraceLine]) -> list[str]:
    started: dict[tuple[str, int], float] = {}
    for line in lines:
        key = (str(line.fields.get("task")), int(line.fields.get("run", 0)))
        if line.event == STARTED:
            started[key] = line.at
        elif line.event in (RUN_ENDED, GIVEN_UP):
            started.pop(key, None)
    return [
        f"{task} run {run} has no end: another member of its gang stands for it, it was stopped, "
        "or its end was not stored"
        for task, run in started
    ]


def format_line(line: TraceLine, begun_at: float) -> str:
    """Return one line of a trace for people, with its time in ms after `begun_at`."""
    ms = (line.at - begun_at) * MS_PER_SECOND
    subject = line.fields.get("task") or line.fields.get("job") or ""
    run = f" run {line.fields['run']}" if "run" in line.fields else ""
    rest = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in _PLAIN_FIELDS
    )
    return f"{ms:9.0f} ms  {line.host:24} LP{line.event:03d} {line.text}: {subject}{run} {rest}"

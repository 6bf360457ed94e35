"""Usage lines as rows of answers."""

from __future__ import annotations

from lentilpath_core.ids import get_job_of_task
from lentilpath_core.language import Cell, Table, format_time
from lentilpath_core.usage import UsageLine
from lentilpath_core.zone.state import ZoneState

USAGE_COLUMNS = (
    "line",
    "task",
    "attempt",
    "worker",
    "from",
    "to",
    "held_ms",
    "millicore_ms",
    "memory_mib_ms",
    "accelerator_ms",
    "cause",
)
LINE_COLUMNS = ("what", "value", "source")


def make_usage_row(line: UsageLine) -> tuple[Cell, ...]:
    """Return the row of one usage line."""
    return (
        line.line,
        line.task,
        line.attempt,
        line.worker,
        format_time(line.started_at),
        format_time(line.ended_at),
        line.get_held_ms(),
        line.get_millicore_ms(),
        line.get_memory_mib_ms(),
        line.get_accelerator_ms(),
        line.cause,
    )


def make_line_table(line: UsageLine | None, state: ZoneState | None) -> Table:
    """Return the chain behind `line`, one fact a row."""
    if line is None or state is None:
        return Table(LINE_COLUMNS)
    job = state.jobs[get_job_of_task(line.task)]
    held = line.resources
    amounts = f"{held.millicores} millicores, {held.memory_mib} MiB, {held.accelerators} accel."
    accepted = f"{format_time(job.accepted_at)} by {job.accepted_by}"
    interval = f"{format_time(line.started_at)} to {format_time(line.ended_at)}"
    rows: tuple[tuple[Cell, ...], ...] = (
        ("line", line.line, "usage"),
        ("customer", line.customer, "job as submitted"),
        ("job accepted", accepted, "journal: JobAccepted"),
        ("task and attempt", f"{line.task} attempt {line.attempt}", "journal: AttemptStarting"),
        ("decision", line.decision, "journal: AttemptStarting"),
        ("worker", line.worker, "journal: AttemptStarting"),
        ("interval", interval, "worker's report in AttemptEnded"),
        ("ended by", line.cause, "journal: AttemptEnded"),
        ("resources held", amounts, "job as submitted"),
        ("processor", f"{line.get_millicore_ms()} millicore ms", "resources times interval"),
        ("memory", f"{line.get_memory_mib_ms()} MiB ms", "resources times interval"),
        ("accelerators", f"{line.get_accelerator_ms()} ms", "resources times interval"),
    )
    return Table(LINE_COLUMNS, rows)

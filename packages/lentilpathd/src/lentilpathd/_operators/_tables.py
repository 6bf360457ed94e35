"""Formats usage lines as tables."""

from __future__ import annotations

from lentilpath_core.audit import SealedObject
from lentilpath_core.language import Cell, Table, format_time
from lentilpath_core.usage import UsageLine, format_charge

USAGE_COLUMNS = (
    "line",
    "kind",
    "task",
    "worker",
    "from",
    "to",
    "held_ms",
    "millicore_ms",
    "memory_mib_ms",
    "accelerator_ms",
    "price_rule",
    "micros",
    "cause",
)
LINE_COLUMNS = ("what", "value", "source")


def make_usage_table(lines: list[UsageLine]) -> Table:
    """Return the lines ordered by period, start and id, without duplicates."""
    unique = {line.line: line for line in lines}
    ordered = sorted(unique.values(), key=lambda line: (line.period, line.started_at, line.line))
    return Table(USAGE_COLUMNS, tuple(_make_usage_row(line) for line in ordered))


def make_line_table(line: UsageLine, manifest: SealedObject | None) -> Table:
    """Return the facts that `line` was computed from, one per row, each with its source.

    `manifest` is `None` for a line that is not sealed.
    """
    resource_time = line.get_resource_time()
    held = f"{line.millicores} millicores, {line.memory_mib} MiB, {line.accelerators} accelerators"
    interval = f"{format_time(line.started_at)} to {format_time(line.ended_at)}"
    rows: list[tuple[Cell, ...]] = [
        ("line", f"{line.line} ({line.kind.value})", "usage"),
        ("customer and team", f"{line.customer}, {line.team}", "the job as submitted"),
        ("job", line.job, "journal: JobAccepted"),
        ("task and attempt", f"{line.task} attempt {line.attempt}", "journal: AttemptStarting"),
        ("decision", line.decision, "journal: AttemptStarting"),
        ("decided at", format_time(line.decided_at), "journal: AttemptStarting"),
        ("worker", line.worker, "journal: AttemptStarting"),
        ("interval", interval, line.basis.value),
        ("held", f"{line.held_ms} ms", "interval, less what earlier lines billed"),
        ("cause", line.cause, "journal: AttemptEnded"),
        ("resources", held, "the job as submitted"),
        ("processor", f"{resource_time.millicore_ms} millicore ms", "resources times held"),
        ("memory", f"{resource_time.memory_mib_ms} MiB ms", "resources times held"),
        ("accelerators", f"{resource_time.accelerator_ms} ms", "resources times held"),
        ("price rule", _describe_price(line), "configuration when the line was made"),
        ("charge", f"{format_charge(line.charge_units)} micros", "price rule times resources"),
    ]
    if line.corrects:
        rows.append(("corrects", f"earlier lines that end with {line.corrects}", "usage"))
    if manifest is None:
        rows.append(("sealed", "not yet; the line may still change", "open period"))
    else:
        rows.append(("sealed in", manifest.digest, "object store, checked now"))
        rows.append(("follows", manifest.previous, "object store"))
    return Table(LINE_COLUMNS, tuple(rows))


def _describe_price(line: UsageLine) -> str:
    price = line.price
    return (
        f"{price.name}: {price.per_core_hour_micros} micros a core hour, "
        f"{price.per_gib_hour_micros} a GiB hour, {price.per_accelerator_hour_micros} an "
        "accelerator hour"
    )


def _make_usage_row(line: UsageLine) -> tuple[Cell, ...]:
    resource_time = line.get_resource_time()
    return (
        line.line,
        line.kind.value,
        line.task,
        line.worker,
        format_time(line.started_at),
        format_time(line.ended_at),
        line.held_ms,
        resource_time.millicore_ms,
        resource_time.memory_mib_ms,
        resource_time.accelerator_ms,
        line.price.name,
        format_charge(line.charge_units),
        line.cause,
    )

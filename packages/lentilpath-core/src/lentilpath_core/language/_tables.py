"""The tables that can be listed, and the format of answers."""

from __future__ import annotations

import msgspec

Cell = str | int | bool | None


class Table(msgspec.Struct, frozen=True):
    """An answer in rows; every row has one cell for each column."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...] = ()


TABLE_COLUMNS: dict[str, tuple[str, ...]] = {
    "tasks": (
        "task",
        "kind",
        "state",
        "worker",
        "attempts",
        "since",
        "team",
        "customer",
        "zone",
        "outcome",
        "job",
    ),
    "jobs": (
        "job",
        "kind",
        "team",
        "customer",
        "priority",
        "state",
        "tasks",
        "open",
        "accepted",
        "ended",
        "zone",
    ),
    "workers": ("worker", "zone", "rack", "state", "tasks", "cpu", "memory_mib", "drained_by"),
    "zones": ("zone", "leader", "epoch", "jobs", "open_tasks", "workers", "journal"),
    "teams": ("team", "millicores", "memory_mib", "accelerators", "jobs", "open_tasks"),
    "services": ("service", "zone", "upstreams", "leaving", "slots"),
    "audit": ("at", "operator", "host", "command", "outcome", "id"),
}

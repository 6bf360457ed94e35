"""Good and bad events of objectives, counted in time buckets."""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import WallTime

BUCKET_MS = 300_000
MAX_CAUSES = 20
"""Limit on causes counted separately in one bucket; further ones are counted together."""
OTHER_CAUSES = "other causes"


class BurnCounts(msgspec.Struct):
    """Events of one objective in one bucket."""

    good: int = 0
    bad: int = 0
    causes: dict[str, int] = {}
    """Bad events by cause."""


BurnLog = dict[str, dict[WallTime, BurnCounts]]
"""Counts by objective and start of the bucket."""


def get_bucket_start(at: WallTime) -> WallTime:
    """Return the start of the bucket that contains `at`."""
    return WallTime(at - at % BUCKET_MS)


def record_event(log: BurnLog, objective: str, good: bool, cause: str, at: WallTime) -> None:
    """Count one event at `at`."""
    counts = log.setdefault(objective, {}).setdefault(get_bucket_start(at), BurnCounts(causes={}))
    if good:
        counts.good += 1
        return
    counts.bad += 1
    _count_cause(counts, cause, 1)


def merge_log(log: BurnLog, other: BurnLog) -> None:
    """Add all counts of `other` to `log`."""
    for objective, buckets in other.items():
        own = log.setdefault(objective, {})
        for start, counts in buckets.items():
            total = own.setdefault(start, BurnCounts(causes={}))
            total.good += counts.good
            total.bad += counts.bad
            for cause, count in counts.causes.items():
                _count_cause(total, cause, count)


def _count_cause(counts: BurnCounts, cause: str, count: int) -> None:
    if cause not in counts.causes and len(counts.causes) >= MAX_CAUSES:
        cause = OTHER_CAUSES
    counts.causes[cause] = counts.causes.get(cause, 0) + count

"""Burn rates over several windows, and the rest of the error budget.

A burn rate of 1 uses up exactly the whole budget within the objective's window. An alert needs a
high rate over both a long and a short window: the long one shows that the problem is significant,
the short one that it is still present.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.burn._counts import BUCKET_MS, BurnCounts
from lentilpath_core.configuration import ObjectiveSettings
from lentilpath_core.ids import WallTime

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
MILLION = 1_000_000


class Urgency(Enum):
    """Response that a burn rate requires from the operators."""

    PAGE = "page"
    """The budget of weeks is used up within days: act now."""
    TICKET = "ticket"
    """The budget will not last: act within days."""
    NONE = "none"


ALERT_WINDOWS: tuple[tuple[int, int, float, Urgency], ...] = (
    (HOUR_MS, 5 * MINUTE_MS, 14.4, Urgency.PAGE),
    (6 * HOUR_MS, 30 * MINUTE_MS, 6.0, Urgency.PAGE),
    (3 * DAY_MS, 6 * HOUR_MS, 1.0, Urgency.TICKET),
)
"""Long window, short window, the burn rate that both must reach, and the resulting urgency."""


@dataclass(frozen=True, slots=True)
class WindowRate:
    """The burn rate over the last `window_ms`."""

    window_ms: int
    good: int
    bad: int
    rate: float


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Events, budget and burn rates of one objective at one time."""

    objective: str
    settings: ObjectiveSettings
    good: int
    bad: int
    """Over the objective's whole window."""
    budget_events: float
    """Bad events that the target allows for the number of events in the window."""
    budget_left: float
    """Fraction of the budget that is left; negative if it is overspent."""
    rates: tuple[WindowRate, ...]
    urgency: Urgency
    causes: tuple[tuple[str, int], ...]
    """Bad events by cause, most frequent first."""
    series: tuple[tuple[WallTime, int, int], ...]
    """Start of each bucket, good and bad events."""


def compute_burn(
    objective: str,
    settings: ObjectiveSettings,
    buckets: dict[WallTime, BurnCounts],
    now: WallTime,
) -> BurnReport:
    """Return the burn report of one objective at `now`."""
    start = now - settings.window_days * DAY_MS
    window_buckets = {at: counts for at, counts in sorted(buckets.items()) if start < at <= now}
    good = sum(counts.good for counts in window_buckets.values())
    bad = sum(counts.bad for counts in window_buckets.values())
    allowed_fraction = (MILLION - settings.target_per_million) / MILLION
    budget = (good + bad) * allowed_fraction
    windows = sorted({window for alert in ALERT_WINDOWS for window in alert[:2]})
    rates = {
        window: _compute_window_rate(window_buckets, now, window, allowed_fraction)
        for window in windows
    }
    causes: dict[str, int] = {}
    for counts in window_buckets.values():
        for cause, count in counts.causes.items():
            causes[cause] = causes.get(cause, 0) + count
    return BurnReport(
        objective,
        settings,
        good,
        bad,
        budget,
        1.0 - bad / budget if budget else 1.0,
        tuple(rates.values()),
        _get_urgency(rates),
        tuple(sorted(causes.items(), key=lambda item: (-item[1], item[0]))),
        tuple((at, counts.good, counts.bad) for at, counts in window_buckets.items()),
    )


def _compute_window_rate(
    buckets: dict[WallTime, BurnCounts], now: WallTime, window_ms: int, allowed_fraction: float
) -> WindowRate:
    # Buckets that overlap the window count in full; otherwise the shortest window would often be
    # empty.
    inside = [counts for at, counts in buckets.items() if at + BUCKET_MS > now - window_ms]
    good = sum(counts.good for counts in inside)
    bad = sum(counts.bad for counts in inside)
    bad_fraction = bad / (good + bad) if good + bad else 0.0
    return WindowRate(window_ms, good, bad, bad_fraction / allowed_fraction)


def _get_urgency(rates: dict[int, WindowRate]) -> Urgency:
    for long_ms, short_ms, threshold, urgency in ALERT_WINDOWS:
        if rates[long_ms].rate >= threshold and rates[short_ms].rate >= threshold:
            return urgency
    return Urgency.NONE

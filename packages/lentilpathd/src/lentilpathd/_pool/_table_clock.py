"""Converts between this host's clock and that of the table service."""

from __future__ import annotations

import math

from lentilpath_core.ids import Instant
from lentilpathd._pool._leases import CLOCK_DRIFT, LEASE_MARGIN_MS


class TableClock:
    """Bounds of the table service's clock, estimated from its responses."""

    def __init__(self) -> None:
        self._least_offset_ms: int | None = None
        self._most_offset_ms = 0

    def observe(self, clock_ms: int, sent_at: Instant, now: Instant) -> None:
        """Update the bounds with the response, at `now`, to a request of `sent_at`."""
        least = clock_ms - now
        if self._least_offset_ms is None or least > self._least_offset_ms:
            self._least_offset_ms = least
        # Only the latest one: over a long time the clocks drift apart.
        self._most_offset_ms = clock_ms - sent_at

    def estimate(self, now: Instant) -> int:
        """Return a time that the table service's clock has reached, in ms."""
        return now + (self._least_offset_ms or 0)

    def convert(self, at: Instant, now: Instant) -> int:
        """Return a time in ms that the table service's clock does not reach before `at`."""
        ahead_ms = max(0, at - now)
        drift_ms = math.ceil(ahead_ms * CLOCK_DRIFT) + LEASE_MARGIN_MS
        return now + ahead_ms + drift_ms + self._most_offset_ms

"""When a stopping leader hands the leadership over.

Designed for a rolling restart while the table is slow: a takeover needs several of its answers in
turn, and nothing starts meanwhile.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpathd._clock import MS_PER_SECOND

RELEASE_SECONDS = 1.6
"""Part of the stop grace period kept for releasing the leadership to a slow table: two of its
answers while it is 100 times slower than usual."""


def find_last_handover(now: Instant, stop_grace_ms: int) -> Instant:
    """Return until when a leader that is stopped at `now` may lead on."""
    return Instant(int(now + stop_grace_ms - RELEASE_SECONDS * MS_PER_SECOND))


def must_lead_on(is_table_slow: bool, last_handover_at: Instant | None, now: Instant) -> bool:
    """Return whether a stopping leader leads on for the moment, rather than hand over."""
    return is_table_slow and last_handover_at is not None and now < last_handover_at

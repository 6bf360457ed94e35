"""When a stopping leader hands the leadership over.

Designed for a rolling restart while the table is slow: a takeover needs several of its answers in
turn, and nothing starts meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lentilpath_core.ids import Instant
from lentilpathd._clock import MS_PER_SECOND, read_instant

RELEASE_SECONDS = 1.6
"""Part of the stop grace period kept for releasing the leadership to a slow table: two of its
answers while it is 100 times slower than usual."""
SLOW_TABLE_CHECK_SECONDS = 0.1
"""How soon a stopping leader notices that the table is no longer slow."""


def find_last_handover(now: Instant, stop_grace_ms: int) -> Instant:
    """Return until when a leader that is stopped at `now` may lead on."""
    return Instant(int(now + stop_grace_ms - RELEASE_SECONDS * MS_PER_SECOND))


def must_lead_on(is_table_slow: bool, last_handover_at: Instant, now: Instant) -> bool:
    """Return whether a stopping leader leads on for the moment, rather than hand over."""
    return is_table_slow and now < last_handover_at


async def wait_for_handover(is_table_slow: Callable[[], bool], last_handover_at: Instant) -> None:
    """Wait until a stopping leader is to hand over."""
    while must_lead_on(is_table_slow(), last_handover_at, read_instant()):  # noqa: ASYNC110
        await asyncio.sleep(SLOW_TABLE_CHECK_SECONDS)

"""Seeds that failed in the past, each with the cause."""

from __future__ import annotations

REGRESSIONS: dict[int, str] = {
    11: "same cause as 140; failed in 1 of 6 runs before the fix",
    140: "a start intended for a worker's previous incarnation was accepted by the next one, "
    "whose ends were acknowledged by the number of an end of the previous one",
    1796352800: "all hosts paused for longer than a lease: a successful end was acknowledged after "
    "its lease had lapsed and its task was started again, which is allowed; the check flagged it",
    143: "same cause as 140, followed by a change of leader",
}
"""Cause by seed; the short soak test in CI runs all of them, without disrupted workers."""

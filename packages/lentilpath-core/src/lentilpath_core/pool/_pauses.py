"""Detects that the leader's process was paused, so that it confirms its leadership before it acts.

A leader that cannot reach the table goes on, since nobody can take over without the table. While a
process is paused, by a signal or with its machine, another one may have taken over.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant

MAX_GAP_MS = 500
"""A longer time between two observations counts as a pause. Each renewal of the leader's lease is
sent at least this long before the lease ends, so nobody can have taken over after a shorter one;
the leader observes the time every 250 ms."""


class PauseWatch:
    """Whether a leader may send commands, by the times at which it was seen to run."""

    def __init__(self, now: Instant) -> None:
        self._seen_at = now
        self._must_confirm = False
        self.woken_at = Instant(0)
        """End of the last pause that was noticed."""

    def observe(self, now: Instant) -> None:
        """Notice a pause since the last observation."""
        if now - self._seen_at > MAX_GAP_MS:
            self._must_confirm = True
            self.woken_at = now
        self._seen_at = now

    def may_command(self, now: Instant, is_confirmed: bool) -> bool:
        """Observe the time; return whether the leader may send commands.

        After a pause it may not until its leadership is confirmed (`is_confirmed`).
        """
        self.observe(now)
        if is_confirmed:
            self._must_confirm = False
        return not self._must_confirm

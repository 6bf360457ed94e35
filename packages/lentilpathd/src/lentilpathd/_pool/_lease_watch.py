"""For how long the row of the leader's lease has not changed, as one host has read it."""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._pool._succession import LeadershipSnapshot, find_takeover_wait

POLL_INTERVAL_MS = 350
"""Shorter than the interval between renewals, so that a host observes each of them."""


class LeaseWatch:
    """Follows the leadership rows from one read to the next."""

    def __init__(self) -> None:
        self.snapshot: LeadershipSnapshot | None = None
        """The rows as they were last read."""
        self._watched_since = Instant(0)
        self._unchanged_since = Instant(0)
        self._is_broken = False
        """Whether the last read failed."""
        self._read_ms = 0
        """Duration of the last read."""

    def observe(self, snapshot: LeadershipSnapshot, sent_at: Instant, now: Instant) -> None:
        """Take in the rows that a read of `sent_at` returned at `now`, and log what is odd."""
        former = self.snapshot
        is_changed = former is None or snapshot.lease_version != former.lease_version
        if is_changed:
            self._unchanged_since = now
        if is_changed or self._is_broken:
            self._watched_since = now
        self._is_broken = False
        self._read_ms = now - sent_at
        if snapshot.unreadable and (former is None or former.unreadable != snapshot.unreadable):
            for key in snapshot.unreadable:
                log_warning_event(Event.ROW_UNREADABLE, key=key, error="it is not a leader's row")
        if former is not None:
            _log_earlier_end(former, snapshot)
        self.snapshot = snapshot

    def note_failure(self) -> None:
        """Note that the rows could not be read."""
        self._is_broken = True

    def get_unchanged_ms(self, now: Instant) -> int:
        """Return the time in ms since the lease row was first read in its present version.

        It has not changed since then, also if reads in between failed.
        """
        return now - self._unchanged_since

    def get_watched_ms(self, now: Instant) -> int:
        """Return for how long, in ms, the lease row was read without a failure or a change."""
        return now - self._watched_since

    def find_delay(self, now: Instant) -> int:
        """Return the time in ms until the next read, or until a silent leader may be replaced."""
        if self.snapshot is None:
            return POLL_INTERVAL_MS
        left_ms = find_takeover_wait(self.snapshot.lease) - self.get_unchanged_ms(now)
        # A read that begins before would end after it.
        is_close = 0 < left_ms < POLL_INTERVAL_MS + self._read_ms
        return left_ms if is_close else POLL_INTERVAL_MS


def _log_earlier_end(former: LeadershipSnapshot, snapshot: LeadershipSnapshot) -> None:
    """Log that a leader's lease, which it has not released, ends earlier than before."""
    before, after = former.lease, snapshot.lease
    if before is None or after is None or before.epoch != after.epoch:
        return
    if 0 < after.until_ms < before.until_ms:
        log_event(
            Event.LEASE_WENT_BACK,
            leader=after.host,
            version=snapshot.lease_version,
            until_ms=after.until_ms,
            former_version=former.lease_version,
            former_until_ms=before.until_ms,
        )

"""For how long a leader may count on a renewal of its lease, whatever order writes are done in.

A write that got no answer may be done at any later time, after newer ones too. The row of the lease
then shows the older renewal again. A successor waits from the last change of the row, so a late
write only puts a takeover off; but it waits for the lease that the row shows, and an older renewal
may show a shorter one.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentilpath_core.ids import Instant


@dataclass(slots=True)
class Renewal:
    """A renewed lease, for a transaction that is sent at once."""

    put: tuple[str, bytes]
    """Key and value of the row."""
    sent_at: Instant
    lease_ms: int
    """Length of the lease, as the row shows it."""
    until_ms: int
    """End of the lease by the table service's clock; 0 to release it."""
    counted_ms: int = 0
    """For how long the leader may count on the lease from its sending on: the shortest lease that
    the row may have shown since."""


class OpenRenewals:
    """The renewals of one term that are in flight, or got no answer and may still be done."""

    def __init__(self) -> None:
        self._in_flight: list[Renewal] = []
        self._shortest_lost_ms: int | None = None
        """Shortest lease of a renewal that got no answer and may still be done."""

    def open(self, renewal: Renewal) -> None:
        """Add a renewal that is sent at once."""
        leases = [each.lease_ms for each in self._in_flight]
        if self._shortest_lost_ms is not None:
            leases.append(self._shortest_lost_ms)
        renewal.counted_ms = min((renewal.lease_ms, *leases))
        for each in self._in_flight:
            each.counted_ms = min(each.counted_ms, renewal.lease_ms)
        self._in_flight.append(renewal)

    def close(self, renewal: Renewal, may_be_done_later: bool) -> None:
        """Remove a renewal that nobody waits for any more."""
        self._in_flight.remove(renewal)
        if may_be_done_later:
            lost_ms = self._shortest_lost_ms or renewal.lease_ms
            self._shortest_lost_ms = min(lost_ms, renewal.lease_ms)

"""One term of leading a zone: the authority, checked just before each command leaves."""

from __future__ import annotations

from dataclasses import dataclass

from lentilpath_core.ids import Epoch, Instant, RowVersion, ZoneId
from lentilpathd._authority import Leadership

MAX_COMMAND_MS = 1_000
"""A command to a worker has no effect later than this after it left."""


@dataclass(frozen=True, slots=True)
class Term:
    """The time between taking the zone over and losing it."""

    zone: ZoneId
    epoch: Epoch
    epoch_version: RowVersion
    """Version of the epoch row; every write of the term is conditional on it."""
    leadership: Leadership

    def is_current(self) -> bool:
        """Return whether the zone is still held under this term's epoch, paused or not."""
        authority = self.leadership.get_authority()
        return authority is not None and authority.epoch == self.epoch

    def is_backed_by_table(self) -> bool:
        """Return whether the authority rests on the table and not on peers' promises."""
        authority = self.leadership.get_authority()
        return authority is not None and authority.by_table

    def get_command_deadline(self, now: Instant) -> Instant | None:
        """Return until when a command that leaves `now` may act, or `None` if none may leave."""
        authority = self.leadership.get_authority()
        if authority is None or authority.epoch != self.epoch or authority.until <= now:
            return None
        return Instant(min(authority.until, now + MAX_COMMAND_MS))

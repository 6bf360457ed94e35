"""One leadership term of a zone, whose authority is checked just before each command is sent."""

from __future__ import annotations

from dataclasses import dataclass

from lentilpath_core.ids import Epoch, Instant, RowVersion, ZoneId
from lentilpathd._authority import Leadership

COMMAND_VALIDITY_MS = 1_000
"""A command to a worker expires this long after it was sent."""


@dataclass(frozen=True, slots=True)
class Term:
    """The period from taking over the leadership of a zone until losing or releasing it."""

    zone: ZoneId
    epoch: Epoch
    epoch_version: RowVersion
    """Version of the epoch row, the fencing token that every write of the term checks."""
    leadership: Leadership

    def is_current(self) -> bool:
        """Return whether this process still leads under this term's epoch.

        The authority may have expired meanwhile; see `get_command_deadline`.
        """
        authority = self.leadership.get_authority()
        return authority is not None and authority.epoch == self.epoch

    def is_backed_by_table(self) -> bool:
        """Return whether the authority is backed by the table and not by promises of peers."""
        authority = self.leadership.get_authority()
        return authority is not None and authority.backed_by_table

    def get_command_deadline(self, now: Instant) -> Instant | None:
        """Return when a command sent `now` expires, or `None` if no command may be sent."""
        authority = self.leadership.get_authority()
        if authority is None or authority.epoch != self.epoch or authority.until <= now:
            return None
        return Instant(min(authority.until, now + COMMAND_VALIDITY_MS))

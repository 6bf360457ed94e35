"""The authority to decide for a zone, as the rest of the daemon sees it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lentilpath_core.ids import Epoch, HostId, Instant, RowVersion, ZoneId

NOTHING_UNSETTLED = Instant(0)


@dataclass(frozen=True, slots=True)
class Authority:
    """The permission of this process to decide for its zone until `until`."""

    epoch: Epoch
    until: Instant
    by_table: bool
    """False while the authority rests on peers' promises, because the table is out of reach."""
    epoch_version: RowVersion = RowVersion(0)
    """Version of `epoch/ZONE` that each journal write has to check."""


class Leadership(Protocol):
    """Who decides for the zone. Ask again just before each command leaves."""

    def get_authority(self) -> Authority | None:
        """Return the authority of this process, or `None`; the caller compares `until` to now."""
        ...

    def get_leader(self, zone: ZoneId) -> HostId | None:
        """Return the host that was last seen to lead `zone`, or `None`."""
        ...

    async def run(self) -> None:
        """Seek and renew the authority until cancelled."""
        ...

    async def release(self, commands_end: Instant = NOTHING_UNSETTLED) -> None:
        """Hand the zone over; used in a planned stop, after the zone's work is settled.

        `commands_end` is the last not-after of the commands whose outcome is not known. The zone
        is not free before: a start that lands after the next leader has asked its worker would
        run a task twice.
        """
        ...

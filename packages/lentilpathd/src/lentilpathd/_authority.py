"""The authority to decide for a zone, and the interface of its leadership."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lentilpath_core.ids import Epoch, HostId, Instant, RowVersion, ZoneId

NO_UNCONFIRMED_START = Instant(0)


@dataclass(frozen=True, slots=True)
class Authority:
    """The permission of this process to decide for its zone until `until`."""

    epoch: Epoch
    until: Instant
    backed_by_table: bool
    """False while promises of peers extend the authority, because the table is unreachable."""
    epoch_version: RowVersion = RowVersion(0)
    """Version of the row `epoch/ZONE`, the fencing token that each journal write checks."""


class Leadership(Protocol):
    """The leadership of the zone. Check the authority again just before sending each command."""

    def get_authority(self) -> Authority | None:
        """Return the authority of this process, or `None`; the caller compares `until` to now."""
        ...

    def get_leader(self, zone: ZoneId) -> HostId | None:
        """Return the host that was last seen to lead `zone`, or `None`."""
        ...

    async def run(self) -> None:
        """Acquire and renew the authority until cancelled."""
        ...

    async def release(self, commands_end: Instant = NO_UNCONFIRMED_START) -> None:
        """Release the zone in a planned stop, after the zone service has been drained.

        `commands_end` is the latest expiry of the start commands whose outcome is unknown. The
        zone is not released before: a start that takes effect after the next leader has read the
        worker's report would run a task twice.
        """
        ...

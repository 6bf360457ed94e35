"""What the operators' side needs of the zone that this process may lead."""

from __future__ import annotations

from typing import Protocol

from lentilpath_core.placement import PlacementState
from lentilpath_core.zone.journal import CommandAnswered
from lentilpath_core.zone.state import ZoneState


class ZoneAccess(Protocol):
    """The zone's driver, in this process."""

    def get_state(self) -> ZoneState | None:
        """Return the zone's state on its leader after recovery, `None` elsewhere."""
        ...

    def get_placement(self) -> PlacementState | None:
        """Return the zone's placement on its leader after recovery, `None` elsewhere."""
        ...

    def get_answer(self, command: str) -> CommandAnswered | None:
        """Return the durable answer to a command, or `None` if there is none here yet."""
        ...

    def wake(self) -> None:
        """Look at the inbox now."""
        ...

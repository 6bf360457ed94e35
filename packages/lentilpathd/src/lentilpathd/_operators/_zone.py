"""The interface of the zone's driver, as the administration API uses it."""

from __future__ import annotations

from typing import Protocol

from lentilpath_core.placement import PlacementState
from lentilpath_core.zone.journal import CommandAnswered
from lentilpath_core.zone.state import ZoneState


class ZoneAccess(Protocol):
    """Access to the zone's driver in this process, whether or not this process leads the zone."""

    def get_state(self) -> ZoneState | None:
        """Return the zone's state on its leader after recovery, `None` elsewhere."""
        ...

    def get_placement(self) -> PlacementState | None:
        """Return the zone's placement on its leader after recovery, `None` elsewhere."""
        ...

    def get_answer(self, command: str) -> CommandAnswered | None:
        """Return the durable answer to the command with this id, or `None` if there is none yet."""
        ...

    def wake(self) -> None:
        """Make the driver read its inbox immediately."""
        ...

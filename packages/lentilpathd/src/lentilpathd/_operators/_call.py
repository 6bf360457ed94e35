"""A command with the context that it is executed in."""

from __future__ import annotations

from dataclasses import dataclass

from lentilpath_core.access import Principal
from lentilpath_core.ids import WallTime
from lentilpathd._operators._messages import CommandRequest


@dataclass(frozen=True, slots=True)
class Call:
    """A command request, its authenticated sender and the time it was received."""

    request: CommandRequest
    principal: Principal
    received_at: WallTime

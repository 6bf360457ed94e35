"""One command on its way."""

from __future__ import annotations

from dataclasses import dataclass

from lentilpath_core.access import Holder
from lentilpath_core.ids import WallTime
from lentilpathd._operators._messages import CommandRequest


@dataclass(frozen=True, slots=True)
class Call:
    """Who sent a command, when, and its request."""

    request: CommandRequest
    holder: Holder
    now: WallTime

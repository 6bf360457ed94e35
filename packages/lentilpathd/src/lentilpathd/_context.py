"""What every part of the daemon is built from."""

from __future__ import annotations

from dataclasses import dataclass

from lentilpath_core.ids import Incarnation
from lentilpath_core.settings import HostSettings
from lentilpathd._directory import Directory
from lentilpathd._peers import PeerBus
from lentilpathd._ports import ObjectStore, Table


@dataclass(frozen=True, slots=True)
class DaemonContext:
    """The settings of this process and its ways to the outside."""

    settings: HostSettings
    incarnation: Incarnation
    bus: PeerBus
    table: Table
    objects: ObjectStore
    directory: Directory

"""Dependencies shared by all parts of the daemon."""

from __future__ import annotations

from dataclasses import dataclass

from lentilpath_core.ids import Incarnation
from lentilpath_core.settings import HostSettings
from lentilpathd._directory import Directory
from lentilpathd._peers import PeerBus
from lentilpathd._ports import ObjectStore, Table


@dataclass(frozen=True, slots=True)
class DaemonContext:
    """The settings of this process and its interfaces to peers and external systems."""

    settings: HostSettings
    incarnation: Incarnation
    bus: PeerBus
    table: Table
    objects: ObjectStore
    directory: Directory

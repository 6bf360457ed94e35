"""What the parts of a pool's host share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lentilpath_core.ids import Incarnation, JobId
from lentilpath_core.pool import JobState, PoolConfiguration
from lentilpathd._peers import PeerBus
from lentilpathd._pool._advice import AdviceAgent
from lentilpathd._pool._members import Greeter, Members
from lentilpathd._pool._ports import PartitionedTable, Registry, WorkerFactory
from lentilpathd._pool._settings import PoolHostSettings


@dataclass(frozen=True, slots=True)
class PoolContext:
    """One host's settings, connections and identity."""

    settings: PoolHostSettings
    incarnation: Incarnation
    bus: PeerBus
    table: PartitionedTable
    registry: Registry
    create_worker: WorkerFactory
    advice_agent: AdviceAgent
    members: Members
    greeter: Greeter
    get_configuration: Callable[[], PoolConfiguration | None]
    get_own_state: Callable[[JobId], JobState | None]
    """What this process knows of a job if it leads."""

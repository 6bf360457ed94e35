"""Objects shared by the components of a pool host."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lentilpath_core.ids import CustomerId, Incarnation, JobId
from lentilpath_core.pool import JobState, PoolConfiguration
from lentilpathd._peers import PeerBus
from lentilpathd._pool._advice import AdviceAgent
from lentilpathd._pool._members import HeartbeatSender, Members, UnclearJobs
from lentilpathd._pool._messages import JobNotice
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._ports import Registry, WorkerFactory
from lentilpathd._pool._settings import PoolHostSettings
from lentilpathd._pool._table_path import TablePath


@dataclass(slots=True)
class PoolContext:
    """Settings, connections and identity of one entry host."""

    settings: PoolHostSettings
    """Replaced when the settings file changes; the other fields stay the same."""
    incarnation: Incarnation
    bus: PeerBus
    table: TablePath
    registry: Registry
    create_worker: WorkerFactory
    advice_agent: AdviceAgent
    members: Members
    heartbeat_sender: HeartbeatSender
    metrics: PoolMetrics
    get_configuration: Callable[[], PoolConfiguration | None]
    get_local_job_state: Callable[[JobId], JobState | None]
    """Returns a job's state; `None` if this process does not lead or does not know the job."""
    handle_local_notice: Callable[[JobNotice], bool]
    """Passes a stored row to this process if it leads; returns whether it leads."""
    unclear_jobs: UnclearJobs
    is_leading: Callable[[], bool]
    get_local_job_customer: Callable[[JobId], CustomerId]
    """Returns a job's customer; empty if it has none or is not known to this process."""

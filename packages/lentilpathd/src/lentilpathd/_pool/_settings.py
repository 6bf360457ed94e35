"""Settings of a pool host."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from lentilpath_core.ids import HostId, RegionId, ZoneId
from lentilpath_core.settings import Address

MAX_LEASE_MS = 4_000
"""A change of leader takes up to 2.7 s until the new leader's first renewals, and the last renewal
before it may be 0.8 s old. A longer lease delays the restart of a lost worker's runs elsewhere."""


@dataclass(frozen=True, slots=True)
class PoolHostSettings:
    """Settings of one entry host. All durable state is in the platform's table service."""

    host: HostId
    zone: ZoneId
    region: RegionId
    callers: Address
    """Listening address for callers."""
    readiness: Address
    """Listening address for the load balancer's readiness probes."""
    peers: Address
    """Listening address for other entry hosts."""
    metrics: Address
    """Listening address for metrics."""
    longest_lease_ms: int
    """Longest lease that workers accept; they shorten longer ones to this."""
    stop_grace_ms: int
    """Grace period from SIGTERM to SIGKILL."""
    cores: float = 1.0
    """Speed of the host's processor, in cores."""
    memory_bytes: int = 209_715_200
    """Memory that the process may use."""
    max_descriptors: int = 4_096
    """Number of descriptors that the process may have open."""
    job_memory_ms: int = 120_000
    """How long the state of a finished job remains available."""
    expects_contention: bool = False
    """Whether the deployment's callers compete for too little capacity at times."""
    cancel_ms: int = 3_000
    """Time after the acknowledgement of a cancelling in which the job's runs have to be stopped."""
    longest_stop_ms: int = 400
    """Longest time that a worker takes to stop a run."""
    max_configuration_age_ms: int | None = None
    """Keys are not accepted while the configuration was last confirmed longer ago than this, since
    they may have been withdrawn; `None` for no limit."""

    def list_changes(self, other: PoolHostSettings) -> frozenset[str]:
        """Return the names of the settings that differ in `other`."""
        return frozenset(
            each.name
            for each in fields(self)
            if getattr(self, each.name) != getattr(other, each.name)
        )

    def with_live_settings(self, other: PoolHostSettings) -> PoolHostSettings:
        """Return these settings with the `LIVE_SETTINGS` of `other`."""
        return replace(self, **{name: getattr(other, name) for name in LIVE_SETTINGS})

    @property
    def lease_ms(self) -> int:
        """The lease, in ms, that the leader grants to runs on a worker."""
        return min(self.longest_lease_ms, MAX_LEASE_MS)


LIVE_SETTINGS = frozenset(
    {
        "longest_lease_ms",
        "stop_grace_ms",
        "job_memory_ms",
        "cancel_ms",
        "longest_stop_ms",
        "max_configuration_age_ms",
        "expects_contention",
    }
)
"""Settings that can change while the process runs. The others define the process's identity and
addresses, which are fixed until it ends."""

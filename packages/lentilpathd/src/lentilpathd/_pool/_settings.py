"""What a pool's host is told when it starts."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from lentilpath_core.ids import HostId, RegionId, ZoneId
from lentilpath_core.settings import Address

MAX_LEASE_MS = 4_000
"""A change of leader takes up to 2.7 s until its first renewals, and the last one before it may be
0.8 s old. A longer lease keeps what ran on a lost worker from starting elsewhere."""


@dataclass(frozen=True, slots=True)
class PoolHostSettings:
    """Settings of one entry host on a platform that keeps all state."""

    host: HostId
    zone: ZoneId
    region: RegionId
    callers: Address
    """Where callers connect."""
    readiness: Address
    """Where the balancer asks whether the host takes connections."""
    peers: Address
    """Where other entry hosts connect."""
    metrics: Address
    """Where metrics are served."""
    longest_lease_ms: int
    """Workers shorten longer leases to this."""
    stop_grace_ms: int
    """From SIGTERM to SIGKILL."""
    cores: float = 1.0
    """Speed of the host's processor, in cores."""
    expected_callers_deadline_ms: int = 3_000
    job_memory_ms: int = 120_000
    """How long the state of a finished job can be asked for."""

    def list_changes(self, other: PoolHostSettings) -> frozenset[str]:
        """Return the names of the settings that `other` has changed."""
        return frozenset(
            each.name
            for each in fields(self)
            if getattr(self, each.name) != getattr(other, each.name)
        )

    def with_live_settings(self, other: PoolHostSettings) -> PoolHostSettings:
        """Return these settings with those of `other` that can change while the process runs."""
        return replace(self, **{name: getattr(other, name) for name in LIVE_SETTINGS})

    @property
    def lease_ms(self) -> int:
        """The lease that the leader grants to what runs on a worker."""
        return min(self.longest_lease_ms, MAX_LEASE_MS)


LIVE_SETTINGS = frozenset(
    {"longest_lease_ms", "stop_grace_ms", "expected_callers_deadline_ms", "job_memory_ms"}
)
"""The others say who the process is and where it listens; it keeps them until its end."""

"""Bounds and preferences of the request path. All have defaults that suit the sizes of today."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RegionPolicy(Enum):
    """Whether a service's requests may leave the region they arrived in."""

    OWN_REGION = "own-region"
    ANY_REGION = "any-region"


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """Bounds of one entry host; counts hold for this host, not for the whole cell."""

    default_deadline_ms: int = 10_000
    max_deadline_ms: int = 15_000
    max_run_ms: int = 15_000
    """A runner is taken to be done with a request this long after it was sent."""
    customer_requests_per_second: float = 2_000.0
    customer_burst: float = 2_000.0
    customer_in_flight: int = 512
    """Requests of one customer for one service that wait or run at once."""
    queue_bytes: int = 8_388_608
    """Bytes of waiting requests of one service."""
    queue_wait_ms: int = 2_000
    """How long a request may wait for a slot."""
    urgent_reserve_fraction: float = 0.05
    """The part of a host's slots that only urgent requests may take, rounded down."""
    urgent_reserve_ms: int = 5_000
    """How long slots are kept after the last urgent request."""
    retry_ratio: float = 0.1
    """Retries of a service for each of its requests, in the long run."""
    retry_burst: float = 10.0
    slow_start_ms: int = 10_000
    """How long a new runner takes to get its full share."""
    eject_after_failures: int = 5
    """Failures in a row that take a runner out of the pool."""
    eject_ms: int = 5_000
    """How long a runner is out the first time; each further time doubles it."""
    max_eject_ms: int = 60_000
    min_pool_fraction: float = 0.5
    """The part of a service's runners that stays in the pool, whatever failed."""
    region_policy: RegionPolicy = RegionPolicy.ANY_REGION
    cross_region_body_bytes: int = 65_536
    """Larger requests never leave their region."""
    cross_region_wait_ms: int = 100
    """A request leaves its region only if it would wait longer than this."""
    share_lease_ms: int = 1_000
    """How long a lent slot may be given new work without renewal."""
    restart_quarantine_ms: int = 1_500
    """How long a new process leaves its slots alone, as its predecessor may still use them."""
    connection_linger_ms: int = 5_000
    """How long a connection that this end closed is still counted at the runner."""
    probe_every_ms: int = 1_000
    """An idle connection is proved alive this often."""
    probe_timeout_ms: int = 500
    key_poll_ms: int = 100
    """How often a repeated key looks for the first one's answer."""

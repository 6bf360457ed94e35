"""Limits and routing preferences of the request path; the defaults suit current deployments."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RegionPolicy(Enum):
    """Whether a service's requests may leave the region they arrived in."""

    OWN_REGION = "own-region"
    ANY_REGION = "any-region"


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """Limits on one entry host; counts apply to this host, not to the whole cell."""

    default_deadline_ms: int = 10_000
    max_deadline_ms: int = 15_000
    max_run_ms: int = 15_000
    """A runner is assumed to have finished a request this long after the request was sent."""
    customer_requests_per_second: float = 2_000.0
    customer_burst: float = 2_000.0
    customer_in_flight: int = 512
    """Limit on one customer's waiting and running requests for one service."""
    queue_bytes: int = 8_388_608
    """Limit on the total size of one service's waiting requests."""
    queue_wait_ms: int = 2_000
    """How long a request may wait for a slot."""
    urgent_reserve_fraction: float = 0.05
    """Fraction of a host's slots reserved for urgent requests, rounded down to whole slots."""
    urgent_reserve_ms: int = 5_000
    """How long slots stay reserved after the last urgent request."""
    retry_ratio: float = 0.1
    """Long-term limit on the retries of a service per request sent for the first time."""
    retry_burst: float = 10.0
    slow_start_ms: int = 10_000
    """How long the load of a new runner ramps up to its full share."""
    eject_after_failures: int = 5
    """Consecutive failures after which a runner is ejected from the pool."""
    eject_ms: int = 5_000
    """Duration of a runner's first ejection; each further one lasts twice as long as the last."""
    max_eject_ms: int = 60_000
    min_pool_fraction: float = 0.5
    """Fraction of a service's runners that stays in the pool whatever their failures."""
    region_policy: RegionPolicy = RegionPolicy.ANY_REGION
    cross_region_body_bytes: int = 65_536
    """Requests larger than this are never sent to another region."""
    cross_region_wait_ms: int = 100
    """A request is sent to another region only if it would wait longer than this in its own."""
    share_lease_ms: int = 1_000
    """How long a borrowed slot may start new requests without a renewal."""
    restart_quarantine_ms: int = 1_500
    """How long a new process leaves its slots unused, as its predecessor may still use them."""
    connection_linger_ms: int = 5_000
    """How long a connection closed by this host still counts towards the runner's limit."""
    probe_every_ms: int = 1_000
    """Interval of the liveness probes on an idle connection."""
    probe_timeout_ms: int = 500
    key_poll_ms: int = 100
    """Interval at which a request with a repeated key polls for the answer of the first one."""

"""Choice of the runner for the next request, by health, slow start, distance and load."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from lentilpath_core.ids import Instant, UpstreamId
from lentilpath_core.requests.policy import RegionPolicy, RequestPolicy

LATENCY_WEIGHT = 0.1
INITIAL_LATENCY_MS = 20.0
MIN_SLOW_START_FRACTION = 0.125
MAX_EJECT_DOUBLINGS = 8


class Distance(IntEnum):
    """How far a runner is from this host; nearer ones are preferred."""

    ZONE = 0
    REGION = 1
    OTHER_REGION = 2


@dataclass(slots=True)
class RunnerHealth:
    """Health and latency of one runner, as observed by this host."""

    runner: UpstreamId
    distance: Distance
    first_seen: Instant
    listed_at_start: bool
    """Whether the first host list with runners held it; such a runner skips slow start."""
    leaving: bool = False
    failures_in_row: int = 0
    ejections: int = 0
    ejected_until: Instant = Instant(0)
    latency_ms: float = INITIAL_LATENCY_MS


@dataclass(frozen=True, slots=True)
class Candidate:
    """A runner that has a free slot for this host."""

    health: RunnerHealth
    in_use: int
    slots: int


def record_success(health: RunnerHealth, latency_ms: float) -> None:
    """Record a complete answer: reset the failure counts and update the average latency."""
    health.failures_in_row = 0
    health.ejections = 0
    health.latency_ms += (latency_ms - health.latency_ms) * LATENCY_WEIGHT


def record_failure(
    pool: tuple[RunnerHealth, ...], health: RunnerHealth, policy: RequestPolicy, now: Instant
) -> bool:
    """Record a failure; return whether it ejected the runner from the pool.

    Ejections never reduce a service's pool below `min_pool_fraction` of its runners.
    """
    health.failures_in_row += 1
    if health.failures_in_row < policy.eject_after_failures or now < health.ejected_until:
        return False
    pooled = sum(1 for runner in pool if now >= runner.ejected_until and not runner.leaving)
    if pooled - 1 < len(pool) * policy.min_pool_fraction:
        return False
    doublings = min(health.ejections, MAX_EJECT_DOUBLINGS)
    health.ejected_until = Instant(now + min(policy.max_eject_ms, policy.eject_ms << doublings))
    health.ejections += 1
    # A single failure after the ejection ends is enough to eject the runner again.
    health.failures_in_row = policy.eject_after_failures - 1
    return True


def is_in_pool(health: RunnerHealth, now: Instant) -> bool:
    """Return whether the runner may get new requests."""
    return not health.leaving and now >= health.ejected_until


def apply_slow_start(health: RunnerHealth, slots: int, policy: RequestPolicy, now: Instant) -> int:
    """Return how many of `slots` a runner may use at `now`, reduced during its slow start."""
    age_ms = now - health.first_seen
    if health.listed_at_start or slots == 0 or age_ms >= policy.slow_start_ms:
        return slots
    fraction = max(MIN_SLOW_START_FRACTION, age_ms / policy.slow_start_ms)
    return max(1, int(slots * fraction))


def choose_runner(candidates: tuple[Candidate, ...]) -> Candidate | None:
    """Return the nearest candidate, and among equally near ones the least loaded.

    Load is the expected time of a runner's work per slot, so a slow runner gets fewer requests.
    """
    if not candidates:
        return None
    return min(candidates, key=_get_candidate_rank)


def may_leave_region(policy: RequestPolicy, request_bytes: int, expected_wait_ms: float) -> bool:
    """Return whether the expected wait justifies the traffic cost of another region's runner."""
    if policy.region_policy is RegionPolicy.OWN_REGION:
        return False
    if request_bytes > policy.cross_region_body_bytes:
        return False
    return expected_wait_ms > policy.cross_region_wait_ms


def _get_candidate_rank(candidate: Candidate) -> tuple[int, float, UpstreamId]:
    load = (candidate.in_use + 1) * candidate.health.latency_ms / candidate.slots
    return (candidate.health.distance, load, candidate.health.runner)

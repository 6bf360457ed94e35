"""Which runner gets the next request: health, slow start, distance and load."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from lentilpath_core.ids import Instant, UpstreamId
from lentilpath_core.requests.policy import RegionPolicy, RequestPolicy

LATENCY_WEIGHT = 0.1
FIRST_LATENCY_MS = 20.0
MIN_START_FRACTION = 0.125
MAX_EJECT_DOUBLINGS = 8


class Distance(IntEnum):
    """How far a runner is from this host; nearer ones go first."""

    ZONE = 0
    REGION = 1
    OTHER_REGION = 2


@dataclass(slots=True)
class RunnerHealth:
    """What this host has seen of one runner."""

    runner: UpstreamId
    distance: Distance
    first_seen: Instant
    known_from_start: bool
    """Whether it was listed before this host took its first request."""
    leaving: bool = False
    failures_in_row: int = 0
    ejections: int = 0
    ejected_until: Instant = Instant(0)
    latency_ms: float = FIRST_LATENCY_MS


@dataclass(frozen=True, slots=True)
class Candidate:
    """A runner that has a free slot for this host."""

    health: RunnerHealth
    in_use: int
    slots: int


def record_success(health: RunnerHealth, latency_ms: float) -> None:
    """Take a whole answer into account."""
    health.failures_in_row = 0
    health.ejections = 0
    health.latency_ms += (latency_ms - health.latency_ms) * LATENCY_WEIGHT


def record_failure(
    pool: tuple[RunnerHealth, ...], health: RunnerHealth, policy: RequestPolicy, now: Instant
) -> bool:
    """Take a failure into account; return whether the runner left the pool.

    The pool of all runners of a service never falls below `min_pool_fraction` by ejection.
    """
    health.failures_in_row += 1
    if health.failures_in_row < policy.eject_after_failures or now < health.ejected_until:
        return False
    remaining = sum(1 for runner in pool if now >= runner.ejected_until and not runner.leaving)
    if remaining - 1 < len(pool) * policy.min_pool_fraction:
        return False
    doublings = min(health.ejections, MAX_EJECT_DOUBLINGS)
    health.ejected_until = Instant(now + min(policy.max_eject_ms, policy.eject_ms << doublings))
    health.ejections += 1
    # One failure after its return is enough to eject it again.
    health.failures_in_row = policy.eject_after_failures - 1
    return True


def is_in_pool(health: RunnerHealth, now: Instant) -> bool:
    """Return whether the runner may get new requests."""
    return not health.leaving and now >= health.ejected_until


def limit_new_runner(health: RunnerHealth, slots: int, policy: RequestPolicy, now: Instant) -> int:
    """Return how many of `slots` a runner may fill at `now`, given how new it is."""
    age_ms = now - health.first_seen
    if health.known_from_start or slots == 0 or age_ms >= policy.slow_start_ms:
        return slots
    fraction = max(MIN_START_FRACTION, age_ms / policy.slow_start_ms)
    return max(1, int(slots * fraction))


def choose_runner(candidates: tuple[Candidate, ...]) -> Candidate | None:
    """Return the nearest candidate, among equally near ones the one with the least load.

    Load is the time that its work takes for each slot, so a slow runner gets less.
    """
    if not candidates:
        return None
    return min(candidates, key=_rate_candidate)


def may_leave_region(policy: RequestPolicy, request_bytes: int, expected_wait_ms: float) -> bool:
    """Return whether the wait here is worth the paid bytes of another region's runner."""
    if policy.region_policy is RegionPolicy.OWN_REGION:
        return False
    if request_bytes > policy.cross_region_body_bytes:
        return False
    return expected_wait_ms > policy.cross_region_wait_ms


def _rate_candidate(candidate: Candidate) -> tuple[int, float, UpstreamId]:
    load = (candidate.in_use + 1) * candidate.health.latency_ms / candidate.slots
    return (candidate.health.distance, load, candidate.health.runner)

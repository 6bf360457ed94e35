"""Chooses a job's zone by free capacity, queue age and the cost of transfers between regions."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from lentilpath_core.ids import Instant, JobId, RegionId, ZoneId
from lentilpath_core.placement import PlacementState, summarize_placement
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import JobSpec, WorkloadKind
from lentilpath_core.zone_choice._digest import ZoneDigest

TRANSFER_COST_MS_PER_MIB = 1_000
"""Transferring one MiB between regions costs as much as this many milliseconds of waiting."""
COST_TOLERANCE_MS = 500
"""Zones within this many ms of the lowest cost share the jobs. Otherwise all jobs would go to one
zone until its next digest shows the load."""
MAX_QUEUE_AGE_MS = 3_600_000
"""Largest queue age that counts towards the cost of a zone."""


@dataclass(frozen=True, slots=True)
class ZoneChoice:
    """The zone chosen for a job, or the reason why no zone can run it."""

    zone: ZoneId | None
    reason: str
    considered: int
    """Number of zones that were considered, including those that cannot run the job."""


def choose_zone(
    spec: JobSpec, digests: Iterable[ZoneDigest], home: RegionId, input_bytes: int = 0
) -> ZoneChoice:
    """Return the allowed zone with the lowest cost: the expected wait plus the price of transfers.

    `home` is the region of the job's input, which has `input_bytes` bytes; they are priced only if
    another region runs the job. If no zone can ever run the job, `ZoneChoice.zone` is `None`.
    """
    known = list(digests)
    allowed = [each for each in known if _is_allowed(spec, each)]
    if not allowed:
        return ZoneChoice(None, _describe_forbidden(spec), len(known))
    fitting = [each for each in allowed if _can_ever_fit(spec, each)]
    if not fitting:
        return ZoneChoice(None, _describe_too_large(spec, allowed), len(known))
    accepting = [each for each in fitting if each.accepting] or fitting
    scored = sorted(
        (_estimate_cost_ms(spec, each, home, input_bytes), each.zone) for each in accepting
    )
    tied = [(cost, zone) for cost, zone in scored if cost <= scored[0][0] + COST_TOLERANCE_MS]
    cost_ms, zone = max(tied, key=lambda each: _hash_pair(spec.job, each[1]))
    reason = f"{zone}: expected cost {cost_ms} ms of waiting"
    others = [each for each in scored if each[1] != zone]
    if others:
        reason += f", next {others[0][1]} with {others[0][0]} ms"
    return ZoneChoice(zone, reason, len(known))


def make_zone_digest(
    state: PlacementState, zone: ZoneId, region: RegionId, now: Instant, accepting: bool = True
) -> ZoneDigest:
    """Return the digest of a zone's placement, in time that does not grow with its tasks."""
    summary = summarize_placement(state, now)
    return ZoneDigest(
        zone,
        region,
        summary.free.millicores,
        summary.free.memory_mib,
        summary.free.accelerators,
        summary.total.millicores,
        summary.total.memory_mib,
        summary.total.accelerators,
        summary.largest.millicores,
        summary.largest.memory_mib,
        summary.largest.accelerators,
        summary.waiting.millicores,
        summary.waiting.memory_mib,
        summary.waiting.accelerators,
        summary.oldest_wait_ms,
        accepting,
    )


def _hash_pair(job: JobId, zone: ZoneId) -> int:
    """Return a hash of job and zone, which orders the zones differently for each job."""
    return zlib.crc32(f"{job}|{zone}".encode())


def _is_allowed(spec: JobSpec, digest: ZoneDigest) -> bool:
    policy = spec.policy
    if policy.zones and digest.zone not in policy.zones:
        return False
    return not policy.regions or digest.region in policy.regions


def _can_ever_fit(spec: JobSpec, digest: ZoneDigest) -> bool:
    largest = Resources(
        digest.largest_millicores, digest.largest_memory_mib, digest.largest_accelerators
    )
    total = Resources(digest.total_millicores, digest.total_memory_mib, digest.total_accelerators)
    concurrent_tasks = spec.tasks if spec.kind is WorkloadKind.GANG else 1
    return spec.resources.fits_in(largest) and spec.resources.multiply(concurrent_tasks).fits_in(
        total
    )


def _estimate_cost_ms(spec: JobSpec, digest: ZoneDigest, home: RegionId, input_bytes: int) -> int:
    """Return the expected wait plus the price of transfers, in milliseconds of waiting."""
    is_remote = digest.region != home
    price_ms = (input_bytes >> 20) * TRANSFER_COST_MS_PER_MIB if is_remote else 0
    needed = spec.resources.multiply(spec.tasks)
    wait_ms = max(
        _estimate_wait_ms(
            needed.millicores,
            digest.waiting_millicores,
            digest.free_millicores,
            digest.total_millicores,
            spec.run_ms,
        ),
        _estimate_wait_ms(
            needed.memory_mib,
            digest.waiting_memory_mib,
            digest.free_memory_mib,
            digest.total_memory_mib,
            spec.run_ms,
        ),
        _estimate_wait_ms(
            needed.accelerators,
            digest.waiting_accelerators,
            digest.free_accelerators,
            digest.total_accelerators,
            spec.run_ms,
        ),
    )
    return wait_ms + min(digest.oldest_wait_ms, MAX_QUEUE_AGE_MS) + price_ms


def _estimate_wait_ms(needed: int, waiting: int, free: int, total: int, run_ms: int) -> int:
    """Return the expected wait in ms for one resource.

    It is the time until the demand beyond the free amount is served. One ms is added per percent
    of the zone's utilization with the job, so that a fuller zone costs slightly more.
    """
    if not needed:
        return 0
    lacking = max(0, needed + waiting - free)
    fullness = (total - free + needed) * 100 // max(1, total)
    return lacking * run_ms // max(1, total) + fullness


def _describe_forbidden(spec: JobSpec) -> str:
    policy = spec.policy
    places = ", ".join((*policy.zones, *policy.regions))
    return f"refused: its policy allows only {places}, and there is no such zone"


def _describe_too_large(spec: JobSpec, allowed: list[ZoneDigest]) -> str:
    names = ", ".join(each.zone for each in allowed)
    return f"refused: no worker, or not enough of them, in {names} could ever hold it"

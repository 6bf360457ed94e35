"""The choice of a zone for a job, by room, queue age and the price of bytes between regions."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from lentilpath_core.ids import Instant, JobId, RegionId, ZoneId
from lentilpath_core.placement import PlacementState, summarize_placement
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import JobSpec, WorkloadKind
from lentilpath_core.zone_choice._digest import ZoneDigest

MILLISECONDS_PER_PRICED_MIB = 1_000
"""A MiB across regions is worth this much waiting."""
ALIKE_MS = 500
"""Zones whose costs differ by less share the jobs, so that a lagging digest draws no herd."""
MAX_QUEUE_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class ZoneChoice:
    """The zone for a job, or why there is none."""

    zone: ZoneId | None
    reason: str
    considered: int
    """Zones that were looked at."""


def choose_zone(
    spec: JobSpec, digests: Iterable[ZoneDigest], home: RegionId, input_bytes: int = 0
) -> ZoneChoice:
    """Return the allowed zone where the job is expected to start first for the least price.

    `home` is the region of the job's input; `input_bytes` are paid for if another region runs it.
    If no zone can ever run the job, `ZoneChoice.zone` is `None`.
    """
    known = list(digests)
    allowed = [each for each in known if _is_allowed(spec, each)]
    if not allowed:
        return ZoneChoice(None, _describe_forbidden(spec), len(known))
    fitting = [each for each in allowed if _can_ever_hold(spec, each)]
    if not fitting:
        return ZoneChoice(None, _describe_too_large(spec, allowed), len(known))
    accepting = [each for each in fitting if each.accepting] or fitting
    scored = sorted((_score(spec, each, home, input_bytes), each.zone) for each in accepting)
    alike = [(cost, zone) for cost, zone in scored if cost <= scored[0][0] + ALIKE_MS]
    cost_ms, zone = max(alike, key=lambda each: _hash_pair(spec.job, each[1]))
    reason = f"{zone}: expected cost {cost_ms} ms of waiting"
    others = [each for each in scored if each[1] != zone]
    if others:
        reason += f", next {others[0][1]} with {others[0][0]} ms"
    return ZoneChoice(zone, reason, len(known))


def digest_zone(
    state: PlacementState, zone: ZoneId, region: RegionId, now: Instant, accepting: bool = True
) -> ZoneDigest:
    """Return the digest of a zone's placement; the cost does not grow with its tasks."""
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
    """Return a number that puts the zones into another order for each job."""
    return zlib.crc32(f"{job}|{zone}".encode())


def _is_allowed(spec: JobSpec, digest: ZoneDigest) -> bool:
    policy = spec.policy
    if policy.zones and digest.zone not in policy.zones:
        return False
    return not policy.regions or digest.region in policy.regions


def _can_ever_hold(spec: JobSpec, digest: ZoneDigest) -> bool:
    largest = Resources(
        digest.largest_millicores, digest.largest_memory_mib, digest.largest_accelerators
    )
    total = Resources(digest.total_millicores, digest.total_memory_mib, digest.total_accelerators)
    together = spec.tasks if spec.kind is WorkloadKind.GANG else 1
    return spec.resources.fits_in(largest) and spec.resources.multiply(together).fits_in(total)


def _score(spec: JobSpec, digest: ZoneDigest, home: RegionId, input_bytes: int) -> int:
    """Return the expected wait and the price of bytes, both in milliseconds of waiting."""
    away = digest.region != home
    price_ms = (input_bytes >> 20) * MILLISECONDS_PER_PRICED_MIB if away else 0
    needed = spec.resources.multiply(spec.tasks)
    wait_ms = max(
        _expect_wait(
            needed.millicores,
            digest.waiting_millicores,
            digest.free_millicores,
            digest.total_millicores,
            spec.run_ms,
        ),
        _expect_wait(
            needed.memory_mib,
            digest.waiting_memory_mib,
            digest.free_memory_mib,
            digest.total_memory_mib,
            spec.run_ms,
        ),
        _expect_wait(
            needed.accelerators,
            digest.waiting_accelerators,
            digest.free_accelerators,
            digest.total_accelerators,
            spec.run_ms,
        ),
    )
    return wait_ms + min(digest.oldest_wait_ms, MAX_QUEUE_MS) + price_ms


def _expect_wait(needed: int, waiting: int, free: int, total: int, run_ms: int) -> int:
    """Return how long the part that finds no room has to wait; a fuller zone costs a little."""
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

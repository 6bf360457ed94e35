"""Chooses the zone of a submitted job by zone digests: summaries of free resources and queues.

Digests are requested when a job is submitted, first from the zones of the host's own region. Zones
of other regions are queried only if no zone of the own region can start the whole job at once,
because traffic between regions is billed.
"""

from __future__ import annotations

import asyncio
import zlib
from dataclasses import dataclass, field

from lentilpath_core.errors import InvalidJob, LentilpathError
from lentilpath_core.ids import Instant, RegionId, ZoneId
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import JobSpec
from lentilpath_core.zone_choice import ZoneDigest, choose_zone
from lentilpathd._clock import read_instant
from lentilpathd._context import DaemonContext
from lentilpathd._operators._zones import ZoneQueryService

DIGEST_TTL_MS = 2_000


@dataclass(slots=True)
class ZoneChooser:
    """Chooses zones by digests, each cached for `DIGEST_TTL_MS`."""

    context: DaemonContext
    zones: ZoneQueryService
    _digests: dict[ZoneId, tuple[Instant, ZoneDigest]] = field(default_factory=dict)

    async def choose(self, spec: JobSpec) -> tuple[ZoneId, str]:
        """Return the zone for the job and the reason; raises `InvalidJob` if no zone can run it."""
        regions = self._map_regions()
        allowed = _list_allowed(spec, regions)
        if not allowed:
            raise InvalidJob(
                f"job {spec.job}: no zone is allowed by zones={','.join(spec.policy.zones)} "
                f"regions={','.join(spec.policy.regions)}; the zones are {', '.join(regions)}"
            )
        if len(allowed) == 1:
            return allowed[0], "the only zone that its policy allows"
        own_region = self.context.settings.region
        own_region_zones = [zone for zone in allowed if regions[zone] == own_region]
        digests = await self._gather_digests(own_region_zones)
        if not any(_fits_now(spec, digest) for digest in digests):
            other_zones = [zone for zone in allowed if zone not in own_region_zones]
            digests = [*digests, *await self._gather_digests(other_zones)]
        choice = choose_zone(spec, digests, own_region)
        if choice.zone is not None:
            return choice.zone, choice.reason
        return self._choose_by_directory(spec, allowed)

    def _choose_by_directory(self, spec: JobSpec, allowed: list[ZoneId]) -> tuple[ZoneId, str]:
        # No zone answered, or the zones that did have a new leader that does not know all of its
        # workers yet. Refuse the job only if no worker in the directory is large enough for a task.
        candidates = [zone for zone in allowed if self._may_fit(spec, zone)]
        if not candidates:
            raise InvalidJob(
                f"job {spec.job}: no worker in {', '.join(allowed)} is large enough for a task of "
                f"{spec.resources.millicores} millicores, {spec.resources.memory_mib} MiB and "
                f"{spec.resources.accelerators} accelerators; make the tasks smaller"
            )
        index = zlib.crc32(spec.job.encode()) % len(candidates)
        return candidates[index], "no zone could say how much room it has"

    def _may_fit(self, spec: JobSpec, zone: ZoneId) -> bool:
        workers = self.context.directory.list_workers(zone)
        return not workers or any(spec.resources.fits_in(worker.capacity) for worker in workers)

    def _map_regions(self) -> dict[ZoneId, RegionId]:
        settings = self.context.settings
        regions = {peer.zone: peer.region for peer in settings.entry_hosts}
        regions[settings.zone] = settings.region
        return dict(sorted(regions.items()))

    async def _gather_digests(self, zones: list[ZoneId]) -> list[ZoneDigest]:
        found = await asyncio.gather(*(self._get_digest(zone) for zone in zones))
        return [digest for digest in found if digest is not None]

    async def _get_digest(self, zone: ZoneId) -> ZoneDigest | None:
        cached = self._digests.get(zone)
        now = read_instant()
        if cached is not None and now - cached[0] < DIGEST_TTL_MS:
            return cached[1]
        try:
            digest = await self.zones.ask_digest(zone)
        except LentilpathError:
            self._digests.pop(zone, None)
            return None
        self._digests[zone] = (now, digest)
        return digest


def _list_allowed(spec: JobSpec, regions: dict[ZoneId, RegionId]) -> list[ZoneId]:
    policy = spec.policy
    return [
        zone
        for zone, region in regions.items()
        if (not policy.zones or zone in policy.zones)
        and (not policy.regions or region in policy.regions)
    ]


def _fits_now(spec: JobSpec, digest: ZoneDigest) -> bool:
    free = Resources(digest.free_millicores, digest.free_memory_mib, digest.free_accelerators)
    needed = spec.resources.multiply(spec.tasks)
    return digest.accepting and digest.waiting_millicores == 0 and needed.fits_in(free)

"""Which zone takes a submitted job: digests of zones, asked for when a job comes.

The zones of the host's own region are asked first. Other regions are asked only if none of them has
room at once, because bytes between regions are paid for.
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
from lentilpathd._operators._zones import Zones

DIGEST_LIFE_MS = 2_000


@dataclass(slots=True)
class Placing:
    """Chooses zones by digests that are at most `DIGEST_LIFE_MS` old."""

    context: DaemonContext
    zones: Zones
    _digests: dict[ZoneId, tuple[Instant, ZoneDigest]] = field(default_factory=dict)

    async def choose(self, spec: JobSpec) -> tuple[ZoneId, str]:
        """Return the zone for the job and the reason; raises `InvalidJob` if none may run it."""
        regions = self._map_regions()
        allowed = _list_allowed(spec, regions)
        if not allowed:
            raise InvalidJob(
                f"job {spec.job}: no zone is allowed by zones={','.join(spec.policy.zones)} "
                f"regions={','.join(spec.policy.regions)}; the zones are {', '.join(regions)}"
            )
        if len(allowed) == 1:
            return allowed[0], "the only zone that its policy allows"
        home = self.context.settings.region
        near = [zone for zone in allowed if regions[zone] == home]
        digests = await self._gather(near)
        if not any(_has_room_now(spec, digest) for digest in digests):
            far = [zone for zone in allowed if zone not in near]
            digests = [*digests, *await self._gather(far)]
        choice = choose_zone(spec, digests, home)
        if choice.zone is not None:
            return choice.zone, choice.reason
        return self._choose_by_list(spec, allowed)

    def _choose_by_list(self, spec: JobSpec, allowed: list[ZoneId]) -> tuple[ZoneId, str]:
        # No zone answered, or those that did have just got a leader that does not know all of its
        # workers yet. A job is refused only if no listed worker is large enough for a task.
        holding = [zone for zone in allowed if self._may_hold(spec, zone)]
        if not holding:
            raise InvalidJob(
                f"job {spec.job}: no worker in {', '.join(allowed)} is large enough for a task of "
                f"{spec.resources.millicores} millicores, {spec.resources.memory_mib} MiB and "
                f"{spec.resources.accelerators} accelerators; make the tasks smaller"
            )
        place = zlib.crc32(spec.job.encode()) % len(holding)
        return holding[place], "no zone could say how much room it has"

    def _may_hold(self, spec: JobSpec, zone: ZoneId) -> bool:
        workers = self.context.directory.list_workers(zone)
        return not workers or any(spec.resources.fits_in(worker.capacity) for worker in workers)

    def _map_regions(self) -> dict[ZoneId, RegionId]:
        settings = self.context.settings
        regions = {peer.zone: peer.region for peer in settings.entry_hosts}
        regions[settings.zone] = settings.region
        return dict(sorted(regions.items()))

    async def _gather(self, zones: list[ZoneId]) -> list[ZoneDigest]:
        found = await asyncio.gather(*(self._get_digest(zone) for zone in zones))
        return [digest for digest in found if digest is not None]

    async def _get_digest(self, zone: ZoneId) -> ZoneDigest | None:
        known = self._digests.get(zone)
        now = read_instant()
        if known is not None and now - known[0] < DIGEST_LIFE_MS:
            return known[1]
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


def _has_room_now(spec: JobSpec, digest: ZoneDigest) -> bool:
    free = Resources(digest.free_millicores, digest.free_memory_mib, digest.free_accelerators)
    needed = spec.resources.multiply(spec.tasks)
    return digest.accepting and digest.waiting_millicores == 0 and needed.fits_in(free)

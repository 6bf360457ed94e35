"""Fixed-seed workloads at the sizes of both deployments, with declared and actual values."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lentilpath_core.ids import CustomerId, JobId, RackId, RegionId, TeamId, WorkerId, ZoneId
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import JobSpec, Policy, PriorityClass, Strategy, WorkloadKind

MINUTE_MS = 60_000
HOUR_MS = 3_600_000
LOAD_MS = 3 * HOUR_MS
"""Length of one load; the pre-dawn peak begins after one hour."""
PEAK_AT_MS = HOUR_MS
TEAMS = ("menus", "boxes", "packing", "allergens", "skips", "reports")
FLOODING_TEAM = "menus"
FAULT_AT_MS = HOUR_MS + 20 * MINUTE_MS
ZONE_RESTORED_AT_MS = FAULT_AT_MS + 20 * MINUTE_MS
WORKERS_PER_ZONE = 8
ZONES = 3


@dataclass(frozen=True, slots=True)
class Size:
    """The workers of a deployment."""

    name: str
    zones: tuple[tuple[ZoneId, RegionId], ...]
    capacity: Resources
    accelerators: int
    """Accelerators of the first worker of each zone; the others have none."""


HARBOR_SPOON = Size(
    "harbor-spoon",
    (
        (ZoneId("portland-dock"), RegionId("coastal-maine")),
        (ZoneId("holyoke-mill"), RegionId("pioneer-valley")),
        (ZoneId("pawtucket-yard"), RegionId("narragansett")),
    ),
    Resources(32_000, 131_072),
    8,
)
DHUNGEDHARA = Size(
    "dhungedhara",
    (
        (ZoneId("patan"), RegionId("bagmati")),
        (ZoneId("pokhara"), RegionId("gandaki")),
        (ZoneId("butwal"), RegionId("lumbini")),
    ),
    Resources(16_000, 65_536),
    4,
)
SIZES = (HARBOR_SPOON, DHUNGEDHARA)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job, its arrival time, and its actual run time and usage, which the job may misdeclare."""

    at_ms: int
    spec: JobSpec
    actual_run_ms: int
    actual_usage: Resources
    fails: bool = False


@dataclass(frozen=True, slots=True)
class Load:
    """All external events of one measurement."""

    name: str
    size: Size
    arrivals: tuple[Arrival, ...]
    cancel_at_ms: int | None = None
    cancelled_share: float = 0.3
    failing_workers: tuple[WorkerId, ...] = ()
    zone_outage_ms: tuple[int, int] | None = None
    """Times in ms at which the last zone is lost and restored."""
    quotas: dict[TeamId, Resources] = field(default_factory=dict)
    """Guaranteed resources by team, the same in each zone."""


def list_workers(size: Size) -> list[tuple[ZoneId, WorkerId, RackId, Resources]]:
    """Return zone, name, rack and capacity of each worker; a rack holds one zone's workers."""
    workers = []
    for zone, _ in size.zones:
        for number in range(WORKERS_PER_ZONE):
            accelerators = size.accelerators if number == 0 else 0
            capacity = replace(size.capacity, accelerators=accelerators)
            worker = WorkerId(f"{zone}-{number:02d}")
            workers.append((zone, worker, RackId(f"{zone}-rack"), capacity))
    return workers


def create_load(name: str, size: Size, seed: int = 20) -> Load:
    """Return the load of this name; equal arguments give equal loads."""
    return LOADS[name](size, random.Random(f"{seed}/{size.name}"))


def _create_day(size: Size, rng: random.Random) -> Load:
    arrivals: list[Arrival] = []
    arrivals.extend(_make_services(size))
    arrivals.extend(_make_urgent(size, rng, 0, LOAD_MS, 0.4))
    arrivals.extend(_make_batches(size, rng, 0, LOAD_MS, 0.25, flood=False))
    arrivals.extend(
        _make_batches(size, rng, PEAK_AT_MS, PEAK_AT_MS + HOUR_MS // 2, 0.9, flood=True)
    )
    arrivals.extend(_make_gangs(size, rng))
    arrivals.extend(_make_background(size, rng))
    arrivals.sort(key=lambda each: (each.at_ms, each.spec.job))
    return Load("day", size, tuple(arrivals), quotas=_make_quotas(size))


def _create_storm(size: Size, rng: random.Random) -> Load:
    day = _create_day(size, rng)
    storm = _make_urgent(size, rng, FAULT_AT_MS, FAULT_AT_MS + 5 * MINUTE_MS, 8.0, "storm")
    arrivals = sorted((*day.arrivals, *storm), key=lambda each: (each.at_ms, each.spec.job))
    return replace(day, name="storm", arrivals=tuple(arrivals))


def _create_misdeclared(size: Size, rng: random.Random) -> Load:
    day = _create_day(size, rng)
    factors: dict[str, float] = {}
    arrivals = []
    for each in day.arrivals:
        factor = factors.setdefault(each.spec.workload, rng.choice((0.25, 1.0, 4.0)))
        arrivals.append(_misdeclare(each, factor, size))
    return replace(day, name="lies", arrivals=tuple(arrivals))


def _create_impossible(size: Size, rng: random.Random) -> Load:
    day = _create_day(size, rng)
    arrivals = []
    for each in day.arrivals:
        if each.spec.kind is WorkloadKind.SERVICE or rng.random() >= 0.05:
            arrivals.append(each)
        elif rng.random() < 0.5:
            huge = replace(each.spec, resources=size.capacity.multiply(2))
            arrivals.append(replace(each, spec=huge))
        else:
            broken = replace(each.spec, workload=f"{each.spec.workload}-broken-{each.at_ms % 7}")
            arrivals.append(replace(each, spec=broken, fails=True))
    return replace(day, name="impossible", arrivals=tuple(arrivals))


def _create_cancel(size: Size, rng: random.Random) -> Load:
    return replace(_create_day(size, rng), name="cancel", cancel_at_ms=FAULT_AT_MS)


def _create_bad_workers(size: Size, rng: random.Random) -> Load:
    workers = [worker for _, worker, _, _ in list_workers(size)]
    return replace(
        _create_day(size, rng), name="bad-workers", failing_workers=(workers[3], workers[12])
    )


def _create_zone_lost(size: Size, rng: random.Random) -> Load:
    day = _create_day(size, rng)
    return replace(day, name="zone-lost", zone_outage_ms=(FAULT_AT_MS, ZONE_RESTORED_AT_MS))


LOADS: dict[str, Callable[[Size, random.Random], Load]] = {
    "day": _create_day,
    "storm": _create_storm,
    "lies": _create_misdeclared,
    "impossible": _create_impossible,
    "cancel": _create_cancel,
    "bad-workers": _create_bad_workers,
    "zone-lost": _create_zone_lost,
}


def _make_quotas(size: Size) -> dict[TeamId, Resources]:
    """Return a guarantee of an eighth of a zone for each team."""
    zone = size.capacity.multiply(WORKERS_PER_ZONE)
    eighth = Resources(zone.millicores // 8, zone.memory_mib // 8, 0)
    return {TeamId(team): eighth for team in TEAMS}


def _compute_scale(size: Size) -> float:
    """Return the size of the workers relative to those of the smaller deployment."""
    return size.capacity.millicores / DHUNGEDHARA.capacity.millicores


def _make_spec(
    name: str,
    team: str,
    kind: WorkloadKind,
    tasks: int,
    resources: Resources,
    run_ms: int,
    policy: Policy,
    workload: str,
) -> JobSpec:
    return JobSpec(
        JobId(name),
        TeamId(team),
        CustomerId("customer"),
        kind,
        tasks,
        resources,
        run_ms,
        policy,
        workload,
    )


def _make_services(size: Size) -> list[Arrival]:
    """Return two services for each zone, which use a quarter of its processors and memory."""
    arrivals = []
    for zone, _ in size.zones:
        for team in TEAMS[:2]:
            resources = Resources(size.capacity.millicores // 8, size.capacity.memory_mib // 8)
            policy = Policy(strategy=Strategy.SPREAD, min_replicas=6, zones=(zone,))
            spec = _make_spec(
                f"service-{team}-{zone}",
                team,
                WorkloadKind.SERVICE,
                8,
                resources,
                1,
                policy,
                f"service-{team}",
            )
            arrivals.append(Arrival(0, spec, 10 * LOAD_MS, resources))
    return arrivals


def _make_urgent(
    size: Size, rng: random.Random, begin: int, end: int, per_second: float, name: str = "check"
) -> list[Arrival]:
    """Return urgent jobs: one small, short task with a deadline (swap checks)."""
    arrivals = []
    at_ms = float(begin)
    rate = per_second * _compute_scale(size) / 2
    while (at_ms := at_ms + rng.expovariate(rate) * 1_000) < end:
        run_ms = round(rng.lognormvariate(math.log(3_000), 0.7))
        resources = Resources(rng.choice((1_000, 2_000)), rng.choice((1_024, 2_048)))
        policy = Policy(priority=PriorityClass.URGENT, deadline_ms=run_ms + 10_000, idempotent=True)
        spec = _make_spec(
            f"{name}-{len(arrivals):06d}",
            rng.choice(TEAMS),
            WorkloadKind.BATCH,
            1,
            resources,
            run_ms,
            policy,
            "check",
        )
        arrivals.append(Arrival(int(at_ms), spec, run_ms, resources))
    return arrivals


def _make_batches(
    size: Size, rng: random.Random, begin: int, end: int, per_minute: float, flood: bool
) -> list[Arrival]:
    """Return batch jobs: many tasks of minutes with a deadline of one or two hours (rebuilds)."""
    arrivals = []
    at_ms = float(begin)
    name = "rebuild" if flood else "batch"
    while (at_ms := at_ms + rng.expovariate(per_minute) * MINUTE_MS) < end:
        team = FLOODING_TEAM if flood else rng.choice(TEAMS)
        tasks = round(rng.randint(20, 60) * _compute_scale(size) * (2 if flood else 1))
        cores = rng.choice((1, 2, 4))
        resources = Resources(cores * 1_000, cores * rng.choice((2_048, 4_096, 6_144)))
        run_ms = round(rng.lognormvariate(math.log(150_000), 0.5))
        policy = Policy(
            deadline_ms=run_ms + rng.choice((HOUR_MS, 2 * HOUR_MS)),
            checkpointable=rng.random() < 0.6,
            idempotent=True,
        )
        spec = _make_spec(
            f"{name}-{len(arrivals):04d}",
            team,
            WorkloadKind.BATCH,
            tasks,
            resources,
            run_ms,
            policy,
            f"{name}-{team}-{cores}-{resources.memory_mib}",
        )
        arrivals.append(Arrival(int(at_ms), spec, run_ms, resources))
    return arrivals


def _make_gangs(size: Size, rng: random.Random) -> list[Arrival]:
    """Return gangs, whose tasks start together, a quarter of them with accelerators."""
    arrivals = []
    at_ms = 0.0
    while (at_ms := at_ms + rng.expovariate(0.25) * MINUTE_MS) < LOAD_MS:
        accelerated = rng.random() < 0.25
        tasks = rng.choice((2, 4)) if accelerated else rng.choice((4, 8, 12))
        cores = size.capacity.millicores // (16 if accelerated else 4)
        resources = Resources(cores, cores * 3, 1 if accelerated else 0)
        run_ms = round(rng.lognormvariate(math.log(240_000), 0.4))
        spec = _make_spec(
            f"gang-{len(arrivals):04d}",
            rng.choice(TEAMS),
            WorkloadKind.GANG,
            tasks,
            resources,
            run_ms,
            Policy(idempotent=True),
            f"gang-{accelerated}-{tasks}",
        )
        arrivals.append(Arrival(int(at_ms), spec, run_ms, resources))
    return arrivals


def _make_background(size: Size, rng: random.Random) -> list[Arrival]:
    """Return background jobs: small tasks without a deadline, most of them stoppable (surveys)."""
    arrivals = []
    at_ms = 0.0
    while (at_ms := at_ms + rng.expovariate(1.5) * MINUTE_MS) < LOAD_MS:
        tasks = round(rng.randint(5, 20) * _compute_scale(size))
        resources = Resources(1_000, rng.choice((2_048, 4_096)))
        run_ms = round(rng.lognormvariate(math.log(120_000), 0.5))
        policy = Policy(
            priority=PriorityClass.BACKGROUND, idempotent=True, stoppable=rng.random() < 0.7
        )
        spec = _make_spec(
            f"survey-{len(arrivals):04d}",
            rng.choice(TEAMS),
            WorkloadKind.BATCH,
            tasks,
            resources,
            run_ms,
            policy,
            "survey",
        )
        arrivals.append(Arrival(int(at_ms), spec, run_ms, resources))
    return arrivals


def _misdeclare(arrival: Arrival, factor: float, size: Size) -> Arrival:
    """Return the arrival with its declared resources and run time multiplied by `factor`."""
    spec = arrival.spec
    if spec.kind is WorkloadKind.SERVICE:
        return arrival
    limit = size.capacity
    resources = Resources(
        max(250, min(limit.millicores, round(spec.resources.millicores * factor))),
        max(256, min(limit.memory_mib, round(spec.resources.memory_mib * factor))),
        spec.resources.accelerators,
    )
    run_ms = max(1, round(spec.run_ms * factor))
    return replace(arrival, spec=replace(spec, resources=resources, run_ms=run_ms))

"""Feasibility checks that find jobs which can never run in a zone."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from lentilpath_core.ids import RegionId, WallTime, ZoneId
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import JobSpec, WorkloadKind


def find_refusal(
    spec: JobSpec,
    capacities: Iterable[Resources],
    wall_now: WallTime,
    region: RegionId | None = None,
    zone: ZoneId | None = None,
) -> str | None:
    """Return why the job can never run on workers of these capacities, or `None` if it can.

    The reason is a message for the submitter. `wall_now` is the current wall time; a job whose
    input is already too old is refused. `region` and `zone` locate the workers; omit them to skip
    the check of the region and zone that the policy allows.
    """
    policy = spec.policy
    if zone is not None and policy.zones and zone not in policy.zones:
        return f"refused: its policy allows the zones {', '.join(policy.zones)}, not {zone}"
    if region is not None and policy.regions and region not in policy.regions:
        return f"refused: its policy allows the regions {', '.join(policy.regions)}, not {region}"
    if is_input_stale(spec, wall_now):
        return describe_stale_input(spec, wall_now)
    return find_size_refusal(spec, spec.resources, Counter(capacities))


def find_size_refusal(
    spec: JobSpec, needed: Resources, capacities: Counter[Resources]
) -> str | None:
    """Return why tasks of the size `needed` can never run on these workers, even empty, or `None`.

    `capacities` counts the workers of each capacity.
    """
    fitting = [capacity for capacity in capacities if needed.fits_in(capacity)]
    if not fitting:
        return f"refused: a task needs {describe_room(needed)} and no worker is so large"
    if spec.kind is not WorkloadKind.GANG:
        return None
    total_fitting = 0
    for capacity in fitting:
        total_fitting += count_tasks_in(needed, capacity) * capacities[capacity]
        if total_fitting >= spec.tasks:
            return None
    return (
        f"refused: its {spec.tasks} tasks must start together and all workers, empty, "
        f"have room for {total_fitting}"
    )


def is_input_stale(spec: JobSpec, wall_now: WallTime) -> bool:
    """Return whether the job's input is older than its policy allows when a task starts."""
    policy = spec.policy
    if policy.input_max_age_ms is None or policy.input_written_at_ms is None:
        return False
    return wall_now - policy.input_written_at_ms > policy.input_max_age_ms


def describe_stale_input(spec: JobSpec, wall_now: WallTime) -> str:
    """Return the reason for refusing a job with a stale input."""
    age_ms = wall_now - (spec.policy.input_written_at_ms or 0)
    return (
        f"refused: its input is {age_ms} ms old and may be {spec.policy.input_max_age_ms} ms old; "
        "submit it again with a fresh input"
    )


def count_tasks_in(needed: Resources, room: Resources) -> int:
    """Return how many tasks of the size `needed` fit into `room` together."""
    counts = [room.millicores // needed.millicores, room.memory_mib // needed.memory_mib]
    if needed.accelerators:
        counts.append(room.accelerators // needed.accelerators)
    return max(0, min(counts))


def describe_room(room: Resources) -> str:
    """Return an amount of resources as text for reasons and explanations."""
    text = f"{room.millicores} millicores and {room.memory_mib} MiB"
    return f"{text} and {room.accelerators} accelerators" if room.accelerators else text

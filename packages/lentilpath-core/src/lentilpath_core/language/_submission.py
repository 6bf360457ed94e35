"""Conversion of the assignments of `submit` into a job."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, TypeVar

from lentilpath_core.ids import CustomerId, JobId, RegionId, TeamId, ZoneId
from lentilpath_core.language._units import (
    InvalidValue,
    parse_count,
    parse_duration_ms,
    parse_flag,
    parse_memory_mib,
    parse_millicores,
)
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import JobSpec, Policy, PriorityClass, Strategy, WorkloadKind

E = TypeVar("E", bound=Enum)

DEFAULT_RUN_MS = 1_000
DEFAULT_RETRIES = 3


@dataclass(slots=True)
class JobDraft:
    """Values of a submission, collected while it is parsed."""

    values: dict[str, Any] = field(default_factory=dict)
    parameters: list[tuple[str, str]] = field(default_factory=list)


def _parse_choice(kind: type[E]) -> Callable[[str], E]:
    def parse(text: str) -> E:
        try:
            return kind(text.lower())
        except ValueError as error:
            known = ", ".join(str(option.value) for option in kind)
            raise InvalidValue(f"{text!r} is not one of {known}") from error

    return parse


SINGLE_VALUES: dict[str, Callable[[str], Any]] = {
    "tasks": parse_count,
    "cpu": parse_millicores,
    "memory": parse_memory_mib,
    "accelerators": parse_count,
    "run": parse_duration_ms,
    "team": str,
    "customer": str,
    "priority": _parse_choice(PriorityClass),
    "deadline": parse_duration_ms,
    "strategy": _parse_choice(Strategy),
    "idempotent": parse_flag,
    "retries": parse_count,
    "checkpointable": parse_flag,
    "min_replicas": parse_count,
    "input_written_at": parse_count,
    "input_max_age": parse_duration_ms,
    "workload": str,
}
LIST_VALUES = ("zones", "regions")
REQUIRED_VALUES = ("team", "customer")
PARAMETER_PREFIX = "param."
SUBMIT_KEYS = (*SINGLE_VALUES, *LIST_VALUES, f"{PARAMETER_PREFIX}NAME")


def add_submit_value(draft: JobDraft, key: str, values: tuple[str, ...]) -> None:
    """Add one assignment to `draft`; raises `InvalidValue`, or `KeyError` for an unknown key."""
    if key in draft.values:
        raise InvalidValue(f"{key} is given twice; keep one")
    if key in LIST_VALUES:
        draft.values[key] = values
        return
    if len(values) > 1:
        raise InvalidValue(f"{key} takes one value, not {len(values)}")
    if key.startswith(PARAMETER_PREFIX):
        draft.parameters.append((key.removeprefix(PARAMETER_PREFIX), values[0]))
        return
    draft.values[key] = SINGLE_VALUES[key](values[0])


def make_job_spec(kind: WorkloadKind, job: str, draft: JobDraft) -> JobSpec:
    """Return the job that `draft` describes; raises `InvalidValue` for a missing key."""
    values = draft.values
    for key in REQUIRED_VALUES:
        if key not in values:
            raise InvalidValue(f"{key} is missing; add {key}=NAME")
    resources = Resources(
        values.get("cpu", 1_000), values.get("memory", 512), values.get("accelerators", 0)
    )
    return JobSpec(
        job=JobId(job),
        team=TeamId(values["team"]),
        customer=CustomerId(values["customer"]),
        kind=kind,
        tasks=values.get("tasks", 1),
        resources=resources,
        run_ms=values.get("run", DEFAULT_RUN_MS),
        policy=_make_policy(values),
        workload=values.get("workload", ""),
        parameters=tuple(draft.parameters),
    )


def _make_policy(values: dict[str, Any]) -> Policy:
    return Policy(
        priority=values.get("priority", PriorityClass.NORMAL),
        deadline_ms=values.get("deadline"),
        regions=tuple(RegionId(region) for region in values.get("regions", ())),
        zones=tuple(ZoneId(zone) for zone in values.get("zones", ())),
        strategy=values.get("strategy", Strategy.PACK),
        idempotent=values.get("idempotent", False),
        retry_limit=values.get("retries", DEFAULT_RETRIES),
        checkpointable=values.get("checkpointable", False),
        min_replicas=values.get("min_replicas", 0),
        input_written_at_ms=values.get("input_written_at"),
        input_max_age_ms=values.get("input_max_age"),
    )

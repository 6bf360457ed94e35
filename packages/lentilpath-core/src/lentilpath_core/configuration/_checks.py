"""Validation of a configuration, which reports all problems at once."""

from __future__ import annotations

import re
from typing import Any

import json5
import msgspec

from lentilpath_core.configuration._model import (
    CellConfiguration,
    CustomerSettings,
    ObjectiveKind,
    ObjectiveSettings,
)
from lentilpath_core.configuration._structure import list_structure_errors
from lentilpath_core.errors import InvalidInput
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import PriorityClass

MAX_CONFIGURATION_BYTES = 1_000_000
MAX_NAME_LENGTH = 120
MILLION = 1_000_000
MAX_WINDOW_DAYS = 90
_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
_NAME_PATTERN = re.compile(rf"[\w.:-]{{1,{MAX_NAME_LENGTH}}}")
REQUEST_KINDS = (ObjectiveKind.REQUEST_ANSWERED, ObjectiveKind.REQUEST_TIME)
TIME_KINDS = (ObjectiveKind.REQUEST_TIME, ObjectiveKind.TASK_WAIT)


class InvalidConfiguration(InvalidInput):
    """A configuration is invalid; `problems` lists every problem."""

    code = "invalid-configuration"

    def __init__(self, problems: tuple[str, ...]) -> None:
        self.problems = problems
        count = f"{len(problems)} problem" + ("" if len(problems) == 1 else "s")
        super().__init__(f"{count}: " + "; ".join(problems))


def parse_document_text(text: str) -> Any:
    """Return the JSON with comments in `text` as plain values; raises `InvalidConfiguration`."""
    if len(text) > MAX_CONFIGURATION_BYTES:
        problem = f"it has {len(text)} characters; give at most {MAX_CONFIGURATION_BYTES}"
        raise InvalidConfiguration((problem,))
    try:
        return json5.loads(text, allow_duplicate_keys=False, parse_constant=_reject_constant)
    except ValueError as error:
        raise InvalidConfiguration((f"not JSON with comments: {error}",)) from error
    except RecursionError as error:
        raise InvalidConfiguration(("nested too deeply; flatten it",)) from error


def _reject_constant(text: str) -> None:
    raise ValueError(f"{text} is no amount; write a number")


def read_configuration(document: Any) -> CellConfiguration:
    """Return the configuration that `document` describes; raises `InvalidConfiguration`."""
    problems = list_structure_errors(document, CellConfiguration, "")
    if problems:
        raise InvalidConfiguration(tuple(problems))
    configuration = msgspec.convert(document, CellConfiguration)
    problems = list_value_errors(configuration)
    if problems:
        raise InvalidConfiguration(tuple(problems))
    return configuration


def list_value_errors(configuration: CellConfiguration) -> list[str]:
    """Return one line for each invalid value."""
    problems: list[str] = []
    for section in ("teams", "customers", "services", "price_rules", "objectives", "keys"):
        for name in getattr(configuration, section):
            if not _NAME_PATTERN.fullmatch(name):
                problems.append(
                    f"{section}.{name!r}: give 1 to {MAX_NAME_LENGTH} letters, digits "
                    "or any of '-_.:' as the name"
                )
    for team, settings in configuration.teams.items():
        problems.extend(_check_amounts(f"teams.{team}.quota", settings.quota))
        for zone, amount in settings.zones.items():
            problems.extend(_check_amounts(f"teams.{team}.zones.{zone}", amount))
    for customer, limits in configuration.customers.items():
        problems.extend(_check_customer(f"customers.{customer}", limits, configuration))
    for rule, prices in configuration.price_rules.items():
        for field in prices.__dataclass_fields__:
            if getattr(prices, field) < 0:
                problems.append(f"price_rules.{rule}.{field}: is negative; give 0 or more")
    for service, routing in configuration.services.items():
        problems.extend(_check_policy(f"services.{service}.requests", routing.requests))
    for name, objective in configuration.objectives.items():
        problems.extend(_check_objective(f"objectives.{name}", objective, configuration))
    problems.extend(_check_keys(configuration))
    return problems


def _check_amounts(path: str, amount: Resources) -> list[str]:
    return [
        f"{path}.{field}: is negative; give 0 or more"
        for field in ("millicores", "memory_mib", "accelerators")
        if getattr(amount, field) < 0
    ]


def _check_customer(
    path: str, limits: CustomerSettings, configuration: CellConfiguration
) -> list[str]:
    problems = [
        f"{path}.{field}: must be above 0"
        for field in ("requests_per_second", "burst", "in_flight")
        if getattr(limits, field) is not None and getattr(limits, field) <= 0
    ]
    if limits.price_rule and limits.price_rule not in configuration.price_rules:
        known = ", ".join(configuration.price_rules) or "none"
        problems.append(f"{path}.price_rule: no rule {limits.price_rule!r}; there are {known}")
    return problems


def _check_policy(path: str, policy: Any) -> list[str]:
    problems: list[str] = []
    for field in policy.__dataclass_fields__:
        value = getattr(policy, field)
        if isinstance(value, int | float) and value < 0:
            problems.append(f"{path}.{field}: is negative; give 0 or more")
    if policy.default_deadline_ms > policy.max_deadline_ms:
        problems.append(
            f"{path}.default_deadline_ms: is above max_deadline_ms ({policy.max_deadline_ms})"
        )
    if not 0 <= policy.min_pool_fraction <= 1:
        problems.append(f"{path}.min_pool_fraction: give a part from 0 to 1")
    return problems


def _check_objective(
    path: str, objective: ObjectiveSettings, configuration: CellConfiguration
) -> list[str]:
    problems: list[str] = []
    if not 0 < objective.target_per_million < MILLION:
        problems.append(
            f"{path}.target_per_million: is {objective.target_per_million}; give 1 to 999999"
        )
    if not 1 <= objective.window_days <= MAX_WINDOW_DAYS:
        problems.append(f"{path}.window_days: give 1 to {MAX_WINDOW_DAYS}")
    if objective.kind in TIME_KINDS and (objective.threshold_ms or 0) <= 0:
        problems.append(f"{path}.threshold_ms: {objective.kind.value} needs milliseconds above 0")
    if objective.kind in REQUEST_KINDS and objective.subject not in configuration.services:
        known = ", ".join(configuration.services) or "none"
        problems.append(f"{path}.subject: no service {objective.subject!r}; there are {known}")
    priorities = [priority.value for priority in PriorityClass]
    if objective.kind not in REQUEST_KINDS and objective.subject not in priorities:
        problems.append(f"{path}.subject: give one of {', '.join(priorities)}")
    return problems


def _check_keys(configuration: CellConfiguration) -> list[str]:
    problems: list[str] = []
    owners: dict[str, str] = {}
    for name, key in configuration.keys.items():
        if not _HASH_PATTERN.fullmatch(key.sha256):
            problems.append(
                f"keys.{name}.sha256: give 64 hexadecimal digits, as `lentilpath key create` does"
            )
        elif key.sha256 in owners:
            problems.append(f"keys.{name}.sha256: is the key of {owners[key.sha256]} too")
        owners.setdefault(key.sha256, name)
        for team in key.teams:
            if team not in configuration.teams:
                problems.append(f"keys.{name}.teams: no team {team!r} in teams")
    roles = {key.role.value for key in configuration.keys.values()}
    if roles and "administrator" not in roles:
        problems.append("keys: none is administrator, so nobody could change this again; add one")
    return problems

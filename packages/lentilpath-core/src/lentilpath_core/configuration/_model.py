"""The configuration of a cell, the same on every entry host."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from lentilpath_core.access import KeySettings
from lentilpath_core.ids import CustomerId, ServiceId, TeamId, ZoneId
from lentilpath_core.requests.policy import RequestPolicy
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.usage import FREE_PRICE_RULE, PriceRule


@dataclass(frozen=True, slots=True)
class TeamSettings:
    """Quota guaranteed to a team in each zone; other teams may borrow the unused part."""

    quota: Resources = NO_RESOURCES
    zones: dict[ZoneId, Resources] = field(default_factory=dict)
    """Zones in which another quota than `quota` applies."""


@dataclass(frozen=True, slots=True)
class CustomerSettings:
    """Limits of a customer's requests on each entry host, and the price of its usage."""

    price_rule: str = ""
    """Name of a rule; empty for no charge."""
    requests_per_second: float | None = None
    """`None` for the service's own default; the same holds for the other limits."""
    burst: float | None = None
    in_flight: int | None = None


@dataclass(frozen=True, slots=True)
class PriceSettings:
    """Prices in millionths of the currency per hour."""

    per_core_hour_micros: int = 0
    per_gib_hour_micros: int = 0
    per_accelerator_hour_micros: int = 0


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Limits and routing of requests for a service."""

    requests: RequestPolicy = RequestPolicy()


class ObjectiveKind(Enum):
    """What an objective counts as a good event."""

    REQUEST_ANSWERED = "request_answered"
    """A request of the service was answered (not refused, not of unknown outcome)."""
    REQUEST_TIME = "request_time"
    """A request of the service was answered within `threshold_ms`."""
    TASK_WAIT = "task_wait"
    """A task of the named priority started within `threshold_ms` of its acceptance."""
    TASK_SUCCESS = "task_success"
    """An attempt ended as succeeded."""


@dataclass(frozen=True, slots=True)
class ObjectiveSettings:
    """A service-level objective."""

    kind: ObjectiveKind
    subject: str
    """The service, or for tasks the priority class."""
    target_per_million: int
    """Good events required per million events, such as 999,000."""
    threshold_ms: int | None = None
    window_days: int = 28


@dataclass(frozen=True, slots=True)
class CellConfiguration:
    """The whole configuration of a cell."""

    teams: dict[TeamId, TeamSettings] = field(default_factory=dict)
    customers: dict[CustomerId, CustomerSettings] = field(default_factory=dict)
    services: dict[ServiceId, ServiceSettings] = field(default_factory=dict)
    price_rules: dict[str, PriceSettings] = field(default_factory=dict)
    objectives: dict[str, ObjectiveSettings] = field(default_factory=dict)
    keys: dict[str, KeySettings] = field(default_factory=dict)
    """By the name of the operator; if there are no keys, everybody is an administrator."""


EMPTY_CONFIGURATION = CellConfiguration()


def get_zone_quota(configuration: CellConfiguration, team: TeamId, zone: ZoneId) -> Resources:
    """Return the quota guaranteed to `team` in `zone`."""
    settings = configuration.teams.get(team)
    if settings is None:
        return NO_RESOURCES
    return settings.zones.get(zone, settings.quota)


def make_request_policy(
    configuration: CellConfiguration, service: ServiceId, customer: CustomerId | None
) -> RequestPolicy:
    """Return the request policy of `service`, with the limits of `customer` applied."""
    settings = configuration.services.get(service)
    policy = settings.requests if settings is not None else RequestPolicy()
    limits = configuration.customers.get(customer) if customer is not None else None
    if limits is None:
        return policy
    return replace(
        policy,
        customer_requests_per_second=_get_limit(
            limits.requests_per_second, policy.customer_requests_per_second
        ),
        customer_burst=_get_limit(limits.burst, policy.customer_burst),
        customer_in_flight=(
            limits.in_flight if limits.in_flight is not None else policy.customer_in_flight
        ),
    )


def find_price_rule(configuration: CellConfiguration, customer: CustomerId) -> PriceRule:
    """Return the price rule of `customer`."""
    settings = configuration.customers.get(customer)
    if settings is None or not settings.price_rule:
        return FREE_PRICE_RULE
    prices = configuration.price_rules[settings.price_rule]
    return PriceRule(
        settings.price_rule,
        prices.per_core_hour_micros,
        prices.per_gib_hour_micros,
        prices.per_accelerator_hour_micros,
    )


def _get_limit(limit: float | None, default: float) -> float:
    return default if limit is None else limit

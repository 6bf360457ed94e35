"""Access control: which customer a call belongs to, and which jobs it may use."""

from __future__ import annotations

from collections.abc import Iterable

from lentilpath_core.errors import InvalidSettings, NotPermitted, UnknownKey
from lentilpath_core.ids import CustomerId, Instant
from lentilpath_core.pool._model import CustomerPolicy, PoolConfiguration, QueuePolicy
from lentilpath_core.resources import NO_RESOURCES

NO_CUSTOMER = CustomerId("")


def identify_customer(
    configuration: PoolConfiguration, queue: QueuePolicy, key: str | None
) -> CustomerId:
    """Return the customer whose key a call carries, or `NO_CUSTOMER` if it needs no key.

    Raises `UnknownKey` if the call needs a key and has none, or one that is not in force.
    """
    customer = configuration.customers_by_key.get(key) if key is not None else None
    if customer is not None:
        return customer
    if configuration.requires_keys and not queue.is_public:
        raise UnknownKey("the call has no key, or one that is not in force; send a valid one")
    return NO_CUSTOMER


def check_owner(owner: CustomerId, caller: CustomerId) -> None:
    """Raise `NotPermitted` if a job of `owner` may not be used by `caller`.

    Jobs without a customer, which were submitted without a key, are open to all callers.
    """
    if owner not in (NO_CUSTOMER, caller):
        raise NotPermitted("the job belongs to another customer; use a key of its own customer")


def is_configuration_current(
    confirmed_at: Instant | None, max_age_ms: int | None, now: Instant
) -> bool:
    """Return whether keys may still be checked against a configuration of this age.

    `confirmed_at` is when the request was sent that last showed that it is the newest one. Without
    a maximum age any configuration that was read may be used.
    """
    return max_age_ms is None or (confirmed_at is not None and now <= confirmed_at + max_age_ms)


def index_customers(
    customers: Iterable[tuple[CustomerPolicy, Iterable[str]]],
) -> tuple[dict[CustomerId, CustomerPolicy], dict[str, CustomerId]]:
    """Return customers by id and customers by key.

    Raises `InvalidSettings`, which names the entry but never a key, if an entry is unusable.
    """
    policies: dict[CustomerId, CustomerPolicy] = {}
    owners: dict[str, CustomerId] = {}
    for number, (policy, keys) in enumerate(customers):
        name = policy.customer
        if not name:
            raise InvalidSettings(f"customer {number} has no name; give it one")
        if name in policies:
            raise InvalidSettings(f"two customers are named {name!r}; rename one of them")
        if policy.weight < 0:
            raise InvalidSettings(
                f"customer {name!r}: weight {policy.weight} is negative; use >= 0"
            )
        if not NO_RESOURCES.fits_in(policy.quota):
            raise InvalidSettings(
                f"customer {name!r}: {policy.quota} is negative; use 0 for no limit"
            )
        policies[name] = policy
        for key in keys:
            if not key:
                raise InvalidSettings(f"customer {name!r} has an empty key; remove it")
            owner = owners.setdefault(key, name)
            if owner != name:
                raise InvalidSettings(
                    f"customers {owner!r} and {name!r} have a key in common; give each its own"
                )
    return policies, owners

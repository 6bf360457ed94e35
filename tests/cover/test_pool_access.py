"""Calls are served only with a key that is in force, and a job only to its own customer.

Guards against withdrawn keys that go on working, and against a wrong entry that takes the other
customers' keys out of force.
"""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace
from typing import Any, cast

import pytest

from lentilpath_core.errors import InvalidSettings, NotPermitted, UnknownKey
from lentilpath_core.ids import ConfigVersion, CustomerId, Instant, RowVersion
from lentilpath_core.pool import (
    NO_CUSTOMER,
    CustomerPolicy,
    JobCancelled,
    PoolConfiguration,
    check_owner,
    get_job_customer,
    identify_customer,
    index_customers,
    is_configuration_current,
)
from lentilpath_core.resources import Resources
from lentilpath_platform.registry import CONFIG_KEY, OPERATOR_TABLE, PlatformRegistry
from lentilpathd._pool import _configuration
from lentilpathd._pool._configuration import ConfigurationFollower
from lentilpathd._pool._ports import PartitionRow, PartitionTransaction
from lentilpathd._pool._records import encode_record
from lentilpathd._pool._recovery import make_job_events
from tests.common.fleet.deployment import CONFIG, QUEUE
from tests.common.pools import PoolHarness, list_starts, make_job_id, make_queue, make_record
from tests.common.tables import OnePartitionTable

SMALL, LARGE = CustomerId("small"), CustomerId("large")
SECRET = "s3cret-key-of-large"
TENANT = {"name": "large", "apiKeys": [SECRET], "weight": 2, "maxItems": {"cpu": 4_000}}


def make_configuration(requires_keys: bool = True) -> PoolConfiguration:
    customers, keys = index_customers(
        [(CustomerPolicy(SMALL), ["a", "b"]), (CustomerPolicy(LARGE), [SECRET])]
    )
    return PoolConfiguration(
        ConfigVersion(1), customers=customers, customers_by_key=keys, requires_keys=requires_keys
    )


def read_configuration(**changes: object) -> PoolConfiguration:
    """Return the configuration that the adapter makes of the operator's row."""

    async def run() -> PoolConfiguration | None:
        table = OnePartitionTable()
        value = json.dumps(CONFIG | changes).encode()
        puts = ((CONFIG_KEY, value),)
        await table.commit(PartitionTransaction(OPERATOR_TABLE, "", (), puts), 1.0)
        found, _ = await PlatformRegistry(table).read_configuration(1.0)
        return found

    found = asyncio.run(run())
    assert found is not None
    return found


@pytest.mark.parametrize("key", [None, "", "c", "a "])
def test_a_call_without_a_key_in_force_is_refused(key):
    with pytest.raises(UnknownKey):
        identify_customer(make_configuration(), make_queue(), key)


def test_all_keys_of_a_customer_are_alike_and_belong_to_it_alone():
    configuration = make_configuration()
    found = [identify_customer(configuration, make_queue(), key) for key in ("a", "b", SECRET)]
    assert found == [SMALL, SMALL, LARGE]


def test_a_public_queue_and_a_deployment_without_customers_need_no_key():
    public = make_queue(is_public=True)
    assert identify_customer(make_configuration(), public, "unknown") == NO_CUSTOMER
    assert identify_customer(make_configuration(), public, "a") == SMALL
    without = PoolConfiguration(ConfigVersion(1))
    assert identify_customer(without, make_queue(), None) == NO_CUSTOMER


def test_a_job_is_open_to_its_own_customer_only_and_to_all_if_it_has_none():
    check_owner(SMALL, SMALL)
    check_owner(NO_CUSTOMER, LARGE)
    for caller in (LARGE, NO_CUSTOMER):
        with pytest.raises(NotPermitted):
            check_owner(SMALL, caller)


def test_keys_are_checked_against_an_old_configuration_only_where_that_is_allowed():
    now = Instant(20_000)
    assert is_configuration_current(Instant(0), None, now)
    assert is_configuration_current(Instant(15_000), 5_000, now)
    assert not is_configuration_current(Instant(14_999), 5_000, now)
    assert not is_configuration_current(None, 5_000, now)


def test_a_job_keeps_its_customer_after_its_end_and_for_the_next_leader():
    harness = PoolHarness()
    harness.add_workers()
    harness.submit(1, customer=SMALL)
    assert get_job_customer(harness.state, make_job_id(1)) == SMALL
    harness.handle_event(JobCancelled(make_job_id(1)))
    harness.confirm_records()
    assert list_starts(harness.place()) == []
    assert harness.state.finals[make_job_id(1)].customer == SMALL
    assert get_job_customer(harness.state, make_job_id(1)) == SMALL
    assert get_job_customer(harness.state, make_job_id(2)) == NO_CUSTOMER


@pytest.mark.parametrize("is_reversed", [False, True])
def test_a_job_stored_twice_belongs_to_the_customer_whose_job_was_accepted_first(is_reversed):
    # A host that does not reach the job's usual partition stores it in another one.
    first = make_record(1, customer=SMALL, accepted_at=5)
    later = make_record(1, customer=LARGE, accepted_at=6)
    other = make_record(2, customer=LARGE, accepted_at=9)
    rows = [
        PartitionRow(part, record.job, encode_record(record), RowVersion(1))
        for part, record in (("1", first), ("2", other), ("12", later))
    ]
    if is_reversed:
        rows.reverse()
    harness = PoolHarness()
    for event in make_job_events(tuple(rows), ended=(), recovered=True):
        harness.handle_event(event)
    assert get_job_customer(harness.state, make_job_id(1)) == SMALL
    assert get_job_customer(harness.state, make_job_id(2)) == LARGE


class ScriptedRegistry:
    """Answers with the scripted configurations, each after some time, and then no more."""

    def __init__(self, clock: SimpleNamespace, *found: PoolConfiguration) -> None:
        self.clock = clock
        self.found = list(found)
        self.finished = asyncio.Event()

    async def read_configuration(self, timeout):
        self.clock.now += 3_000
        return self.found.pop(0), RowVersion(1)

    async def follow_configuration(self, after, wait_seconds, timeout):
        if not self.found:
            self.finished.set()
            await asyncio.Event().wait()
        return await self.read_configuration(timeout)


def follow(clock: SimpleNamespace, *found: PoolConfiguration) -> tuple[ConfigurationFollower, Any]:
    """Return a follower that has read these configurations, and those that it has put in force."""
    applied: list[PoolConfiguration] = []

    async def run() -> ConfigurationFollower:
        registry = ScriptedRegistry(clock, *found)
        follower = ConfigurationFollower(cast(Any, registry), applied.append)
        running = asyncio.create_task(follower.run())
        async with asyncio.timeout(5.0):
            await registry.finished.wait()
        running.cancel()
        return follower

    return asyncio.run(run()), applied


def test_an_older_version_never_replaces_a_newer_one_and_removed_customers_keep_their_policy():
    small, large = CustomerPolicy(SMALL), CustomerPolicy(LARGE, 2.0, Resources(4_000, 0, 0))
    newer = PoolConfiguration(ConfigVersion(5), customers={SMALL: small, LARGE: large})
    older = PoolConfiguration(ConfigVersion(4), customers_by_key={"withdrawn": SMALL})
    newest = PoolConfiguration(ConfigVersion(6), customers={SMALL: small})
    follower, applied = follow(SimpleNamespace(now=0), newer, older, newest)
    assert [each.version for each in applied] == [5, 6]
    current = follower.get_current()
    assert current is not None
    assert current.former_customers == {LARGE: large}


def test_the_age_of_a_configuration_counts_from_the_sending_of_the_request(monkeypatch):
    clock = SimpleNamespace(now=10_000)
    monkeypatch.setattr(_configuration, "read_instant", lambda: Instant(clock.now))
    follower, _ = follow(clock, make_configuration())
    assert follower.is_current(5_000, Instant(15_000))
    assert not follower.is_current(5_000, Instant(15_001))


def test_the_platforms_customers_are_read_with_weight_and_quota():
    found = read_configuration(tenants=[TENANT], routes=[QUEUE | {"public": True}])
    assert found.requires_keys
    assert found.customers == {LARGE: CustomerPolicy(LARGE, 2.0, Resources(4_000, 0, 0))}
    assert [each.is_public for each in found.queues.values()] == [True]
    assert read_configuration(tenants=[]).requires_keys
    assert not read_configuration().requires_keys


def test_a_list_of_customers_that_is_null_or_empty_opens_no_queue():
    """An encoder that writes an empty list as null opened all queues to calls without a key."""
    assert read_configuration(tenants=None).requires_keys
    assert read_configuration(tenants=[]).requires_keys


def test_an_entry_that_leaves_keys_or_quota_out_or_null_is_no_reason_to_keep_a_withdrawn_key():
    for empty in ({"name": "large"}, TENANT | {"apiKeys": None, "maxItems": None}):
        found = read_configuration(tenants=[empty])
        assert found.customers[LARGE].quota == Resources()
        assert found.customers_by_key == {}
    twice = read_configuration(tenants=[TENANT | {"apiKeys": [SECRET, SECRET], "weight": 0}])
    assert twice.customers_by_key == {SECRET: LARGE}


def test_empty_lists_that_are_null_are_no_reason_to_keep_a_withdrawn_key():
    """A version whose last service or queue had gone was refused, and the earlier one kept."""
    found = read_configuration(tenants=[TENANT], routes=None, services=None)
    assert (found.queues, found.services) == ({}, {})


@pytest.mark.parametrize(
    ("tenants", "named"),
    [
        ([TENANT, {"name": "small", "apiKeys": [SECRET]}], "key in common"),
        ([TENANT, TENANT | {"apiKeys": []}], "two customers"),
        ([TENANT | {"weight": -1}], "weight"),
        ([TENANT | {"maxItems": {"cpu": -1}}], "no limit"),
        ([{"name": "", "apiKeys": [SECRET]}], "no name"),
        ([{"apiKeys": [SECRET]}], "name"),
        ([TENANT | {"apiKeys": [""]}], "empty key"),
        ([TENANT | {"apiKeys": 5}], "apiKeys"),
    ],
)
def test_a_wrong_customer_entry_is_named_without_showing_a_key(tenants, named):
    with pytest.raises(InvalidSettings, match=named) as raised:
        read_configuration(tenants=tenants)
    assert SECRET not in str(raised.value)


def test_keys_are_not_shown_in_the_configurations_representation():
    assert SECRET not in repr(make_configuration())

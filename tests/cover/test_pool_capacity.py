"""No start relies on a capacity that a worker may have lost while the registry was away."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import pytest

from lentilpath_core.errors import OutcomeUnknown
from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool import WorkersListed
from lentilpath_core.pool._capacity import MAX_ENTRY_AGE_MS, REPORT_SPAN_MS
from lentilpathd._pool import _worker_watch
from lentilpathd._pool._worker_watch import REMOVAL_DELAY_MS, WorkerWatch
from tests.common.pools import PoolHarness, list_starts, make_worker
from tests.common.virtual_time import run_in_virtual_time

INTERVAL_MS = 700


def list_reports(harness: PoolHarness, *missing: str, **sequences: int) -> None:
    workers = tuple(make_worker(name, sequence=number) for name, number in sequences.items())
    absent = frozenset(WorkerId(name) for name in missing)
    harness.handle_event(WorkersListed(workers, harness.now, absent))


def pass_time(harness: PoolHarness, ms: int) -> None:
    """Let time pass while the workers answer the leader and the registry is away."""
    harness.now = Instant(harness.now + ms)
    for name in harness.listed:
        harness.report(name)


def make_harness() -> PoolHarness:
    harness = PoolHarness()
    harness.add_workers(make_worker("w1", sequence=1), make_worker("w2", sequence=1))
    return harness


def list_used_workers(harness: PoolHarness) -> set[str]:
    harness.submit(1)
    harness.submit(2)
    return {start.worker for start in list_starts(harness.place())}


def test_a_short_outage_of_the_registry_delays_no_start():
    harness = make_harness()
    pass_time(harness, MAX_ENTRY_AGE_MS - REPORT_SPAN_MS - 10)
    assert list_used_workers(harness)


def test_after_a_long_outage_each_worker_gets_starts_once_it_has_reported():
    harness = make_harness()
    pass_time(harness, MAX_ENTRY_AGE_MS)
    assert not list_used_workers(harness)
    list_reports(harness, w1=1, w2=1)
    pass_time(harness, 200)
    list_reports(harness, w1=1, w2=2)
    assert {start.worker for start in list_starts(harness.place())} == {"w2"}


def test_a_report_that_may_have_been_made_before_the_outage_does_not_count():
    harness = make_harness()
    pass_time(harness, MAX_ENTRY_AGE_MS)
    list_reports(harness, w1=2, w2=2)
    assert not list_used_workers(harness)


def test_lists_without_a_gap_show_that_listed_workers_have_reported_but_not_missing_ones():
    harness = make_harness()
    for _ in range(2 * MAX_ENTRY_AGE_MS // INTERVAL_MS):
        pass_time(harness, INTERVAL_MS)
        list_reports(harness, "w2", w1=1, w2=1)
    assert list_used_workers(harness) == {"w1"}


@pytest.mark.parametrize("seconds", [1.05, 2.0])
def test_a_slow_registry_delays_each_list_but_not_the_time_between_lists(seconds, monkeypatch):
    """Reads that had to end before the next one began timed out each time."""
    lists: list[WorkersListed] = []

    class SlowRegistry:
        async def read_workers(self, timeout):
            await asyncio.sleep(min(seconds, timeout))
            if seconds > timeout:
                raise OutcomeUnknown("slow")
            return (make_worker("w1"),)

    async def watch() -> None:
        registry = typing.cast(typing.Any, SlowRegistry())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(10.0):
                await WorkerWatch(registry, PoolHarness().state, lists.append).run()

    run_in_virtual_time(watch(), monkeypatch, _worker_watch)
    assert len(lists) >= (10.0 - seconds) // 0.71


def test_a_worker_that_was_removed_and_is_back_is_kept_again_when_its_entry_is_missing(monkeypatch):
    """It was removed at the first list without it, as the time of its first absence was kept."""
    harness = PoolHarness()
    entries = [make_worker("w1")]
    kept: list[bool] = []

    class ChangingRegistry:
        async def read_workers(self, timeout):
            return tuple(entries)

    def handle_list(event: WorkersListed) -> None:
        harness.list_workers(*event.workers)
        kept.append("w1" in event.missing)

    async def watch() -> None:
        registry = typing.cast(typing.Any, ChangingRegistry())
        watch = WorkerWatch(registry, harness.state, handle_list)
        watching = asyncio.create_task(watch.run())
        await asyncio.sleep(1.0)
        entries.clear()
        await asyncio.sleep(REMOVAL_DELAY_MS / 1_000 + 0.1)
        # Its leases have expired.
        harness.state.workers.clear()
        entries.append(make_worker("w1"))
        await asyncio.sleep(0.8)
        entries.clear()
        kept.clear()
        await asyncio.sleep(0.8)
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)

    run_in_virtual_time(watch(), monkeypatch, _worker_watch)
    assert kept[0]

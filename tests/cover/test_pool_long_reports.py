"""A worker lists a limited number of ends at a time, so a task may have ended that it leaves out.

A new leader took tasks whose ends were not among the first 500 for tasks that do not run, and
started them again (review/2). A list that ends at a limit must not be read as a whole one.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any, cast

import pytest

from lentilpath_core.errors import OutcomeUnknown
from lentilpath_core.ids import RowVersion
from lentilpath_core.pool import (
    GiveUpRun,
    JobAccepted,
    RunEnd,
    StartAnswer,
    StepSpec,
    restore_former_workers,
)
from lentilpath_platform.store import PlatformTable
from lentilpath_platform.workers import MAX_LISTED_ENDS, format_task
from lentilpathd.pool import AnswerProgress
from tests.common.pools import (
    SETTLE_MS,
    TASK_RESOURCES,
    PoolHarness,
    list_starts,
    list_stops,
    make_record,
    make_task,
    make_worker,
)
from tests.cover.test_pool_malformed_answers import ScriptedClient, make_worker_client

FROZEN_MS = 6_000
"""Longer than a run may stand still."""


def make_successor() -> PoolHarness:
    """Return a new leader with one worker of the former one and a recovered job of three tasks."""
    harness = PoolHarness(epoch=2)
    restore_former_workers(harness.state, (make_worker("w1"),))
    harness.list_workers(make_worker("w1"))
    harness.handle_event(JobAccepted(make_record(1, StepSpec(3, TASK_RESOURCES)), recovered=True))
    return harness


def test_a_successor_starts_nothing_while_a_worker_has_ends_that_it_does_not_list():
    harness = make_successor()
    ends = tuple((number + 1, make_task(1, number), 1, RunEnd.DONE) for number in range(3))
    harness.report("w1", ended=ends[:2], is_complete=False)
    assert list_starts(harness.place()) == []
    harness.pass_time(SETTLE_MS // 2)
    harness.report("w1", ended=ends[:2], is_complete=False)
    harness.pass_time(SETTLE_MS)
    assert list_starts(harness.place()) == []
    harness.report("w1", ended=ends[2:])
    assert list_starts(harness.place()) == []


def test_a_task_that_no_complete_report_lists_starts_once_the_ends_before_it_are_acknowledged():
    harness = make_successor()
    harness.report("w1", ended=((1, make_task(1, 0), 1, RunEnd.DONE),), is_complete=False)
    harness.report("w1", ended=((2, make_task(1, 1), 1, RunEnd.DONE),))
    assert [each.task for each in list_starts(harness.place())] == [make_task(1, 2)]


def test_a_run_that_an_incomplete_report_leaves_out_is_neither_given_up_nor_frozen():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(2, TASK_RESOURCES))
    first, second = list_starts(harness.place())
    for start in (first, second):
        harness.answer_start(start, StartAnswer.STARTED)
    done = (1, first.task, first.run, RunEnd.DONE)
    for _ in range(FROZEN_MS // 250):
        harness.pass_time(250)
        effects = harness.report("w1", ended=(done,), is_complete=False)
        assert not any(isinstance(each, GiveUpRun) for each in effects)
    assert list_stops(harness.effects) == []
    assert list_starts(harness.place()) == []
    effects = harness.report("w1", ended=((2, second.task, second.run, RunEnd.DONE),))
    assert not any(isinstance(each, GiveUpRun) for each in effects)


@pytest.mark.parametrize(
    ("count", "is_complete"), [(MAX_LISTED_ENDS - 1, True), (MAX_LISTED_ENDS, False)]
)
def test_a_report_with_as_many_ends_as_a_worker_lists_is_incomplete(count, is_complete):
    ends = [
        [number + 1, format_task(make_task(1, number)), 1, "done", ""] for number in range(count)
    ]
    body = {"clockMs": 1, "running": [], "finished": ends, "born": int(make_worker("w1").life)}
    client = make_worker_client(json.dumps(body).encode())
    assert asyncio.run(client.renew(0, None, 0, 1.0)).is_complete is is_complete


def make_table(answer: dict[str, object]) -> PlatformTable:
    client = cast(Any, ScriptedClient(json.dumps(answer).encode()))
    return PlatformTable(client, AnswerProgress())


def test_changes_beyond_a_page_are_followed_from_its_last_row():
    rows = [{"table": "jobs", "key": "a", "rowVersion": 7}]
    table = make_table({"rows": rows, "rowVersion": 900, "hasMore": True})
    assert asyncio.run(table.follow("jobs", RowVersion(0), 0.0, 1.0)).version == 7


def test_an_empty_page_is_not_the_end_of_a_list_that_has_more():
    table = make_table({"rows": [], "rowVersion": 900, "hasMore": True})
    with pytest.raises(OutcomeUnknown):
        asyncio.run(table.read_partition("jobs", "", "", "", 1.0))
    with pytest.raises(OutcomeUnknown):
        asyncio.run(table.follow("jobs", RowVersion(0), 0.0, 1.0))

"""Faults that operators of similar systems met: slow workers, handovers, lost answers, restarts."""

from __future__ import annotations

import asyncio
import itertools
import json
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilpath_core.errors import OutcomeUnknown, TableUnavailable
from lentilpath_core.ids import Epoch, Instant, RowVersion
from lentilpath_core.pool import (
    GiveUpRun,
    PoolConfiguration,
    StartAnswer,
    StopRun,
    WorkerReport,
    WorkerReported,
    WorkersListed,
    create_pool,
    decide_pool,
    restore_former_workers,
)
from lentilpath_platform.registry import PlatformRegistry
from lentilpathd._pool import _configuration
from lentilpathd._pool._configuration import ConfigurationFollower
from lentilpathd._pool._host import NotLeading, PoolHost
from lentilpathd._pool._ports import Registry
from lentilpathd._pool._records import decode_job
from tests.common import simulated_pool
from tests.common.pools import PoolHarness, list_starts, make_worker
from tests.common.requests import wait_until
from tests.common.simulated_pool import SharedRows, SimulatedHost, run_seed
from tests.common.simulated_workers import Faults, SimulatedClient
from tests.common.tables import OnePartitionTable
from tests.cover.test_pool_answers import JOB, ScriptedTable, call, make_jobs
from tests.cover.test_pool_malformed_answers import put
from tests.cover.test_pool_registry import ENTRY

LEASE_LEFT_MS = 4_900
"""Under the 5 s for which the harness grants leases."""
TOKENS_PER_EPOCH = 10**9

# 1. A worker that was only unresponsive or slow to report for a while


@settings(max_examples=100)
@given(
    st.lists(
        st.tuples(st.integers(1, LEASE_LEFT_MS), st.booleans(), st.booleans()),
        min_size=1,
        max_size=8,
    )
)
def test_a_run_is_kept_while_its_worker_is_silent_within_its_lease(
    silences: list[tuple[int, bool, bool]],
):
    """Guards against work that runs on and is started elsewhere, or given up, meanwhile.

    Each silence may come with an entry that is missing from the registry, and may end with a
    report that is older than the one before it.
    """
    harness = PoolHarness()
    workers = (make_worker("w1"), make_worker("w2"))
    harness.add_workers(*workers)
    harness.submit(1)
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    harness.report(start.worker, running=((start.task, start.run, 10),))
    other = next(each for each in workers if each.worker != start.worker)
    for percent, (silent_ms, is_missing, is_outdated) in enumerate(silences, 11):
        if is_missing:
            harness.handle_event(WorkersListed((other,)))
        harness.pass_time(silent_ms)
        harness.report(other.worker)
        assert list_starts(harness.place()) == []
        if is_outdated:
            late = WorkerReport(cast(Any, 1), (), ())
            harness.handle_event(WorkerReported(start.worker, start.life, late, Instant(0)))
        harness.handle_event(WorkersListed(workers))
        harness.report(start.worker, running=((start.task, start.run, percent),))
    assert not [each for each in harness.effects if isinstance(each, GiveUpRun | StopRun)]


def test_a_run_without_progress_in_the_reports_of_its_worker_is_still_stopped():
    """Guards against silence being the only thing that is noticed."""
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1)
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    for _ in range(5):
        harness.report("w1", running=((start.task, start.run, 10),))
        harness.pass_time(1_000)
    assert [each.task for each in harness.effects if isinstance(each, StopRun)] == [start.task]


# 2. Around a handover between two processes


class HandingOverHost(SimulatedHost):
    """A host that hands the leadership over some seconds after it has got it."""

    lead_seconds = 4.0

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.stopping = asyncio.Event()
        self.settings = self.context.settings
        self.members = cast(Any, self)
        self._handover_requested = False
        self._last_handover_at = None
        self._not_leading = asyncio.Event()

    def choose_successor(self, now: Instant) -> None:
        return None

    _lead = cast(Any, PoolHost._lead)
    _run_term = cast(Any, PoolHost._run_term)
    _end_term_at_stop = cast(Any, PoolHost._end_term_at_stop)
    _release_leadership = cast(Any, PoolHost._release_leadership)

    async def _end_term_for_faster_host(self) -> None:
        await asyncio.sleep(self.lead_seconds)
        self._handover_requested = True
        raise NotLeading("another host is faster")

    @property
    def _term(self) -> Any:
        return self.term

    @_term.setter
    def _term(self, term: Any) -> None:
        self.term = term

    async def run(self) -> None:
        while True:
            await self._lead(await self.leadership.acquire())


@pytest.mark.parametrize("seed", range(3))
def test_of_two_processes_only_one_commands_around_a_handover(seed, monkeypatch):
    """Guards against commands of the former leader after it released its leadership."""
    sent: list[tuple[int, str]] = []
    send = SimulatedClient._send

    async def record(self: SimulatedClient, name: str, *rest: Any) -> Any:
        sent.append((self._token // TOKENS_PER_EPOCH, name))
        return await send(self, name, *rest)

    monkeypatch.setattr(SimulatedClient, "_send", record)
    monkeypatch.setattr(simulated_pool, "SimulatedHost", HandingOverHost)
    problems, timeline = run_seed(seed, Faults(late=0.02, unanswered=0.02), monkeypatch)
    print(timeline)
    assert not problems
    epochs = [epoch for epoch, _ in sent]
    assert len(set(epochs)) >= 5
    assert epochs == sorted(epochs)
    starts = {(epoch, name.partition(" until")[0]) for epoch, name in sent if "start" in name}
    assert len({name for _, name in starts}) == len(starts)


# 3. Pauses: test_pool_pauses

# 4. Lost answers


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("period", [2, 5])
def test_no_work_runs_again_after_lost_answers_of_the_table_and_of_workers(
    seed, period, monkeypatch
):
    """Guards against an end, a final state or a start that counts as not made."""
    commit, calls = SharedRows.commit, itertools.count(1)

    async def lose_answer(self: SharedRows, *arguments: Any) -> Any:
        result = await commit(self, *arguments)
        if next(calls) % period == 0:
            raise OutcomeUnknown("no answer")
        return result

    monkeypatch.setattr(SharedRows, "commit", lose_answer)
    problems, timeline = run_seed(seed, Faults(unanswered=0.1, takeovers=1), monkeypatch)
    print(timeline)
    assert not problems


class LossyTable(ScriptedTable):
    """A table whose writes have the scripted outcomes, and succeed after them."""

    def __init__(self, outcomes: list[str]) -> None:
        super().__init__()
        self.outcomes = outcomes
        self.late: list[tuple[Any, ...]] = []

    async def commit(self, transaction, timeout, prefer_relay=False):
        outcome = self.outcomes.pop(0) if self.outcomes else "done"
        if outcome == "refused":
            raise TableUnavailable("away")
        if outcome == "late":
            self.late.append((transaction, timeout))
        if outcome in ("done", "answer lost"):
            result = await super().commit(transaction, timeout)
        if outcome != "done":
            raise OutcomeUnknown("no answer")
        return result


@settings(max_examples=60)
@given(st.lists(st.sampled_from(["refused", "late", "lost", "answer lost"]), max_size=12))
def test_a_caller_is_told_that_a_job_did_not_run_only_if_it_never_will(outcomes: list[str]):
    """Guards against 503 for a job whose write is carried out after all."""
    table = LossyTable(outcomes)
    status = call("POST", make_jobs(table, state=None), b'{"steps":[{}]}', "60").status
    stored_at_once = is_job_stored(table)
    table.outcomes = []
    for transaction, timeout in table.late:
        asyncio.run(OnePartitionTable.commit(table, transaction, timeout))
    assert status in (200, 503, 504)
    assert status != 200 or stored_at_once
    assert status != 503 or not is_job_stored(table)


def is_job_stored(table: OnePartitionTable) -> bool:
    return JOB in table.rows and decode_job(table.rows[JOB].value).job == JOB


# 5. After a restart


def test_a_worker_that_has_left_gets_no_starts_from_a_new_leader():
    """Guards against the workers of an earlier leader's list counting as registered."""
    left, registered = make_worker("w1"), make_worker("w2")
    harness = PoolHarness(epoch=2)
    restore_former_workers(harness.state, (left, registered))
    harness.list_workers(registered)
    harness.listed[left.worker] = left
    for _ in range(4):
        harness.report("w1")
        harness.report("w2")
        harness.submit(len(harness.state.jobs) + 1)
        assert {start.worker for start in list_starts(harness.place())} <= {"w2"}
        harness.pass_time(2_000)
    state = create_pool(Epoch(3), harness.now)
    restore_former_workers(state, (left,))
    decide_pool(state, WorkersListed((registered,)), harness.now)
    assert not state.workers[left.worker].is_listed


def test_a_process_that_starts_anew_does_not_know_workers_that_have_left():
    """Guards against a stored list being used instead of the registry's entries."""
    table = OnePartitionTable()
    put(table, "w1", json.dumps(ENTRY).encode())
    assert len(asyncio.run(PlatformRegistry(table).read_workers(1.0))) == 1
    del table.rows["w1"]
    assert asyncio.run(PlatformRegistry(table).read_workers(1.0)) == ()


class ScriptedRegistry:
    """Returns configurations in turn, also older ones, and is then away."""

    def __init__(self, *versions: int) -> None:
        self.versions = list(versions)

    async def read_configuration(self, timeout: float) -> tuple[PoolConfiguration, RowVersion]:
        if not self.versions:
            raise TableUnavailable("away")
        return PoolConfiguration(cast(Any, self.versions.pop(0))), RowVersion(1)

    async def follow_configuration(self, after: Any, wait: float, timeout: float) -> Any:
        return await self.read_configuration(timeout)


@pytest.mark.parametrize(("versions", "in_force"), [((), None), ((5, 4, 3), 5), ((4, 5, 1), 5)])
def test_an_older_configuration_is_never_in_force_again(versions, in_force, monkeypatch):
    """Guards against a withdrawn key that is accepted again after a stale read or a restart."""
    monkeypatch.setattr(_configuration, "RETRY_SECONDS", 0.001)
    registry = ScriptedRegistry(*versions)
    seen: list[int] = []
    follower = ConfigurationFollower(
        cast(Registry, registry), lambda found: seen.append(found.version)
    )

    async def run() -> None:
        running = asyncio.create_task(follower.run())
        await wait_until(lambda: not registry.versions)
        await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    asyncio.run(run())
    current = follower.get_current()
    assert (current.version if current is not None else None) == in_force
    assert seen == sorted(seen)

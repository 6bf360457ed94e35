"""A worker that restarts may hold its runs by a lease that was meant for its former life.

It gets no starts at first, and all that a leader knows of this is stored for the next one.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from lentilpath_core.ids import Epoch, Instant, WorkerId
from lentilpath_core.pool import (
    AdvicePolicy,
    JobAccepted,
    Life,
    RecordWorkers,
    StartAnswer,
    StepSpec,
    create_pool,
    restore_former_workers,
)
from lentilpath_core.pool._authority import FIRST_ANSWER_MS
from lentilpath_core.pool._restarts import MAX_WAIT_MS
from lentilpathd._events import Event
from lentilpathd._pool import _hold_log
from lentilpathd._pool._hold_log import HoldLog
from lentilpathd._pool._term_authority import TermAuthority
from lentilpathd._pool._worker_rows import WorkerRow, WorkerShares, decode_workers
from tests.common.pools import (
    SETTLE_MS,
    TASK_RESOURCES,
    WORKER_CAPACITY,
    PoolHarness,
    let_rest,
    list_advice_requests,
    list_starts,
    make_queue,
    make_record,
    make_task,
    make_worker,
)

LEASE_MS = 4_000
W1 = WorkerId("w1")
RESTARTED = make_worker("w1", life=Life(2))
OTHER = make_worker("w2")


def make_harness() -> PoolHarness:
    """Return a leader whose worker w1 has restarted after it was sent a lease."""
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"), OTHER)
    harness.list_workers(RESTARTED, OTHER)
    harness.report("w1", with_lease=False)
    return harness


def fill(harness: PoolHarness, job: int = 1) -> list[str]:
    """Submit a job with as many tasks as fit on two workers; return the workers of its starts."""
    count = 2 * WORKER_CAPACITY.millicores // TASK_RESOURCES.millicores
    harness.submit(job, StepSpec(count, TASK_RESOURCES))
    starts = list_starts(harness.place())
    assert list_starts(harness.place()) == []
    return [each.worker for each in starts]


def get_last_record(harness: PoolHarness) -> RecordWorkers:
    return next(each for each in reversed(harness.effects) if isinstance(each, RecordWorkers))


def test_a_restarted_worker_gets_no_starts_before_it_has_rested():
    harness = make_harness()
    harness.submit(1, StepSpec(8, TASK_RESOURCES))
    assert {each.worker for each in list_starts(harness.place())} == {"w2"}
    let_rest(harness, "w1")
    harness.submit(2, StepSpec(8, TASK_RESOURCES))
    assert {each.worker for each in list_starts(harness.place())} == {"w1"}


def test_a_restarted_worker_is_used_at_once_if_it_was_sent_no_lease():
    harness = PoolHarness()
    harness.list_workers(make_worker("w1"), OTHER)
    harness.list_workers(RESTARTED, OTHER)
    harness.report("w1", with_lease=False)
    harness.confirm_workers()
    assert harness.state.workers[W1].held_until == 0
    assert set(fill(harness)) == {"w1"}


def test_a_worker_that_was_removed_rests_if_it_returns_as_another_life():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"), OTHER)
    harness.list_workers(OTHER)
    harness.pass_time(SETTLE_MS + 1_000)
    assert W1 not in harness.state.workers
    harness.list_workers(RESTARTED, OTHER)
    harness.report("w2")
    harness.report("w1", with_lease=False)
    harness.confirm_workers()
    assert set(fill(harness)) == {"w2"}


def test_a_worker_whose_entry_was_missing_for_a_moment_still_rests():
    """Its lease for a former life goes on, whatever the registry shows."""
    harness = make_harness()
    held_until = harness.state.workers[W1].held_until
    harness.list_workers(OTHER)
    harness.pass_time(250)
    harness.list_workers(RESTARTED, OTHER)
    harness.report("w2")
    harness.report("w1", with_lease=False)
    harness.confirm_workers()
    assert harness.state.workers[W1].held_until >= held_until
    assert set(fill(harness)) == {"w2"}


def test_a_life_that_has_not_answered_before_its_entry_was_missing_rests():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"), OTHER)
    harness.list_workers(RESTARTED, OTHER)
    harness.list_workers(OTHER)
    harness.pass_time(250)
    harness.list_workers(RESTARTED, OTHER)
    harness.report("w2")
    harness.report("w1", with_lease=False)
    harness.confirm_workers()
    assert set(fill(harness)) == {"w2"}


def test_a_restarted_worker_is_used_before_it_has_rested_if_the_others_lack_room():
    harness = make_harness()
    assert set(fill(harness)) == {"w2"}
    harness.report("w1")
    harness.confirm_workers()
    assert {each.worker for each in list_starts(harness.place())} == {"w1"}


def test_a_restarted_worker_is_used_before_it_has_rested_if_there_is_no_other_to_ask_about():
    """A step that needs advice has asked about no worker yet, since none may be used."""
    harness = PoolHarness(make_queue(advice=AdvicePolicy(20.0, 1.0, 2_000)))
    harness.add_workers(make_worker("w1"))
    harness.list_workers(RESTARTED)
    harness.report("w1", with_lease=False)
    harness.submit(1)
    assert list_advice_requests(harness.place()) == []
    harness.report("w1", with_lease=False)
    harness.confirm_workers()
    harness.report("w1")
    (ask,) = list_advice_requests(harness.place())
    assert ask.workers == (W1,)


def test_runs_on_a_restarted_worker_are_waited_for_as_long_as_it_may_hold_them():
    harness = make_harness()
    held_until = harness.now + harness.state.longest_lease_ms
    fill(harness)
    harness.report("w1")
    harness.confirm_workers()
    starts = list_starts(harness.place())
    assert {each.worker for each in starts} == {"w1"}
    for start in starts:
        harness.answer_start(start, StartAnswer.STARTED)
    running = tuple((each.task, each.run, 10) for each in starts)
    harness.report("w1", running)
    while harness.now < held_until - 500:
        harness.pass_time(250)
        harness.report("w2")
        assert harness.state.workers[W1].attempts
    harness.pass_time(1_000)
    assert not harness.state.workers[W1].attempts


def make_successor(record: RecordWorkers, now: Instant) -> PoolHarness:
    """Return a leader that finds this list of workers, and has a recovered job."""
    harness = PoolHarness(epoch=2)
    harness.now = now
    harness.state.former_leases_end_at = Instant(now + SETTLE_MS)
    restore_former_workers(
        harness.state, record.workers, suspended=dict(record.suspended), held=dict(record.held)
    )
    harness.list_workers_unrecorded(RESTARTED, OTHER)
    harness.handle_event(JobAccepted(make_record(1), recovered=True))
    harness.report("w2")
    return harness


def pass_silence(harness: PoolHarness) -> int:
    """Let w1 be silent; return after how many ms the recovered job starts elsewhere."""
    began = harness.now
    while harness.now < began + 20_000:
        harness.pass_time(250)
        harness.report("w2")
        if list_starts(harness.place()):
            return harness.now - began
    raise AssertionError("the job does not start")


def test_a_successor_waits_for_the_runs_of_a_restarted_worker_as_long_as_it_may_hold_them():
    former = make_harness()
    held_until = former.now + former.state.longest_lease_ms
    let_rest(former, "w1")
    harness = make_successor(get_last_record(former), former.now)
    left_ms = held_until - former.now
    assert left_ms <= MAX_WAIT_MS
    assert left_ms - 250 <= pass_silence(harness) <= left_ms + 500


def test_a_successor_does_not_wait_for_a_worker_that_rests():
    """Nothing was started there, and it may be lost for good."""
    former = make_harness()
    harness = make_successor(get_last_record(former), former.now)
    assert pass_silence(harness) <= 500


def test_a_worker_that_rests_goes_on_with_that_under_the_next_leader():
    former = make_harness()
    former.pass_time(1_000)
    harness = make_successor(get_last_record(former), former.now)
    harness.report("w1", with_lease=False)
    harness.submit(2, StepSpec(8, TASK_RESOURCES))
    assert {each.worker for each in list_starts(harness.place())} == {"w2"}
    assert harness.state.workers[W1].held_until == former.state.workers[W1].held_until


def test_a_worker_that_may_hold_its_runs_is_logged_once(monkeypatch):
    harness = make_harness()
    logged: list[tuple[Event, dict[str, object]]] = []
    monkeypatch.setattr(
        _hold_log, "log_event", lambda event, **fields: logged.append((event, fields))
    )
    log = HoldLog(harness.state.epoch, harness.now)
    for _ in range(2):
        log.observe(harness.state, harness.now)
    ((event, fields),) = logged
    assert (event, fields["worker"], fields["life"]) == (Event.RUNS_HELD, "w1", 2)
    assert fields["held_ms"] == harness.state.longest_lease_ms
    assert fields["rests_ms"] == harness.state.longest_lease_ms - MAX_WAIT_MS


def test_a_successor_knows_of_a_worker_that_was_removed_a_moment_ago():
    """Commands for the life that is gone may still take effect at its next one."""
    former = PoolHarness()
    former.add_workers(make_worker("w1"), OTHER)
    former.list_workers(OTHER)
    former.pass_time(SETTLE_MS + 1_000)
    assert W1 not in former.state.workers
    harness = make_successor(get_last_record(former), former.now)
    harness.pass_time(250)
    harness.report("w2")
    harness.report("w1", with_lease=False)
    held_until = harness.state.workers[W1].held_until
    assert held_until >= harness.now + harness.state.longest_lease_ms
    harness.confirm_workers()
    harness.submit(2, StepSpec(8, TASK_RESOURCES))
    assert {each.worker for each in list_starts(harness.place())} == {"w2"}


def test_a_silent_worker_that_returns_as_another_life_with_a_run_is_waited_for():
    """A late start for the former life has begun the run, and nothing else runs its task."""
    harness = PoolHarness()
    harness.state = create_pool(Epoch(1), harness.now, LEASE_MS)
    harness.set_customers(1)
    harness.add_workers(make_worker("w1"), OTHER)
    for _ in range(2 * SETTLE_MS // 250):
        harness.pass_time(250)
        harness.report("w2")
    harness.confirm_workers()
    assert harness.state.workers[W1].is_suspended
    harness.list_workers_unrecorded(RESTARTED, OTHER)
    harness.submit(1)
    harness.report("w1", ((make_task(1), 1, 10),), with_lease=False)
    worker = harness.state.workers[W1]
    assert worker.attempts
    assert worker.lease_ends_at >= harness.now + harness.state.longest_lease_ms
    assert dict(get_last_record(harness).held)[W1] == worker.held_until


def test_a_restarted_worker_is_not_used_before_it_is_stored_how_long_it_may_hold_its_runs():
    """The stored list, which cannot be replaced yet, has it as one that has not answered."""
    harness = PoolHarness(epoch=2)
    others = tuple(make_worker(f"w{number}") for number in range(2, 6))
    restore_former_workers(harness.state, (RESTARTED, *others), held={W1: None})
    harness.list_workers_unrecorded(RESTARTED, *others)
    for _ in range(FIRST_ANSWER_MS // 250 + 1):
        harness.pass_time(250)
    for _ in range((harness.state.longest_lease_ms - MAX_WAIT_MS) // 250 + 2):
        harness.pass_time(250)
        harness.report("w1", with_lease=False)
    assert not any(isinstance(each, RecordWorkers) for each in harness.effects)
    assert not harness.state.workers[W1].is_suspended
    assert not harness.state.workers[W1].is_recorded


class ConfirmedLeadership:
    """Leads by a lease that the table confirms."""

    def is_confirmed(self, now: Instant) -> bool:
        return True


def test_a_worker_is_sent_no_lease_before_it_is_stored():
    """No successor would know that its next life may take it for its own clock's."""
    harness = PoolHarness()
    harness.list_workers_unrecorded(make_worker("w1"), OTHER)
    harness.report("w1", with_lease=False)
    settings = SimpleNamespace(lease_ms=LEASE_MS)
    context: Any = SimpleNamespace(settings=settings)
    leadership: Any = ConfirmedLeadership()
    authority = TermAuthority(context, Epoch(1), leadership, harness.state, harness.now)
    assert authority.get_lease_ms(W1, Life(1)) == 0
    harness.confirm_workers()
    assert authority.get_lease_ms(W1, Life(1)) == LEASE_MS


@pytest.mark.parametrize("held_until_ms", [0, 5_000, None])
def test_the_stored_list_of_workers_says_which_may_hold_their_runs(held_until_ms):
    shares = WorkerShares(epoch=1)  # type: ignore[arg-type]
    held = {W1: held_until_ms} if held_until_ms != 0 else {}
    puts, _ = shares.replace_workers((RESTARTED, OTHER), {}, held)
    stored = decode_workers(puts)
    assert {each.worker for each in stored.workers} == {"w1", "w2"}
    assert stored.held_until_ms == held


def test_a_row_of_an_earlier_release_says_nothing_of_held_runs():
    puts, _ = WorkerShares(epoch=1).replace_workers((OTHER,), {})  # type: ignore[arg-type]
    fields = len(WorkerRow.__struct_fields__)
    rows = {
        key: msgspec.msgpack.encode([row[: fields - 1] for row in msgspec.msgpack.decode(value)])
        for key, value in puts.items()
    }
    stored = decode_workers(rows)
    assert [each.worker for each in stored.workers] == ["w2"]
    assert stored.held_until_ms == {}

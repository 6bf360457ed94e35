"""One unusable row never stops a new leader's recovery, and only what it says is lost.

Guards against a row, written by another program or another release, that ends each new leader's
term: after 20 terms the supervisor ends the process, on one host after the other.
"""

from __future__ import annotations

import asyncio
import logging

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilpath_core.ids import Epoch, Instant, JobId, RowVersion, WallTime, WorkerId
from lentilpath_core.pool import (
    AcceptedPolicy,
    AdvicePolicy,
    FinalRecord,
    JobAccepted,
    JobState,
    ListedWorker,
    QueueId,
    RecordWorkers,
    RunEnd,
    RunNumber,
    RunRecord,
    StepSpec,
    create_pool,
    decide_pool,
    restore_former_workers,
)
from lentilpath_core.resources import Resources
from lentilpathd._pool._ports import PartitionRow
from lentilpathd._pool._records import (
    encode_record,
    get_job_partitions,
    make_end_key,
    make_final_key,
)
from lentilpathd._pool._recovery import RecoveredPool, read_pool
from lentilpathd._pool._worker_rows import WorkerShares
from tests.common.pools import SERVICE, make_job_id, make_record, make_task, make_worker
from tests.common.simulated_pool import SharedRows

GOOD, ENDED, BAD = make_job_id(1), make_job_id(2), make_job_id(3)
DEEP = b"\x91" * 100_000
HUGE = 2**62
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-HUGE, HUGE) | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=8) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=20,
).map(msgspec.msgpack.encode)
RECORDS = st.builds(
    lambda count, repeats, after, amount: encode_record(
        msgspec.structs.replace(
            make_record(3, StepSpec(count, Resources(amount, 0, 0), amount, (after,))),
            repeats=repeats,
        )
    ),
    *[st.integers(-HUGE, HUGE)] * 4,
)
POLICIES = st.builds(
    lambda priority, attempts, slack, advice: encode_record(
        msgspec.structs.replace(
            make_record(3, queue=QueueId("removed")),
            policy=AcceptedPolicy(SERVICE, priority, attempts, slack, attempts, advice),
        )
    ),
    st.integers(-HUGE, HUGE),
    st.integers(-HUGE, HUGE),
    st.floats(),
    st.none() | st.builds(AdvicePolicy, st.floats(), st.floats(), st.integers(-HUGE, HUGE)),
)
ROW_VALUES = st.binary(max_size=80) | VALUES | RECORDS | POLICIES | st.just(DEEP)
POOL_KEYS = st.sampled_from(
    [
        make_final_key(BAD),
        "final/",
        "final/x",
        f"end/{BAD}/0/0/0/1",
        f"end/{GOOD}/0/0/0/2",
        f"end/{GOOD}/999999999/0/0/1",
        f"end/{GOOD}/0/0/999999999/1",
        f"end/{GOOD}/0/0/-1/1",
        "end/x",
        "end/x/y/z/1/2",
        "0workers",
        "0workers/7/9/9",
        "0workers/x",
        "0workers/1/a/b",
        "0other",
        "zz",
    ]
)
JOB_KEYS = st.sampled_from([BAD, f"{BAD}/cancel", "x", "", "x/cancel", f"{GOOD}/other", "0" * 99])


def put(table: SharedRows, part: str, key: str, value: bytes) -> None:
    table.version += 1
    table.rows[key] = PartitionRow(part, key, value, RowVersion(table.version))


def make_table(workers: tuple[ListedWorker, ...] = (make_worker("w1"),)) -> SharedRows:
    """Return the rows of a pool with a job that is open, one that has ended and a worker."""
    table = SharedRows()
    table.put_job(make_record(1))
    table.put_job(make_record(2))
    final = encode_record(FinalRecord(JobState.COMPLETED, WallTime(5)))
    put(table, "cell", make_final_key(ENDED), final)
    end = RunRecord(RunNumber(1), RunEnd.FAILED)
    put(table, "cell", make_end_key(make_task(1), end), encode_record(end))
    for key, value in WorkerShares(Epoch(1)).replace_workers(workers, {})[0].items():
        put(table, "cell", key, value)
    return table


def recover(table: SharedRows) -> RecoveredPool:
    return asyncio.run(read_pool(table))


def check_recovered(table: SharedRows) -> None:
    """Check that all of `make_table` is recovered and can be worked with."""
    recovered = recover(table)
    assert [each.worker for each in recovered.former_workers] == ["w1"]
    state = create_pool(Epoch(2), Instant(5_000))
    restore_former_workers(state, recovered.former_workers, recovered.unreadable_workers)
    for event in recovered.events:
        decide_pool(state, event, Instant(0))
    assert GOOD in state.jobs
    assert state.finals[ENDED].state is JobState.COMPLETED
    assert state.jobs[GOOD].occurrences == 1


@settings(max_examples=250)
@given(POOL_KEYS, ROW_VALUES)
def test_any_row_of_the_pools_table_leaves_the_others_usable(key: str, value: bytes):
    table = make_table()
    put(table, "cell", key, value)
    check_recovered(table)


@settings(max_examples=250)
@given(JOB_KEYS, ROW_VALUES)
def test_any_row_of_the_jobs_table_leaves_the_others_usable(key: str, value: bytes):
    table = make_table()
    put(table, get_job_partitions(BAD)[0], key, value)
    check_recovered(table)


def test_an_unusable_row_is_logged_once_with_its_key_and_in_bounded_length(caplog):
    table = make_table()
    put(table, "cell", make_final_key(BAD), b"x" * 1_000_000)
    with caplog.at_level(logging.INFO):
        recover(table)
    lines = [record.getMessage() for record in caplog.records if "LP571" in record.getMessage()]
    assert len(lines) == 1
    assert make_final_key(BAD) in lines[0]
    assert len(lines[0]) < 2_000


def test_a_job_whose_final_state_cannot_be_read_never_runs_again():
    table = make_table()
    put(table, "cell", make_final_key(GOOD), b"x")
    recovered = recover(table)
    assert GOOD in recovered.ended_jobs
    assert not any(isinstance(event, JobAccepted) for event in recovered.events)


@pytest.mark.parametrize("value", [b"x", DEEP])
def test_unreadable_former_workers_are_waited_for_until_their_leases_are_over(value: bytes):
    table = make_table()
    key = next(key for key in table.rows if key.startswith("0workers/"))
    put(table, "cell", key, value)
    recovered = recover(table)
    assert recovered.unreadable_workers == (key,)
    state = create_pool(Epoch(2), Instant(5_000))
    restore_former_workers(state, recovered.former_workers, recovered.unreadable_workers)
    assert WorkerId(key) in state.unconfirmed_workers


def test_a_row_that_holds_another_job_than_its_key_says_is_skipped():
    table = make_table()
    put(table, "0", BAD, encode_record(make_record(4)))
    jobs = [event.record.job for event in recover(table).events if isinstance(event, JobAccepted)]
    assert jobs == [GOOD]


def test_the_list_of_workers_can_still_be_written_after_an_unusable_one():
    table = make_table()
    put(table, "cell", "0workers/x", b"x")
    recovered = recover(table)
    shares = WorkerShares(Epoch(2))
    shares.add_former_rows(recovered.worker_keys)
    record = RecordWorkers((make_worker("w2"),))
    assert "0workers/x" in shares.replace_workers(record.workers, {})[1]
    assert JobId("x") not in recovered.ended_jobs

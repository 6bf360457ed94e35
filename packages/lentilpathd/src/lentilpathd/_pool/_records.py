"""Rows that a pool stores in the platform's table, and their formats.

`lentilpath-jobs`, partitioned by the job's id: `ID` holds the job as it was accepted, `ID/cancel`
marks it as cancelled. Written by the host that serves the caller. A job has several partitions, and
either row counts in any of them; the same row may stand in more than one.

`lentilpath-pool`, a single partition: `0epoch` and `0lease` hold the current leader, `0workers/...`
the lives of workers that may be running tasks, `end/TASK/RUN` how a run ended,
`end/TASK/RUN-crashed` that its worker crashed under it, `end/TASK/RUN-suspected` that it may have,
and `final/ID` a job's final state. Written
only by the leader, on condition that `0epoch` is unchanged, and repeated while there is no answer.
A copy may be done after newer writes of the same leader, for as long as it leads. The first two
rows and the workers' change; docs/design/late-writes.md says for each why an older value does no
harm.
"""

from __future__ import annotations

import re
from typing import TypeVar

import msgspec

from lentilpath_core.ids import Epoch, HostId, Incarnation, JobId, WallTime
from lentilpath_core.pool import (
    MAX_INTEGER,
    FinalRecord,
    JobRecord,
    RunEnd,
    RunNumber,
    RunRecord,
    TaskKey,
)
from lentilpath_core.settings import Address

T = TypeVar("T")

JOBS_TABLE = "lentilpath-jobs"
JOB_PARTITIONS = 32
"""Partitions of the jobs table. A partition serializes its writes, so while the table is 100 times
slower it commits 2 a second; 32 partitions commit the jobs of a burst."""
PARTITIONS_PER_JOB = 3
"""Partitions that a job may be stored in. While a third of them do not answer, one in 27 jobs finds
none that does."""
PARTITION_STRIDE = 11
"""Distance between the partitions of a job; about `JOB_PARTITIONS` divided by the above."""
POOL_TABLE = "lentilpath-pool"
POOL_PARTITION = "cell"
EPOCH_KEY = "0epoch"
LEASE_KEY = "0lease"
WORKERS_KEY = "0workers"
"""Begins the keys of the workers' rows."""
LEADER_KEYS_END = WORKERS_KEY
"""End of the rows that every host polls; the workers' rows are not among them."""
CANCEL_SUFFIX = "/cancel"
END_PREFIX = "end/"
CRASH_SUFFIX = "-crashed"
SUSPICION_SUFFIX = "-suspected"
FINAL_PREFIX = "final/"
_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")


class EpochRow(msgspec.Struct, frozen=True, array_like=True):
    """The current leader and its epoch; written at a takeover."""

    epoch: Epoch
    host: HostId
    incarnation: Incarnation


class LeaseRow(msgspec.Struct, frozen=True, array_like=True):
    """End of the leader's lease on the table service's clock, and the leader's peer address."""

    epoch: Epoch
    host: HostId
    address: Address
    until_ms: int
    """0 after the leader has released the lease."""
    successor: str = ""
    """Host that takes over first after a release; empty for any."""
    is_sole: bool = False
    """Whether no leader before this one can act any more."""
    suspends_since: int = 0
    """Epoch since which all leaders that may act heed and keep the suspensions of workers, and
    bound their leases without word from the table. 0 if earlier releases may have led since, which
    leave this field out."""
    identifies_since: int = 0
    """Epoch since which all leaders that may act identify the process of a worker before they
    command it; 0 as above."""
    holds_since: int = 0
    """Epoch since which all leaders that may act store until when a restarted worker may hold its
    runs; 0 as above."""
    lease_ms: int = 0
    """Length of the lease in ms. Nobody else takes over before the row has been unchanged for this
    long. 0 in rows of earlier releases and of released leases."""


def encode_record(record: msgspec.Struct) -> bytes:
    """Encode a row's value."""
    return msgspec.msgpack.encode(record)


def decode_record(value: bytes, kind: type[T]) -> T:
    """Decode a row's value; raises `msgspec.DecodeError`, also if it is nested too deeply."""
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from error


def parse_job_id(text: str) -> JobId:
    """Return the job's id in a key; raises `ValueError`."""
    if not _JOB_ID.fullmatch(text):
        raise ValueError(f"{text[:40]!r} is not the id of a job, which has 16 hexadecimal digits")
    return JobId(text)


def decode_job(value: bytes) -> JobRecord:
    """Decode an accepted job; raises `msgspec.DecodeError`."""
    return decode_record(value, JobRecord)


class _AcceptedRecord(msgspec.Struct):
    """The part of a job's record that shares depend on."""

    accepted_at: WallTime = WallTime(0)


def decode_acceptance(value: bytes) -> WallTime:
    """Return when a job was accepted, without the rest; raises `msgspec.DecodeError`."""
    return decode_record(value, _AcceptedRecord).accepted_at


def get_job_partitions(job: JobId) -> tuple[str, ...]:
    """Return the partitions of the jobs table that may hold `job`, the usual one first."""
    first = int(job[-4:], 16)
    return tuple(
        str((first + number * PARTITION_STRIDE) % JOB_PARTITIONS)
        for number in range(PARTITIONS_PER_JOB)
    )


def list_job_partitions() -> tuple[str, ...]:
    """Return all partitions of the jobs table."""
    return tuple(str(number) for number in range(JOB_PARTITIONS))


def get_cancel_key(job: JobId) -> str:
    """Return the key of a job's cancellation row."""
    return job + CANCEL_SUFFIX


def format_task(task: TaskKey) -> str:
    """Return a task's name as used in row keys and logs."""
    return f"{task.job}/{task.occurrence}/{task.step}/{task.number}"


def make_end_key(task: TaskKey, record: RunRecord) -> str:
    """Return the key of the row for a run's end."""
    return make_run_key(task, record.run, record.end)


def make_run_key(task: TaskKey, run: RunNumber, end: RunEnd) -> str:
    """Return the key of the row for a run's end, a crash under it or the suspicion of one.

    These are rows of their own, so that a write that is applied late never replaces an end that
    the worker has reported after all, nor a suspicion the crash that was shown since.
    """
    suffix = {RunEnd.CRASHED: CRASH_SUFFIX, RunEnd.SUSPECTED: SUSPICION_SUFFIX}.get(end, "")
    return f"{END_PREFIX}{format_task(task)}/{run}{suffix}"


def parse_end_key(key: str) -> TaskKey:
    """Return the task in the key of a run's end; raises `ValueError`."""
    _, job, *numbers, _ = key.split("/")
    occurrence, step, number = (int(each) for each in numbers)
    if min(occurrence, step, number) < 0:
        raise ValueError(f"{key} has a negative number")
    return TaskKey(parse_job_id(job), occurrence, step, number)


def decode_end(value: bytes) -> RunRecord:
    """Decode a run's end; raises `ValueError`."""
    record = decode_record(value, RunRecord)
    if not 0 <= record.run <= MAX_INTEGER:
        raise ValueError(f"{record.run} is not the number of a run")
    return record


def make_final_key(job: JobId) -> str:
    """Return the key of the row for a job's final state."""
    return FINAL_PREFIX + job


def decode_final(value: bytes) -> FinalRecord:
    """Decode a job's final state; raises `msgspec.DecodeError`."""
    return decode_record(value, FinalRecord)

"""The rows that a pool keeps in the platform's table, and their formats.

`lentilpath-jobs`, one part of several by the job's id: `ID` holds the job as it was accepted,
`ID/cancel` that it was cancelled. Written by the host that answered the caller.

`lentilpath-pool`, one part: `0epoch` and `0lease` say who leads, `0workers` which lives of workers
may hold tasks, `end/TASK/RUN` how a run ended, and `final/ID` a job's final state. Written by the
leader only, under the condition that `0epoch` is unchanged. No row but the first three is ever
changed, so a write may be repeated and may arrive late.
"""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import (
    Epoch,
    HostId,
    Incarnation,
    JobId,
    RackId,
    ServiceId,
    WorkerId,
    ZoneId,
)
from lentilpath_core.pool import (
    FinalRecord,
    JobRecord,
    Life,
    ListedWorker,
    RunRecord,
    TaskKey,
    WorkerCondition,
)
from lentilpath_core.resources import Resources
from lentilpath_core.settings import Address

JOBS_TABLE = "lentilpath-jobs"
JOB_PARTITIONS = 32
"""Parts of the table of jobs. A part makes its writes one after another, so while the table is 100
times slower it takes 2 a second; 32 parts take what a burst brings."""
POOL_TABLE = "lentilpath-pool"
POOL_PARTITION = "cell"
EPOCH_KEY = "0epoch"
LEASE_KEY = "0lease"
WORKERS_KEY = "0workers"
LEADER_KEYS_END = "1"
CANCEL_SUFFIX = "/cancel"
END_PREFIX = "end/"
FINAL_PREFIX = "final/"


class EpochRow(msgspec.Struct, frozen=True, array_like=True):
    """Who leads since the last change of leader."""

    epoch: Epoch
    host: HostId
    incarnation: Incarnation


class LeaseRow(msgspec.Struct, frozen=True, array_like=True):
    """Until when the leader leads by the table service's clock, and where it is reached."""

    epoch: Epoch
    host: HostId
    address: Address
    until_ms: int
    """0 after a planned stop."""
    successor: str = ""
    """The host that is to follow after a planned stop; empty for any."""


class WorkerRow(msgspec.Struct, frozen=True, array_like=True):
    """A life of a worker that may hold tasks."""

    worker: WorkerId
    life: Life
    service: ServiceId
    address: Address
    zone: ZoneId
    rack: RackId
    labels: tuple[str, ...]
    capacity: Resources


def encode_record(record: msgspec.Struct | tuple[WorkerRow, ...]) -> bytes:
    """Return the bytes of a row's value."""
    return msgspec.msgpack.encode(record)


def decode_job(value: bytes) -> JobRecord:
    """Return an accepted job; raises `msgspec.DecodeError`."""
    return msgspec.msgpack.decode(value, type=JobRecord)


def get_job_partition(job: JobId) -> str:
    """Return the part of the table of jobs that holds `job`."""
    return str(int(job[-4:], 16) % JOB_PARTITIONS)


def list_job_partitions() -> tuple[str, ...]:
    """Return all parts of the table of jobs."""
    return tuple(str(number) for number in range(JOB_PARTITIONS))


def get_cancel_key(job: JobId) -> str:
    """Return the key of a job's cancellation."""
    return job + CANCEL_SUFFIX


def format_task(task: TaskKey) -> str:
    """Return a task's name in rows and logs."""
    return f"{task.job}/{task.occurrence}/{task.step}/{task.number}"


def make_end_key(task: TaskKey, record: RunRecord) -> str:
    """Return the key of a run's end."""
    return f"{END_PREFIX}{format_task(task)}/{record.run}"


def parse_end_key(key: str) -> TaskKey:
    """Return the task whose run's end has this key; raises `ValueError`."""
    _, job, occurrence, step, number, _ = key.split("/")
    return TaskKey(JobId(job), int(occurrence), int(step), int(number))


def decode_end(value: bytes) -> RunRecord:
    """Return a run's end; raises `msgspec.DecodeError`."""
    return msgspec.msgpack.decode(value, type=RunRecord)


def make_final_key(job: JobId) -> str:
    """Return the key of a job's final state."""
    return FINAL_PREFIX + job


def decode_final(value: bytes) -> FinalRecord:
    """Return a job's final state; raises `msgspec.DecodeError`."""
    return msgspec.msgpack.decode(value, type=FinalRecord)


def make_worker_rows(workers: tuple[ListedWorker, ...]) -> tuple[WorkerRow, ...]:
    """Return what is stored of the workers that a leader uses."""
    return tuple(
        WorkerRow(
            each.worker,
            each.life,
            each.service,
            each.address,
            each.zone,
            each.rack,
            tuple(sorted(each.labels)),
            each.capacity,
        )
        for each in workers
    )


def decode_workers(value: bytes) -> tuple[ListedWorker, ...]:
    """Return the workers that an earlier leader used; raises `msgspec.DecodeError`."""
    rows = msgspec.msgpack.decode(value, type=tuple[WorkerRow, ...])
    return tuple(
        ListedWorker(
            row.worker,
            row.life,
            row.service,
            row.address,
            row.zone,
            row.rack,
            frozenset(row.labels),
            row.capacity,
            WorkerCondition.READY,
        )
        for row in rows
    )

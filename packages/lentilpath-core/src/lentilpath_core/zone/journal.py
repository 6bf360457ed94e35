"""The events of a zone's journal and the batches that the table stores.

The journal is the only durable record of a zone: its state is a snapshot to which the batches
after it are applied in order. A batch is one row, `journal/ZONE/SEQUENCE`, written only if that
row is absent and the zone's epoch row is unchanged, so a deposed leader cannot append to it.
"""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import (
    Epoch,
    HostId,
    JobId,
    JournalSequence,
    TaskId,
    WallTime,
    WorkerId,
    ZoneId,
)
from lentilpath_core.resources import Resources
from lentilpath_core.states import AttemptOutcome
from lentilpath_core.workloads import JobSpec

SEQUENCE_DIGITS = 12


class JobAccepted(msgspec.Struct, frozen=True, tag=True):
    """The zone accepted a job."""

    spec: JobSpec
    accepted_at: WallTime
    accepted_by: HostId


class JobCancelled(msgspec.Struct, frozen=True, tag=True):
    """An operator stopped a job; its tasks end and none starts again."""

    job: JobId
    cancelled_at: WallTime
    cancelled_by: str


class JobRefused(msgspec.Struct, frozen=True, tag=True):
    """The job can never run here; none of its tasks starts."""

    job: JobId
    refused_at: WallTime
    reason: str


class AttemptStarting(msgspec.Struct, frozen=True, tag=True):
    """An attempt is about to start.

    Durable before the start command is sent, so that a start whose answer is lost is not mistaken
    for an attempt that never started. Only tasks of idempotent jobs may start before that.
    """

    task: TaskId
    attempt: int
    worker: WorkerId
    decided_at: WallTime
    reason: str
    room: Resources | None = None
    """Resources allocated to the attempt, if more than its job declares."""


class AttemptEnded(msgspec.Struct, frozen=True, tag=True):
    """An attempt ended. The times are those of the worker's report, if there is one."""

    task: TaskId
    attempt: int
    worker: WorkerId
    outcome: AttemptOutcome
    started_at: WallTime
    ended_at: WallTime
    millicore_ms: int = 0
    """Processor time used, in thousandths of a processor times milliseconds."""
    peak_memory_mib: int = 0


class WorkerJoined(msgspec.Struct, frozen=True, tag=True):
    """The worker process identified by `boot` may be given tasks from now on."""

    worker: WorkerId
    boot: str
    joined_at: WallTime


class WorkerLost(msgspec.Struct, frozen=True, tag=True):
    """The worker is silent and all its leases have expired; it runs no task of this zone."""

    worker: WorkerId
    lost_at: WallTime


class WorkerDrained(msgspec.Struct, frozen=True, tag=True):
    """An operator drained the worker: it gets no new tasks."""

    worker: WorkerId
    drained_at: WallTime
    drained_by: str


class WorkerUndrained(msgspec.Struct, frozen=True, tag=True):
    """An operator allowed new tasks on the worker again."""

    worker: WorkerId
    undrained_at: WallTime
    undrained_by: str


class CommandAnswered(msgspec.Struct, frozen=True, tag=True):
    """The outcome of a command, kept so that its repetition is answered without a second effect."""

    command: str
    answered_at: WallTime
    code: str
    """`ok`, or the `code` of an error."""
    text: str


JournalEvent = (
    JobAccepted
    | JobCancelled
    | JobRefused
    | AttemptStarting
    | AttemptEnded
    | WorkerJoined
    | WorkerLost
    | WorkerDrained
    | WorkerUndrained
    | CommandAnswered
)


class JournalBatch(msgspec.Struct, frozen=True):
    """One row of the journal: events that become durable together."""

    zone: ZoneId
    sequence: JournalSequence
    epoch: Epoch
    writer: str
    """The write id of the transaction, by which its writer recognises it."""
    events: tuple[JournalEvent, ...]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(JournalBatch)


def encode_batch(batch: JournalBatch) -> str:
    """Return the row value of `batch`."""
    return _encoder.encode(batch).decode()


def decode_batch(value: str) -> JournalBatch:
    """Return the batch stored as `value`; raises `msgspec.DecodeError` if it is invalid."""
    return _decoder.decode(value)


def get_batch_key(zone: ZoneId, sequence: JournalSequence) -> str:
    """Return the table key of one batch; keys sort in the order of their sequence."""
    return f"{get_journal_prefix(zone)}{sequence:0{SEQUENCE_DIGITS}d}"


def get_journal_prefix(zone: ZoneId) -> str:
    """Return the key prefix of all batches of `zone`."""
    return f"journal/{zone}/"

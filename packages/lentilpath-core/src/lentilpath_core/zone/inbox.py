"""Commands to a zone, each a row of the table until the zone's leader has executed it.

Any entry host may accept a command: it writes `inbox/ZONE/COMMAND` if that row is absent, and only
then acknowledges. The leader deletes the row in the transaction that adds the command's events to
the journal, so an accepted command is executed exactly once, across changes of leader.
"""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import HostId, JobId, WallTime, WorkerId, ZoneId
from lentilpath_core.workloads import JobSpec


class SubmitJob(msgspec.Struct, frozen=True, tag=True):
    """Run this job."""

    spec: JobSpec


class StopJob(msgspec.Struct, frozen=True, tag=True):
    """End the job and start none of its tasks again."""

    job: JobId


class DrainWorker(msgspec.Struct, frozen=True, tag=True):
    """Place no new tasks on the worker."""

    worker: WorkerId


class UndrainWorker(msgspec.Struct, frozen=True, tag=True):
    """Allow new tasks on the worker again."""

    worker: WorkerId


ZoneCommand = SubmitJob | StopJob | DrainWorker | UndrainWorker


class InboxEntry(msgspec.Struct, frozen=True):
    """One accepted command."""

    command: str
    """Id given by the caller or the accepting host; a repeated command has no second effect."""
    accepted_at: WallTime
    accepted_by: HostId
    operator: str
    body: ZoneCommand


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(InboxEntry)


def encode_entry(entry: InboxEntry) -> str:
    """Return the row value of `entry`."""
    return _encoder.encode(entry).decode()


def decode_entry(value: str) -> InboxEntry:
    """Return the entry stored as `value`; raises `msgspec.DecodeError` if it is invalid."""
    return _decoder.decode(value)


def get_inbox_prefix(zone: ZoneId) -> str:
    """Return the key prefix of all commands to `zone`."""
    return f"inbox/{zone}/"


def get_inbox_key(zone: ZoneId, command: str) -> str:
    """Return the table key of one command to `zone`."""
    return f"{get_inbox_prefix(zone)}{command}"

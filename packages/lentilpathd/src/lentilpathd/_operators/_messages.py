"""Messages of the administration API and between the entry hosts that answer it."""

from __future__ import annotations

from typing import Any

import msgspec

from lentilpath_core.ids import CustomerId, TeamId, WallTime, ZoneId
from lentilpath_core.language import Table
from lentilpath_core.usage import UsageLine

MAX_ID_LENGTH = 64


class CommandRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `POST /v1/commands`."""

    command: str
    id: str = ""
    """Idempotency key chosen by the caller; the host generates one if it is empty."""
    dry_run: bool = False
    expect_version: int | None = None
    """Version that the caller read; the command conflicts if the current version differs."""
    wait_ms: int = 1_000
    """Maximum time to wait for the zone's answer to an accepted command."""


class CommandResponse(msgspec.Struct, frozen=True):
    """Answer to a command that was executed, accepted or refused by its zone."""

    outcome: str
    """`done`, `accepted` (durable, but its zone has not answered yet), `refused` or `dry-run`."""
    message: str = ""
    table: Table | None = None
    partial: tuple[ZoneId, ...] = ()
    """Zones that did not answer; their rows may be missing."""
    id: str = ""
    version: int | None = None
    """Version of the changed row or configuration, for `expect_version` of the next change."""


class Subject(msgspec.Struct, frozen=True):
    """Row `job/JOB` or `worker/WORKER`: the zone of a job or worker and its last command."""

    zone: ZoneId
    command: str
    """Id of the last command that changed the job or worker."""
    operator: str
    at: WallTime
    text: str
    team: TeamId = TeamId("")
    """Team of the job; empty for a worker."""


class ZoneQuery(msgspec.Struct, frozen=True):
    """Topic `operators.query`: a read query to the leader of a zone."""

    zone: ZoneId
    kind: str
    """Class name of the command, or `count_job_tasks` or `count_worker_tasks`."""
    command: Any


class ZoneReply(msgspec.Struct, frozen=True):
    """Rows of one zone, and whether the zone knows the queried job, task or worker."""

    table: Table
    found: bool = True


class ZoneWake(msgspec.Struct, frozen=True):
    """Topic `operators.wake`: tells a zone's leader that its inbox has a new command."""

    zone: ZoneId
    command: str
    wait_ms: int


class ZoneWakeReply(msgspec.Struct, frozen=True):
    """The zone's answer to the command; `code` is `None` if it did not arrive in time."""

    code: str | None = None
    text: str = ""


class OpenLinesQuery(msgspec.Struct, frozen=True):
    """Topic `operators.usage`: requests the unsealed usage lines of a zone."""

    zone: ZoneId
    customer: CustomerId | None


class DigestQuery(msgspec.Struct, frozen=True):
    """Topic `operators.digest`: requests a summary of a zone's free resources and queue."""

    zone: ZoneId


class OpenLinesReply(msgspec.Struct, frozen=True):
    """The current unsealed lines."""

    lines: tuple[UsageLine, ...]


_subject_decoder = msgspec.json.Decoder(Subject)


def decode_subject(value: str) -> Subject:
    """Return the subject stored as `value`; raises `msgspec.DecodeError` if it is malformed."""
    return _subject_decoder.decode(value)


def encode_subject(subject: Subject) -> str:
    """Return the row value of `subject`."""
    return msgspec.json.encode(subject).decode()

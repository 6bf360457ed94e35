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
    """Chosen by the caller; the same id again has no second effect. Empty: the host makes one."""
    dry_run: bool = False
    expect_version: int | None = None
    """The version that the caller saw; another version by now is a conflict."""
    wait_ms: int = 1_000
    """How long to wait for the zone's answer to an accepted command."""


class CommandResponse(msgspec.Struct, frozen=True):
    """Answer to a command that was carried out or accepted."""

    outcome: str
    """`done`, `accepted` (durable, its zone has not answered yet) or `dry-run`."""
    message: str = ""
    table: Table | None = None
    partial: tuple[ZoneId, ...] = ()
    """Zones that did not answer, so that rows of theirs may be missing."""
    id: str = ""
    version: int | None = None
    """Version of what was changed, to be expected by the next change."""


class Subject(msgspec.Struct, frozen=True):
    """Row `job/JOB` or `worker/WORKER`: the zone of what commands change, and the last of them."""

    zone: ZoneId
    command: str
    """Id of the last command that changed it."""
    operator: str
    at: WallTime
    text: str
    team: TeamId = TeamId("")
    """Of a job."""


class ZoneQuery(msgspec.Struct, frozen=True):
    """Topic `operators.query`: one read command for the leader of a zone."""

    zone: ZoneId
    kind: str
    """Name of the command's class, or of one of the further questions."""
    command: Any


class ZoneReply(msgspec.Struct, frozen=True):
    """Rows of one zone, and whether the zone knows what was asked about."""

    table: Table
    found: bool = True


class ZoneWake(msgspec.Struct, frozen=True):
    """Topic `operators.wake`: the zone's inbox has a new command."""

    zone: ZoneId
    command: str
    wait_ms: int


class ZoneWakeReply(msgspec.Struct, frozen=True):
    """The zone's answer to the command, if it came in time."""

    code: str | None = None
    text: str = ""


class OpenLinesQuery(msgspec.Struct, frozen=True):
    """Topic `operators.usage`: usage lines of the zone that are not sealed yet."""

    zone: ZoneId
    customer: CustomerId | None


class DigestQuery(msgspec.Struct, frozen=True):
    """Topic `operators.digest`: the room and the queue of the zone."""

    zone: ZoneId


class OpenLinesReply(msgspec.Struct, frozen=True):
    """The lines as they stand now."""

    lines: tuple[UsageLine, ...]


_subject_decoder = msgspec.json.Decoder(Subject)


def decode_subject(value: str) -> Subject:
    """Return the subject stored as `value`; raises `msgspec.DecodeError` if it is none."""
    return _subject_decoder.decode(value)


def encode_subject(subject: Subject) -> str:
    """Return the row value of `subject`."""
    return msgspec.json.encode(subject).decode()

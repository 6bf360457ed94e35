"""Events that the leadership decisions handle, and the effects that they return."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.ids import Epoch, RowVersion, WriteId
from lentilpath_core.leadership._rows import Member, ReadZone, ZoneRow


class WriteOutcome(Enum):
    """What is known about the outcome of one copy of a write."""

    APPLIED = "applied"
    REJECTED = "rejected"
    """A checked row had another version, so no copy of the write can apply from now on."""
    NOT_REACHED = "not-reached"
    """This copy certainly had no effect."""
    UNKNOWN = "unknown"
    """This copy may have applied or may still apply."""


@dataclass(frozen=True, slots=True)
class ClockAdvanced:
    """A timer tick: handle what has become due."""


@dataclass(frozen=True, slots=True)
class ZoneWasRead:
    """The table answered a `ReadRows`."""

    read: ReadZone


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The table did not answer a `ReadRows`."""


@dataclass(frozen=True, slots=True)
class WriteAnswered:
    """The request that carried one copy of the write `write_id` has ended."""

    write_id: WriteId
    outcome: WriteOutcome


@dataclass(frozen=True, slots=True)
class HelloReceived:
    """Another process of this zone sent a hello to this one."""

    member: Member


@dataclass(frozen=True, slots=True)
class PromiseAsked:
    """A holder that cannot renew asks this process not to take over for `duration_ms`."""

    holder: Member
    epoch: Epoch
    asked: Member
    """The addressed member; another incarnation of the same host cannot answer for it."""
    round: int
    duration_ms: int


@dataclass(frozen=True, slots=True)
class PromiseGiven:
    """A member has promised in round `round`."""

    member: Member
    round: int


@dataclass(frozen=True, slots=True)
class ListenerBound:
    """The process has bound its host's address, so no earlier process of the host answers there."""


@dataclass(frozen=True, slots=True)
class ReleaseRequested:
    """A planned stop: release the zone and never take it over again."""


@dataclass(frozen=True, slots=True)
class ReleaseAnnounced:
    """A holder announced that it has released the zone, so the rows should be read at once."""


LeadershipEvent = (
    ClockAdvanced
    | ZoneWasRead
    | ReadFailed
    | WriteAnswered
    | HelloReceived
    | PromiseAsked
    | PromiseGiven
    | ListenerBound
    | ReleaseRequested
    | ReleaseAnnounced
)


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Read the zone row and the epoch row in one request."""


@dataclass(frozen=True, slots=True)
class WriteRows:
    """Write `row` if the zone row has `version`.

    With `takes_over` the epoch row is written in the same transaction, on condition that it has
    `epoch_version`.
    """

    row: ZoneRow
    version: RowVersion
    epoch_version: RowVersion
    takes_over: bool


@dataclass(frozen=True, slots=True)
class AskPromises:
    """Ask each of `members` for a promise."""

    members: tuple[Member, ...]
    epoch: Epoch
    round: int
    duration_ms: int


@dataclass(frozen=True, slots=True)
class AnswerPromise:
    """The answer to the `PromiseAsked` event that is being handled."""

    given: bool
    reason: str


@dataclass(frozen=True, slots=True)
class AnnounceRelease:
    """Tell `members` that the zone was released."""

    members: tuple[Member, ...]


LeadershipEffect = ReadRows | WriteRows | AskPromises | AnswerPromise | AnnounceRelease
Effects = tuple[LeadershipEffect, ...]

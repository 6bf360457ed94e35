"""Events that the decisions answer and effects that they ask for."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.ids import Epoch, RowVersion, WriteId
from lentilpath_core.leadership._rows import Member, ReadZone, ZoneRow


class WriteOutcome(Enum):
    """What is known of one copy of a write."""

    APPLIED = "applied"
    REJECTED = "rejected"
    """A checked row had another version. No copy of the write will ever apply any more."""
    NOT_REACHED = "not-reached"
    """This copy surely did nothing."""
    UNKNOWN = "unknown"
    """This copy may have applied or may still apply."""


@dataclass(frozen=True, slots=True)
class ClockAdvanced:
    """Time has passed; do what is due."""


@dataclass(frozen=True, slots=True)
class ZoneWasRead:
    """The table answered a `ReadRows`."""

    read: ReadZone


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The table did not answer a `ReadRows`."""


@dataclass(frozen=True, slots=True)
class WriteAnswered:
    """One copy of the write `write_id` came to an end."""

    write_id: WriteId
    outcome: WriteOutcome


@dataclass(frozen=True, slots=True)
class HelloReceived:
    """A process of this zone has spoken to this one."""

    member: Member


@dataclass(frozen=True, slots=True)
class PromiseAsked:
    """A holder that cannot renew asks this process not to take over for `duration_ms`."""

    holder: Member
    epoch: Epoch
    asked: Member
    """Whom the holder means; another incarnation of the same host cannot answer for it."""
    round: int
    duration_ms: int


@dataclass(frozen=True, slots=True)
class PromiseGiven:
    """A member has promised in round `round`."""

    member: Member
    round: int


@dataclass(frozen=True, slots=True)
class ListenerBound:
    """The process holds its host's address, so no earlier process of the host answers there."""


@dataclass(frozen=True, slots=True)
class ReleaseRequested:
    """A planned stop: give the zone up and never seek it again."""


@dataclass(frozen=True, slots=True)
class ReleaseNoticed:
    """A holder says that it has just given the zone up, so reading at once is worth while."""


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
    | ReleaseNoticed
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
    """The answer to the `PromiseAsked` that was decided."""

    given: bool
    reason: str


@dataclass(frozen=True, slots=True)
class AnnounceRelease:
    """Tell `members` that the zone is free."""

    members: tuple[Member, ...]


LeadershipEffect = ReadRows | WriteRows | AskPromises | AnswerPromise | AnnounceRelease
Effects = tuple[LeadershipEffect, ...]

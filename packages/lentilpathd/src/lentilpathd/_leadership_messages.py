"""What entry hosts of a zone tell each other about its leadership."""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import Epoch, HostId, Incarnation

HELLO_TOPIC = "leadership.hello"
PROMISE_TOPIC = "leadership.promise"
RELEASED_TOPIC = "leadership.released"


class HelloAnswer(msgspec.Struct, frozen=True):
    """Whom the answering host takes for the leader of its zone."""

    leader: HostId | None


class PromiseRequest(msgspec.Struct, frozen=True):
    """A holder's request not to take over; its sender is the holder."""

    epoch: Epoch
    asked: Incarnation
    round: int
    duration_ms: int


class PromiseReply(msgspec.Struct, frozen=True):
    """Whether the promise was given, and if not, why."""

    given: bool
    reason: str


class Empty(msgspec.Struct, frozen=True):
    """A message without content."""

"""Messages between the entry hosts of a zone about its leadership."""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import Epoch, HostId, Incarnation

HELLO_TOPIC = "leadership.hello"
PROMISE_TOPIC = "leadership.promise"
RELEASED_TOPIC = "leadership.released"


class HelloAnswer(msgspec.Struct, frozen=True):
    """The leader of its zone as the answering host knows it."""

    leader: HostId | None


class PromiseRequest(msgspec.Struct, frozen=True):
    """A leader's request that a peer promise not to take over for `duration_ms`.

    The sender of the message is the leader. `asked` is the incarnation of the peer that promises.
    """

    epoch: Epoch
    asked: Incarnation
    round: int
    duration_ms: int


class PromiseReply(msgspec.Struct, frozen=True):
    """Whether the promise was given, and the reason if it was not."""

    given: bool
    reason: str


class Empty(msgspec.Struct, frozen=True):
    """A message without content."""

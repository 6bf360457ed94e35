"""Messages between entry hosts. A message of a later protocol version is refused."""

from __future__ import annotations

from typing import Any

import msgspec

from lentilpath_core.ids import HostId, Incarnation, ZoneId

PROTOCOL_VERSION = 2


class PeerRequest(msgspec.Struct, frozen=True):
    """One request from an entry host to another."""

    version: int
    sender: HostId
    incarnation: Incarnation
    zone: ZoneId
    topic: str
    """Selects the handler; each subsystem owns its topics."""
    body: Any
    """A message of the topic, converted to builtin types."""


class PeerReply(msgspec.Struct, frozen=True):
    """The answer to a `PeerRequest`."""

    version: int
    sender: HostId
    incarnation: Incarnation
    code: str
    """`ok`, or the `code` of an error."""
    body: Any
    """The message of the answer, or the text of the error."""

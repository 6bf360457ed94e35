"""Idempotency keys: the durable record of a keyed request, and what a repetition of it gets.

The record is written before the request is sent, so a repetition through any entry host finds it.
It is bound to one token, which names one sending: only the holder of the token changes the record.
"""

from __future__ import annotations

import hashlib
from enum import Enum

import msgspec

from lentilpath_core.ids import CustomerId, Incarnation, ServiceId, WallTime
from lentilpath_core.requests.messages import CallerRequest

KEY_PREFIX = "requests/key/"
KEPT_MS = 86_400_000
"""How long a key's answer is kept at least."""


class KeyState(Enum):
    """How far the first sending of a key has come."""

    STARTED = "started"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    DEFERRED = "deferred"
    """It was accepted for later delivery; `deferred` names it."""


class StoredAnswer(msgspec.Struct, frozen=True):
    """A runner's answer, in a row or, if it is large, in an object."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    body_object: str = ""
    """Key of the object that holds the body, if the row does not."""


class KeyRecord(msgspec.Struct, frozen=True):
    """The row of one idempotency key."""

    state: KeyState
    token: str
    fingerprint: str
    holder: Incarnation
    written_at: WallTime
    answer: StoredAnswer | None = None
    deferred: str = ""


class KeyDecision(Enum):
    """What a sending with a key gets, given the record that it met."""

    RUN = "run"
    """The record is this sending's own."""
    REPLAY = "replay"
    WAIT = "wait"
    """The first sending is under way; look again."""
    ABANDONED = "abandoned"
    """The first sending has been under way for so long that its holder must be gone."""
    UNKNOWN = "unknown"
    POINT_TO_DEFERRED = "point-to-deferred"
    REUSED = "reused"
    """The key was used for another request."""


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(KeyRecord)


def encode_key_record(record: KeyRecord) -> str:
    """Return the row value of `record`."""
    return _encoder.encode(record).decode()


def decode_key_record(value: str) -> KeyRecord:
    """Return the record stored as `value`; raises `msgspec.DecodeError` if it is none."""
    return _decoder.decode(value)


def get_key_row(customer: CustomerId, service: ServiceId, key: str) -> str:
    """Return the table key of an idempotency key; keys of unlike customers never meet."""
    parts = (customer, service, key)
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return KEY_PREFIX + hashlib.sha256(text.encode()).hexdigest()


def compute_fingerprint(request: CallerRequest) -> str:
    """Return a digest of what the request asks for, to tell a repetition from another request."""
    digest = hashlib.sha256()
    for part in (request.method.encode(), request.target.encode("latin-1"), request.body):
        digest.update(f"{len(part)}:".encode())
        digest.update(part)
    return digest.hexdigest()


def decide_key(
    record: KeyRecord, token: str, fingerprint: str, now: WallTime, abandoned_after_ms: int
) -> KeyDecision:
    """Return what the sending named `token` gets, given the `record` that stands in the table."""
    if record.token == token:
        return KeyDecision.RUN
    if record.fingerprint != fingerprint:
        return KeyDecision.REUSED
    if record.state is KeyState.ANSWERED:
        return KeyDecision.REPLAY
    if record.state is KeyState.DEFERRED:
        return KeyDecision.POINT_TO_DEFERRED
    if record.state is KeyState.UNKNOWN:
        return KeyDecision.UNKNOWN
    # Both readings only choose between two truthful wordings, so wall time is good enough.
    if now - record.written_at > abandoned_after_ms:
        return KeyDecision.ABANDONED
    return KeyDecision.WAIT

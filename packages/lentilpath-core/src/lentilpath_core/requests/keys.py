"""Idempotency keys: the durable record of a keyed request, and the handling of repetitions.

The record is written before the request is sent, so a repetition through any entry host finds it.
It holds a token that identifies one submission of the request; only the holder of that token
changes the record.
"""

from __future__ import annotations

import hashlib
from enum import Enum

import msgspec

from lentilpath_core.ids import CustomerId, Incarnation, ServiceId, WallTime
from lentilpath_core.requests.messages import CallerRequest

KEY_PREFIX = "requests/key/"
KEY_RETENTION_MS = 86_400_000
"""Minimum time for which the answer of a key is kept."""


class KeyState(Enum):
    """State of the first request with a key."""

    STARTED = "started"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    DEFERRED = "deferred"
    """Accepted for later delivery; the field `deferred` identifies it."""


class StoredAnswer(msgspec.Struct, frozen=True):
    """A runner's answer, stored in a row; a large body is stored in an object."""

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
    """How a request with a key is handled, given the stored record of the key."""

    RUN = "run"
    """The record belongs to this request."""
    REPLAY = "replay"
    WAIT = "wait"
    """The first request is in progress; poll again."""
    ABANDONED = "abandoned"
    """The first request has been in progress for so long that its holder must have failed."""
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
    """Return the record stored as `value`; raises `msgspec.DecodeError` if it is malformed."""
    return _decoder.decode(value)


def get_key_row(customer: CustomerId, service: ServiceId, key: str) -> str:
    """Return the table key of an idempotency key.

    Length prefixes keep equal keys of different customers or services from colliding.
    """
    parts = (customer, service, key)
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return KEY_PREFIX + hashlib.sha256(text.encode()).hexdigest()


def compute_fingerprint(request: CallerRequest) -> str:
    """Return a digest of method, target and body, which tells a repetition from a new request."""
    digest = hashlib.sha256()
    for part in (request.method.encode(), request.target.encode("latin-1"), request.body):
        digest.update(f"{len(part)}:".encode())
        digest.update(part)
    return digest.hexdigest()


def decide_key(
    record: KeyRecord, token: str, fingerprint: str, now: WallTime, abandoned_after_ms: int
) -> KeyDecision:
    """Return how to handle the request identified by `token`, given the stored `record`."""
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
    # Either decision gives the caller a correct answer, so the precision of wall time suffices.
    if now - record.written_at > abandoned_after_ms:
        return KeyDecision.ABANDONED
    return KeyDecision.WAIT

"""Deferred requests: accepted durably, delivered later, exactly once or reported as unknown.

An accepted request is the row `requests/waiting/ZONE/ID`. Before each sending its row is changed
to `SENDING` by a conditional write, so of all hosts only one sends it. When it has ended, one
transaction deletes the row and writes `requests/done/ZONE/ID`, which tells how.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from lentilpath_core.ids import CustomerId, Incarnation, Instant, ServiceId, WallTime, ZoneId
from lentilpath_core.requests.keys import StoredAnswer
from lentilpath_core.requests.messages import IDEMPOTENT_METHODS

WAITING_PREFIX = "requests/waiting/"
DONE_PREFIX = "requests/done/"


class DeferredState(Enum):
    """How far a deferred request has come."""

    ACCEPTED = "accepted"
    SENDING = "sending"
    DELIVERED = "delivered"
    UNKNOWN = "unknown"
    """It was sent and its answer is lost; it is not sent again."""


class DeferredRecord(msgspec.Struct, frozen=True):
    """The row of one deferred request."""

    deferred: str
    """`ZONE/ID`."""
    state: DeferredState
    customer: CustomerId
    service: ServiceId
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    accepted_at: WallTime
    accepted_by: Incarnation
    attempts: int = 0
    token: str = ""
    """Names the sending under way."""
    answer: StoredAnswer | None = None

    def may_repeat(self) -> bool:
        """Return whether it may be sent again after an unknown outcome."""
        return self.method in IDEMPOTENT_METHODS


class OrphanDecision(Enum):
    """What a host does about a waiting row that it does not deliver itself."""

    LEAVE = "leave"
    SEND = "send"
    REPORT_UNKNOWN = "report-unknown"


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(DeferredRecord)


def encode_deferred(record: DeferredRecord) -> str:
    """Return the row value of `record`."""
    return _encoder.encode(record).decode()


def decode_deferred(value: str) -> DeferredRecord:
    """Return the record stored as `value`; raises `msgspec.DecodeError` if it is none."""
    return _decoder.decode(value)


def get_waiting_prefix(zone: ZoneId) -> str:
    """Return what the rows of all waiting requests of `zone` begin with."""
    return f"{WAITING_PREFIX}{zone}/"


def get_waiting_row(deferred: str) -> str:
    """Return the table key of a request that has not ended."""
    return WAITING_PREFIX + deferred


def get_done_row(deferred: str) -> str:
    """Return the table key of a request that has ended."""
    return DONE_PREFIX + deferred


def decide_orphan(
    record: DeferredRecord, unchanged_since: Instant, now: Instant, max_run_ms: int
) -> OrphanDecision:
    """Return what to do about a row that was seen unchanged from `unchanged_since` to `now`.

    A sender sends within `max_run_ms` of its claim and gives up `max_run_ms` later, so a claim that
    is older than both has no sender any more.
    """
    age_ms = now - unchanged_since
    if record.state is DeferredState.ACCEPTED:
        return OrphanDecision.SEND if age_ms > max_run_ms else OrphanDecision.LEAVE
    if age_ms <= 2 * max_run_ms:
        return OrphanDecision.LEAVE
    return OrphanDecision.SEND if record.may_repeat() else OrphanDecision.REPORT_UNKNOWN

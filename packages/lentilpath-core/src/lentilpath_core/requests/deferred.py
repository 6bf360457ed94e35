"""Deferred requests: stored durably, then delivered exactly once or reported as unknown.

An accepted request is stored as the row `requests/waiting/ZONE/ID`. Before each attempt to send it,
a conditional write sets the row to `SENDING`, so only one host sends it. When the request has
ended, one transaction deletes the row and writes the outcome to `requests/done/ZONE/ID`.
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
    """Delivery state of a deferred request."""

    ACCEPTED = "accepted"
    SENDING = "sending"
    DELIVERED = "delivered"
    UNKNOWN = "unknown"
    """Sent, but the answer was lost; it is not sent again."""


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
    """Identifies the current attempt to send it."""
    answer: StoredAnswer | None = None

    def may_repeat(self) -> bool:
        """Return whether it may be sent again after an unknown outcome."""
        return self.method in IDEMPOTENT_METHODS


class OrphanDecision(Enum):
    """What a host does with a waiting row that it is not delivering itself."""

    LEAVE = "leave"
    SEND = "send"
    REPORT_UNKNOWN = "report-unknown"


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(DeferredRecord)


def encode_deferred(record: DeferredRecord) -> str:
    """Return the row value of `record`."""
    return _encoder.encode(record).decode()


def decode_deferred(value: str) -> DeferredRecord:
    """Return the record stored as `value`; raises `msgspec.DecodeError` if it is malformed."""
    return _decoder.decode(value)


def get_waiting_prefix(zone: ZoneId) -> str:
    """Return the key prefix of the rows of all waiting requests of `zone`."""
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
    """Return what to do with a row that was seen unchanged from `unchanged_since` to `now`.

    A sender sends within `max_run_ms` of its claim and gives up another `max_run_ms` later, so a
    claim older than both together has no active sender.
    """
    age_ms = now - unchanged_since
    if record.state is DeferredState.ACCEPTED:
        return OrphanDecision.SEND if age_ms > max_run_ms else OrphanDecision.LEAVE
    if age_ms <= 2 * max_run_ms:
        return OrphanDecision.LEAVE
    return OrphanDecision.SEND if record.may_repeat() else OrphanDecision.REPORT_UNKNOWN

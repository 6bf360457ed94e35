"""A caller's request, its answer, and the ways in which it can fail."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import CustomerId, Instant, RequestId, ServiceId

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class Priority(Enum):
    """Queue priority of a request."""

    URGENT = "urgent"
    NORMAL = "normal"


class Outcome(Enum):
    """Whether a request that got no answer from its service may have run."""

    NOT_RUN = "not-run"
    """Never sent, or refused by the runner before it started."""
    UNKNOWN = "unknown"
    """It may have run."""


class FailureReason(Enum):
    """Why a request got no answer: code, HTTP status and outcome."""

    INVALID = ("invalid-request", 400, Outcome.NOT_RUN)
    UNKNOWN_SERVICE = ("unknown-service", 404, Outcome.NOT_RUN)
    UNKNOWN_REQUEST = ("unknown-request", 404, Outcome.NOT_RUN)
    KEY_REUSED = ("key-reused", 422, Outcome.NOT_RUN)
    LIMIT_REACHED = ("limit-reached", 429, Outcome.NOT_RUN)
    OVERLOADED = ("overloaded", 503, Outcome.NOT_RUN)
    NO_RUNNER = ("no-runner", 503, Outcome.NOT_RUN)
    TABLE_UNAVAILABLE = ("table-unavailable", 503, Outcome.NOT_RUN)
    DEADLINE_PASSED = ("deadline-passed", 504, Outcome.NOT_RUN)
    KEY_IN_PROGRESS = ("key-in-progress", 504, Outcome.UNKNOWN)
    OUTCOME_UNKNOWN = ("outcome-unknown", 502, Outcome.UNKNOWN)

    @property
    def code(self) -> str:
        """The stable code that programs compare."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status of the answer."""
        return self.value[1]

    @property
    def outcome(self) -> Outcome:
        """Whether the request may have run."""
        return self.value[2]


class RequestFailed(LentilpathError):
    """A request ended without an answer from its service."""

    def __init__(self, reason: FailureReason, message: str, retry_after_ms: int = 0) -> None:
        super().__init__(message)
        self.code = reason.code
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        """Suggested delay before a retry; 0 if a retry would not help."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request for a service, as it is passed to a runner."""

    request_id: RequestId
    customer: CustomerId
    service: ServiceId
    method: str
    target: str
    """HTTP request target: path and query, starting with the slash."""
    headers: tuple[tuple[str, str], ...]
    body: bytes
    priority: Priority
    deadline: Instant
    """Time after which the caller can no longer use the answer."""
    idempotency_key: str | None = None
    """The caller's idempotency key."""
    deferred: bool = False
    """Whether the request is stored durably and delivered later."""

    def is_idempotent(self) -> bool:
        """Return whether the method is idempotent, so that the request may safely run twice."""
        return self.method in IDEMPOTENT_METHODS

    def count_bytes(self) -> int:
        """Return the approximate size in bytes, in memory and on the wire."""
        headers = sum(len(name) + len(value) + 4 for name, value in self.headers)
        return len(self.target) + headers + len(self.body)


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The complete answer of a runner."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

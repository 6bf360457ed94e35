"""Parses callers' HTTP requests for services and builds the responses."""

from __future__ import annotations

import base64
import math
from dataclasses import dataclass
from urllib.parse import unquote

from lentilpath_core.ids import CustomerId, Instant, RequestId, ServiceId
from lentilpath_core.requests.deferred import DeferredRecord
from lentilpath_core.requests.messages import (
    CallerRequest,
    FailureReason,
    Priority,
    RequestFailed,
    ServiceAnswer,
)
from lentilpath_core.requests.policy import RequestPolicy
from lentilpath_http import HttpRequest, HttpResponse, json_response

SERVICES_PREFIX = "/services/"
DEFERRED_PREFIX = "/deferred/"
HTTP_ACCEPTED = 202
HTTP_OK = 200
MAX_NAME_LENGTH = 120
MAX_KEY_LENGTH = 200
MS_PER_SECOND = 1_000
ASYNC_PREFERENCE = "respond-async"
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
PLATFORM_HEADERS = frozenset(
    {"x-request-id", "x-deadline-ms", "x-customer", "x-priority", "prefer"}
)
STRIPPED_HEADERS = HOP_BY_HOP_HEADERS | PLATFORM_HEADERS


def read_request(
    message: HttpRequest, request: RequestId, policy: RequestPolicy, now: Instant
) -> CallerRequest:
    """Return the request in `message`; raises `RequestFailed` if it is invalid."""
    service, target = _split_target(message.target)
    return CallerRequest(
        request_id=request,
        customer=CustomerId(_read_name(message, "x-customer")),
        service=service,
        method=message.method,
        target=target,
        headers=strip_headers(message.headers),
        body=message.body,
        priority=_read_priority(message),
        deadline=Instant(now + _read_deadline(message, policy)),
        idempotency_key=_read_key(message),
        deferred=ASYNC_PREFERENCE in (message.get_header("prefer") or ""),
    )


@dataclass(frozen=True, slots=True)
class DeferredQuery:
    """A customer's query for the state of a deferred request."""

    deferred: str
    customer: CustomerId


def read_deferred_query(message: HttpRequest) -> DeferredQuery | None:
    """Return the query in `message`, or `None` if it is no query; raises `RequestFailed`."""
    path = message.target.partition("?")[0]
    if not path.startswith(DEFERRED_PREFIX) or message.method != "GET":
        return None
    customer = CustomerId(_read_name(message, "x-customer"))
    return DeferredQuery(path.removeprefix(DEFERRED_PREFIX), customer)


def write_acceptance(request: RequestId, deferred: str) -> HttpResponse:
    """Return the response that confirms that a request will be delivered."""
    location = DEFERRED_PREFIX + deferred
    headers = (("x-request-id", request), ("location", location))
    return json_response(HTTP_ACCEPTED, {"state": "accepted", "location": location}, headers)


def write_deferred(
    request: RequestId, query: DeferredQuery, record: DeferredRecord | None
) -> HttpResponse:
    """Return the response with the state of a deferred request and its answer, if there is one.

    Raises `RequestFailed` if the request is unknown or of another customer.
    """
    if record is None or record.customer != query.customer:
        raise RequestFailed(
            FailureReason.UNKNOWN_REQUEST, f"no deferred request {query.deferred[:200]!r} is known"
        )
    body: dict[str, object] = {
        "state": record.state.value,
        "accepted_at": record.accepted_at,
        "attempts": record.attempts,
    }
    if record.answer is not None:
        body["answer"] = {
            "status": record.answer.status,
            "headers": record.answer.headers,
            "body_base64": base64.b64encode(record.answer.body).decode(),
            "body_object": record.answer.body_object,
        }
    return json_response(HTTP_OK, body, (("x-request-id", request),))


def strip_headers(headers: tuple[tuple[str, str], ...]) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers, without hop-by-hop headers and those of this platform."""
    stripped = STRIPPED_HEADERS
    for name, value in headers:
        if name == "connection":
            stripped |= {token.strip().lower() for token in value.split(",")}
    return tuple((name, value) for name, value in headers if name not in stripped)


def write_answer(request: RequestId, answer: ServiceAnswer) -> HttpResponse:
    """Return the response with a runner's answer."""
    headers = (*strip_headers(answer.headers), ("x-request-id", request))
    return HttpResponse(answer.status, headers, answer.body)


def write_failure(request: RequestId, failure: RequestFailed) -> HttpResponse:
    """Return the response with the reason of a failure and when the caller may retry."""
    reason = failure.reason
    headers: tuple[tuple[str, str], ...] = (("x-request-id", request),)
    body: dict[str, object] = {
        "error": reason.code,
        "message": str(failure),
        "outcome": reason.outcome.value,
    }
    if failure.retry_after_ms:
        seconds = math.ceil(failure.retry_after_ms / MS_PER_SECOND)
        headers = (*headers, ("retry-after", str(seconds)))
        body["retry_after_ms"] = failure.retry_after_ms
    return json_response(reason.status, body, headers)


def _split_target(target: str) -> tuple[ServiceId, str]:
    path, separator, query = target.partition("?")
    if not path.startswith(SERVICES_PREFIX):
        raise RequestFailed(
            FailureReason.INVALID, f"the path is {path[:200]!r}; ask for /services/SERVICE/..."
        )
    name, _, rest = path.removeprefix(SERVICES_PREFIX).partition("/")
    service = unquote(name)
    if not 0 < len(service) <= MAX_NAME_LENGTH:
        raise RequestFailed(FailureReason.INVALID, f"the service name is {service[:200]!r}")
    return ServiceId(service), f"/{rest}{separator}{query}"


def _read_name(message: HttpRequest, header: str) -> str:
    value = message.get_header(header) or ""
    if not 0 < len(value) <= MAX_NAME_LENGTH or not value.isprintable():
        raise RequestFailed(
            FailureReason.INVALID,
            f"{header} is {value[:200]!r}; give 1 to {MAX_NAME_LENGTH} printable characters",
        )
    return value


def _read_priority(message: HttpRequest) -> Priority:
    value = message.get_header("x-priority") or Priority.NORMAL.value
    try:
        return Priority(value)
    except ValueError as error:
        raise RequestFailed(
            FailureReason.INVALID, f"x-priority is {value[:200]!r}; give urgent or normal"
        ) from error


def _read_deadline(message: HttpRequest, policy: RequestPolicy) -> int:
    value = message.get_header("x-deadline-ms")
    if value is None:
        return policy.default_deadline_ms
    if not value.isascii() or not value.isdigit() or not int(value[:12]) > 0:
        raise RequestFailed(
            FailureReason.INVALID, f"x-deadline-ms is {value[:200]!r}; give milliseconds above 0"
        )
    return min(int(value[:12]), policy.max_deadline_ms)


def _read_key(message: HttpRequest) -> str | None:
    value = message.get_header("idempotency-key")
    if value is not None and not 0 < len(value) <= MAX_KEY_LENGTH:
        raise RequestFailed(
            FailureReason.INVALID,
            f"idempotency-key has {len(value)} characters; give 1 to {MAX_KEY_LENGTH}",
        )
    return value

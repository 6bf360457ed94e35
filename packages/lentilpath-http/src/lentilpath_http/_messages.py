"""HTTP requests, responses, limits and errors."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl


class HttpError(Exception):
    """Base class of errors in exchanges of HTTP messages."""


class RequestNotSent(HttpError):
    """No byte of the request left this process, so the peer cannot have acted on it."""


class ResponseLost(HttpError):
    """The response did not arrive completely; the server may have acted on the request."""


class MalformedMessage(HttpError):
    """The peer's bytes are not a valid HTTP/1.1 message."""


class MessageTooLarge(HttpError):
    """A head or body exceeds the limit named in the message."""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a server and of each of its connections."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    max_headers: int = 100
    idle_timeout_seconds: float = 60.0
    """Maximum time that a connection may be idle before its next request."""
    receive_timeout_seconds: float = 10.0
    """Maximum time from the first byte of a request to its last."""
    send_timeout_seconds: float = 10.0
    """Maximum time to send one response; a slower caller is disconnected."""
    max_connections: int = 4_096
    """Maximum number of open connections; the server closes further ones without a response."""
    linger_seconds: float = 0.5
    """Time that a planned stop still accepts requests on idle connections."""


@dataclass(frozen=True, slots=True)
class TransferBounds:
    """Bounds of the time in which an answer of any size arrives, once it has begun to."""

    silence_seconds: float
    """Maximum time without a byte of it."""
    total_seconds: float
    """Maximum time from its first byte to its last."""


READ_TRANSFER = TransferBounds(silence_seconds=1.0, total_seconds=30.0)
"""Bounds of a read of any size: two retransmissions of a lost packet in a row, which Linux sends
after 0.2 and 0.6 s; and 16 MB, the longest answer that clients accept, on a link of 5 Mbit/s."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request with its complete body."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def get_header(self, name: str) -> str | None:
        """Return the first value of the header `name` (lower case), or `None`."""
        return next((value for key, value in self.headers if key == name), None)

    def get_path(self) -> str:
        """Return the path of the target, without its query."""
        return self.target.partition("?")[0]

    def parse_query(self) -> dict[str, str]:
        """Return the query parameters of the target; the last value of a repeated key wins."""
        return dict(parse_qsl(self.target.partition("?")[2]))


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One response with its complete body."""

    status: int
    headers: tuple[tuple[str, str], ...] = field(default=())
    body: bytes = b""

    def get_header(self, name: str) -> str | None:
        """Return the first value of the header `name` (lower case), or `None`."""
        return next((value for key, value in self.headers if key == name), None)

    def parse_json(self) -> Any:
        """Return the body parsed as JSON; raises `MalformedMessage` if it is not valid JSON."""
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise MalformedMessage(f"response body is not JSON: {error}") from error


def json_response(
    status: int, value: object, headers: tuple[tuple[str, str], ...] = ()
) -> HttpResponse:
    """Return a response with `value` as its JSON body."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return HttpResponse(status, (("content-type", "application/json"), *headers), body)

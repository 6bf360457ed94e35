"""Requests, responses and failures of the HTTP edge."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl


class HttpError(Exception):
    """The base of failures while HTTP messages are exchanged."""


class RequestNotSent(HttpError):
    """No byte of the request left this process, so the peer cannot have acted on it."""


class ResponseLost(HttpError):
    """The request may have been acted on, and its answer did not arrive whole."""


class MalformedMessage(HttpError):
    """The peer's bytes are not a valid HTTP/1.1 message."""


class MessageTooLarge(HttpError):
    """A head or body exceeds the limit named in the message."""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds on one connection."""

    head_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_count: int = 100
    idle_seconds: float = 60.0
    """How long a connection may stand without a request."""
    receive_seconds: float = 10.0
    """How long one request may take to arrive once its first byte is here."""
    send_seconds: float = 10.0
    """How long a caller may take to read one answer."""
    connections: int = 4_096
    """Connections that are open at once; further ones are closed unanswered."""
    linger_seconds: float = 0.5
    """How long a planned stop still takes requests on connections that stand idle."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request, with its whole body."""

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
        """Return the query of the target; of a repeated key the last value counts."""
        return dict(parse_qsl(self.target.partition("?")[2]))


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One response, with its whole body."""

    status: int
    headers: tuple[tuple[str, str], ...] = field(default=())
    body: bytes = b""

    def get_header(self, name: str) -> str | None:
        """Return the first value of the header `name` (lower case), or `None`."""
        return next((value for key, value in self.headers if key == name), None)

    def parse_json(self) -> Any:
        """Return the body read as JSON; raises `MalformedMessage` if it is none."""
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

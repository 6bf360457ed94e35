"""Checks the head of a request before any of its body is read."""

from __future__ import annotations

import h11

from lentilpath_http._messages import HttpLimits, MalformedMessage, MessageTooLarge

STATUS_HEADERS_TOO_LARGE = 431


def check_head(head: h11.Request, limits: HttpLimits) -> None:
    """Raise `RemoteProtocolError`, `MessageTooLarge` or `MalformedMessage` if it is refused."""
    # h11 limits only incomplete heads, so a head that arrives in one read is checked here.
    size = len(head.target) + sum(len(key) + len(value) for key, value in head.headers)
    if size > limits.max_head_bytes:
        raise h11.RemoteProtocolError("head too large", error_status_hint=STATUS_HEADERS_TOO_LARGE)
    if len(head.headers) > limits.max_headers:
        raise MessageTooLarge(f"more than {limits.max_headers} headers")
    names = [name for name, _ in head.headers]
    # Refused before any of the body is read.
    length = next((int(value) for name, value in head.headers if name == b"content-length"), 0)
    if length > limits.max_body_bytes:
        raise MessageTooLarge(f"body over {limits.max_body_bytes} bytes")
    # Conflicting body lengths allow request smuggling.
    if b"transfer-encoding" in names and b"content-length" in names:
        raise MalformedMessage("both transfer-encoding and content-length are given")
    if names.count(b"host") > 1 or head.method == b"CONNECT":
        raise MalformedMessage("more than one host, or a method that is not served")

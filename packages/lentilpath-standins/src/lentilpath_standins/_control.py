"""Blocking HTTP client for development tools, with one connection for each request."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass
from typing import Any

from lentilpath_core.settings import Address

DEFAULT_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Response:
    """Status and body of a response."""

    status: int
    body: bytes

    def parse_json(self) -> Any:
        """Return the body decoded as JSON."""
        return json.loads(self.body)


def send_request(
    address: Address,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
) -> Response:
    """Send one request on a new connection and return the response.

    `timeout` is in seconds. Raises `OSError` or `HTTPException` if no response arrives.
    """
    connection = http.client.HTTPConnection(address.host, address.port, timeout=timeout)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        return Response(response.status, response.read())
    finally:
        connection.close()


def set_faults(address: Address, **switches: Any) -> None:
    """Set fault switches of a stand-in; raises `ValueError` if it rejects them."""
    response = send_request(address, "POST", "/faults", json.dumps(switches).encode())
    if response.status != http.client.OK:
        raise ValueError(f"faults {switches}: {response.body.decode()}")


def read_log(address: Address) -> Any:
    """Return a stand-in's own record of what it executed (`GET /log`)."""
    return send_request(address, "GET", "/log").parse_json()

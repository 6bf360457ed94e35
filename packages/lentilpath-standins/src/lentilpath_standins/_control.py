"""Blocking HTTP for development tools: one request, one answer."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass
from typing import Any

from lentilpath_core.settings import Address

DEFAULT_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and body of a response."""

    status: int
    body: bytes

    def parse_json(self) -> Any:
        """Return the body read as JSON."""
        return json.loads(self.body)


def ask(
    address: Address,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = DEFAULT_TIMEOUT_SECONDS,
) -> Answer:
    """Send one request on a connection of its own; raises `OSError` or `HTTPException`."""
    connection = http.client.HTTPConnection(address.host, address.port, timeout=timeout)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        return Answer(response.status, response.read())
    finally:
        connection.close()


def set_faults(address: Address, **switches: Any) -> None:
    """Set switches of a stand-in; raises `ValueError` if it refuses."""
    answer = ask(address, "POST", "/faults", json.dumps(switches).encode())
    if answer.status != http.client.OK:
        raise ValueError(f"faults {switches}: {answer.body.decode()}")


def read_log(address: Address) -> Any:
    """Return what a stand-in says truly happened."""
    return ask(address, "GET", "/log").parse_json()

"""Client of the administration API of one entry host."""

from __future__ import annotations

import asyncio
import json
import ssl
from dataclasses import dataclass
from typing import Any

from lentilpath._exits import ExitCode, choose_exit_code
from lentilpath._settings import ClientSettings
from lentilpath_http import (
    HttpError,
    HttpRequest,
    HttpResponse,
    MalformedMessage,
    RequestNotSent,
    create_client,
)

CALL_TIMEOUT_SECONDS = 40.0
HTTP_OK = 200


class CallFailed(Exception):
    """A call failed; `code` is the exit code and `body` the error in the API's JSON format."""

    def __init__(self, code: ExitCode, message: str, body: dict[str, Any]) -> None:
        super().__init__(message)
        self.code = code
        self.body = body


@dataclass(frozen=True, slots=True)
class Client:
    """Sends requests to one entry host with one key."""

    settings: ClientSettings

    def run_command(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Send a command of the command language and return its answer; raises `CallFailed`."""
        return self.call("POST", "/v1/commands", json.dumps(fields).encode())

    def call(self, method: str, path: str, body: bytes = b"") -> dict[str, Any]:
        """Return the JSON answer to one request; raises `CallFailed`."""
        return asyncio.run(self._call(method, path, body))

    async def _call(self, method: str, path: str, body: bytes) -> dict[str, Any]:
        address = self.settings.address
        client = create_client(address.host, address.port, tls=self._create_tls())
        headers = [("content-type", "application/json")]
        if self.settings.key:
            headers.append(("authorization", f"Bearer {self.settings.key}"))
        if self.settings.operator:
            headers.append(("x-lentilpath-operator", self.settings.operator))
        request = HttpRequest(method, path, tuple(headers), body)
        peer_name = f"{address.host}:{address.port}"
        try:
            response = await client.send(request, CALL_TIMEOUT_SECONDS)
        except RequestNotSent as error:
            message = f"{peer_name} cannot be reached ({error}); try another entry host with --host"
            raise CallFailed(ExitCode.UNAVAILABLE, message, {"error": "unreachable"}) from error
        except HttpError as error:
            message = f"the answer of {peer_name} was lost ({error}); repeat with the same --id"
            raise CallFailed(ExitCode.UNKNOWN, message, {"error": "outcome-unknown"}) from error
        finally:
            client.close()
        return _parse_response(response, peer_name)

    def _create_tls(self) -> ssl.SSLContext | None:
        if not self.settings.ca:
            return None
        try:
            return ssl.create_default_context(cafile=self.settings.ca)
        except (OSError, ssl.SSLError) as error:
            message = f"certificates of {self.settings.ca} cannot be read: {error}"
            raise CallFailed(ExitCode.INVALID, message, {"error": "invalid-settings"}) from error


def _parse_response(response: HttpResponse, peer_name: str) -> dict[str, Any]:
    try:
        value = response.parse_json()
    except MalformedMessage as error:
        message = f"{peer_name} sent no JSON; is it the administration API's address? ({error})"
        raise CallFailed(ExitCode.FAILED, message, {"error": "malformed"}) from error
    if not isinstance(value, dict):
        message = f"{peer_name} answered {value!r}; is it the administration API's address?"
        raise CallFailed(ExitCode.FAILED, message, {"error": "malformed"})
    if response.status != HTTP_OK:
        error_code = str(value.get("error", "error"))
        code = choose_exit_code(response.status, error_code)
        raise CallFailed(code, str(value.get("message", value)), value)
    return value

"""Calls of the administration API of one entry host."""

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

CALL_SECONDS = 40.0
HTTP_OK = 200


class CallFailed(Exception):
    """A call had no usable answer; `code` is the exit code and `body` the API's own error."""

    def __init__(self, code: ExitCode, message: str, body: dict[str, Any]) -> None:
        super().__init__(message)
        self.code = code
        self.body = body


@dataclass(frozen=True, slots=True)
class Client:
    """One entry host, reached with one key."""

    settings: ClientSettings

    def run_command(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Send a command of the language; raises `CallFailed`."""
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
        where = f"{address.host}:{address.port}"
        try:
            response = await client.send(request, CALL_SECONDS)
        except RequestNotSent as error:
            message = f"{where} cannot be reached ({error}); try another entry host with --host"
            raise CallFailed(ExitCode.UNAVAILABLE, message, {"error": "unreachable"}) from error
        except HttpError as error:
            message = f"the answer of {where} was lost ({error}); repeat with the same --id"
            raise CallFailed(ExitCode.UNKNOWN, message, {"error": "outcome-unknown"}) from error
        finally:
            client.close()
        return _read_answer(response, where)

    def _create_tls(self) -> ssl.SSLContext | None:
        if not self.settings.ca:
            return None
        try:
            return ssl.create_default_context(cafile=self.settings.ca)
        except (OSError, ssl.SSLError) as error:
            message = f"certificates of {self.settings.ca} cannot be read: {error}"
            raise CallFailed(ExitCode.INVALID, message, {"error": "invalid-settings"}) from error


def _read_answer(response: HttpResponse, where: str) -> dict[str, Any]:
    try:
        value = response.parse_json()
    except MalformedMessage as error:
        message = f"{where} did not answer in JSON; is it the operators' address? ({error})"
        raise CallFailed(ExitCode.FAILED, message, {"error": "malformed"}) from error
    if not isinstance(value, dict):
        message = f"{where} answered {value!r}; is it the operators' address?"
        raise CallFailed(ExitCode.FAILED, message, {"error": "malformed"})
    if response.status != HTTP_OK:
        error_code = str(value.get("error", "error"))
        code = choose_exit_code(response.status, error_code)
        raise CallFailed(code, str(value.get("message", value)), value)
    return value

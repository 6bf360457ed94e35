"""Refusals of requests that a server does not read to their end."""

from __future__ import annotations

import asyncio
import contextlib

import h11

from lentilpath_http._counted_connection import CountedConnection
from lentilpath_http._messages import HttpResponse, MessageTooLarge, json_response

REFUSAL_LINGER_SECONDS = 1.0
"""Time that a refused caller has to read the answer; what it still sends is discarded."""
RETRY_AFTER_SECONDS = 1
"""Room for unfinished requests is free again soon after the largest ones were refused."""
STATUS_OVERLOADED = 503


def make_refusal(error: Exception) -> HttpResponse:
    """Return the answer to a request that is malformed or too large."""
    status = 400
    code = "malformed-request"
    if isinstance(error, MessageTooLarge):
        status = 413
        code = "request-too-large"
    elif isinstance(error, h11.RemoteProtocolError):
        status = error.error_status_hint
    return json_response(status, {"error": code, "message": str(error), "outcome": "not-run"})


def make_overload_refusal() -> HttpResponse:
    """Return the answer to a request that makes room for the requests of others."""
    return json_response(
        STATUS_OVERLOADED,
        {
            "error": "overloaded",
            "message": "too many large requests are unfinished; send it again later",
            "outcome": "not-run",
        },
        (("retry-after", str(RETRY_AFTER_SECONDS)),),
    )


async def send_refusal(
    connection: CountedConnection,
    writer: asyncio.StreamWriter,
    state: h11.Connection,
    response: HttpResponse,
) -> None:
    """Send `response` to a request that is not read to its end."""
    connection.refuse()
    headers = [*response.headers, ("content-length", str(len(response.body)))]
    headers.append(("connection", "close"))
    try:
        data = state.send(h11.Response(status_code=response.status, headers=headers)) or b""
        data += state.send(h11.Data(data=response.body)) or b""
        data += state.send(h11.EndOfMessage()) or b""
    except h11.LocalProtocolError:
        return
    writer.write(data)
    # Closing while the caller still sends would reset the connection and discard the answer.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(REFUSAL_LINGER_SECONDS):
            await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            await connection.discard_input()

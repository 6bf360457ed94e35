"""A small HTTP/1.1 server and client with JSON bodies, on the standard library alone."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, unquote

REASONS = {200: "OK", 400: "Bad Request", 409: "Conflict", 410: "Gone", 412: "Failed"}


class Hang(Exception):
    """The connection stays open and the request is never answered."""


class Drop(Exception):
    """The connection is closed without an answer."""


@dataclass(slots=True)
class Call:
    """One request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body) if self.body else {}


Answer = tuple[int, Any]
Handler = Callable[[Call], Awaitable[Answer]]


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """Read one request; `None` at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split()
    headers = await _read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, query = target.partition("?")
    return Call(method, unquote(path), dict(parse_qsl(query)), headers, body)


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers: dict[str, str] = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            return headers
        key, _, value = line.partition(":")
        headers[key.strip().lower()] = value.strip()


class Server:
    """Serves one handler on a loopback port; all connections can be cut at once."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    async def stop(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for each in list(self._open):
            each.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while True:
                call = await read_call(reader)
                if call is None:
                    break
                try:
                    status, value = await self._handler(call)
                except Hang:
                    await asyncio.sleep(3_600)
                    break
                except Drop:
                    writer.transport.abort()
                    break
                body = json.dumps(value).encode() if value is not None else b""
                head = (
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            # The caller has gone, or the play is over.
            pass
        finally:
            self._open.discard(writer)
            writer.close()


async def request(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 5.0,
    host: str = "127.0.0.1",
) -> tuple[int, Any]:
    """Send one request on a connection of its own; return status and decoded body.

    The status is 0 without a complete answer.
    """
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(data)}"]
    lines += [f"{key}: {value}" for key, value in {"Host": host, **(headers or {})}.items()]
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            status = int((await reader.readline()).split()[1])
            answer = await _read_headers(reader)
            text = await reader.readexactly(int(answer.get("content-length", "0")))
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    return status, json.loads(text) if text else None

"""A small HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any


class NoAnswer(Exception):
    """The server closes the connection without an answer."""


class Silence(Exception):
    """The server keeps the connection open and never answers."""


@dataclass
class Request:
    """A request as it was received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


Answer = tuple[int, Any]
Handler = Callable[[Request], Awaitable[Answer]]


class Server:
    """Calls `handler` for each request; answers are JSON."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        self._server = await asyncio.start_server(self._serve, host, port, backlog=1024)
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        return self.address

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                try:
                    status, body = await self._handler(request)
                except NoAnswer:
                    return
                except Silence:
                    await reader.read()
                    return
                data = b"" if body is None else json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(data)}\r\n"
                head += "content-type: application/json\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return first, headers


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    found = await _read_head(reader)
    if found is None:
        return None
    first, headers = found
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: Any = None,
    timeout: float = 3.0,
) -> tuple[int, Any] | None:
    """Return status and body of the answer, or `None` if there is none in time."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += ["content-type: application/json", f"content-length: {len(data)}", "", ""]
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + data)
            found = await _read_head(reader)
            if found is None:
                return None
            first, answer_headers = found
            size = int(answer_headers.get("content-length", "0"))
            answer = await reader.readexactly(size)
            status = int(first.split(" ")[1])
            with contextlib.suppress(ValueError):
                return status, json.loads(answer)
            return status, None
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()

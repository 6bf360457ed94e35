"""The table service: rows in parts, transactions, reads and a feed, with faults by caller."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lentilpath_http import HttpRequest, HttpResponse, HttpServer, serve_http

RowKey = tuple[str, str, str]


class AnswerLost(OSError):
    """Ends the connection without an answer."""


@dataclass
class StoreFaults:
    """What one address of the service does wrong."""

    refuses: bool = False
    loses_answers: int = 0
    """So many transactions are done and not answered."""
    silent: bool = False
    forgets: bool = False
    """The history of changes is gone."""
    is_busy: bool = False
    """All calls are refused as too many."""
    slow_seconds: float = 0.0
    """How much longer each answer takes."""
    late_seconds: float = 0.0
    """Transactions are not answered and are done so much later; 0 for none."""


@dataclass
class StandInStore:
    """One set of rows behind several addresses, so that each host can have faults of its own."""

    rows: dict[RowKey, tuple[bytes, int]] = field(default_factory=dict)
    changes: list[tuple[int, RowKey]] = field(default_factory=list)
    version: int = 0
    transactions: int = 0
    servers: list[HttpServer] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def listen(self, faults: StoreFaults) -> int:
        """Serve on a new port with these faults, and return the port."""

        async def answer(request: HttpRequest) -> HttpResponse:
            return await self._answer(request, faults)

        server = await serve_http(answer, "127.0.0.1", 0)
        self.servers.append(server)
        return server.get_port()

    async def close(self) -> None:
        for server in self.servers:
            await server.close(0.0)

    def put(self, table: str, part: str, key: str, value: bytes | None) -> None:
        self.version += 1
        self._put((table, part, key), value)
        self._announce()

    def _put(self, key: RowKey, value: bytes | None) -> None:
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self.changes.append((self.version, key))

    def _announce(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _answer(self, request: HttpRequest, faults: StoreFaults) -> HttpResponse:
        if faults.silent:
            await asyncio.sleep(3600.0)
        if faults.refuses:
            return HttpResponse(503, (), b"")
        if faults.is_busy:
            return HttpResponse(429, (), b"")
        if faults.slow_seconds:
            await asyncio.sleep(faults.slow_seconds)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-tx" and faults.late_seconds:
            message = json.loads(request.body)
            asyncio.get_running_loop().call_later(faults.late_seconds, self._transact, message)
            raise AnswerLost
        if url.path == "/rows-tx":
            response = self._transact(json.loads(request.body))
            if faults.loses_answers > 0 and response.status == 200:
                faults.loses_answers -= 1
                raise AnswerLost
            return response
        if url.path == "/rows-get":
            return self._read(query)
        if url.path == "/rows-feed":
            return await self._follow(query, faults)
        return HttpResponse(404, (), b"")

    def _transact(self, message: dict[str, Any]) -> HttpResponse:
        parts = {
            each["part"] for name in ("expectedRev", "setKeys", "remove") for each in message[name]
        }
        assert len(parts) == 1
        for each in message["expectedRev"]:
            key = (each["table"], each["part"], each["key"])
            found = self.rows.get(key, (b"", 0))[1]
            if found != each["rowVersion"]:
                return self._reply(412, rows=[self._show(key)] if found else [])
        self.transactions += 1
        self.version += 1
        for each in message["setKeys"]:
            value = base64.b64decode(each["value"])
            self._put((each["table"], each["part"], each["key"]), value)
        for each in message["remove"]:
            self._put((each["table"], each["part"], each["key"]), None)
        self._announce()
        return self._reply(200)

    def _read(self, query: dict[str, str]) -> HttpResponse:
        found = sorted(
            key
            for key in self.rows
            if key[0] == query["table"]
            and key[1] == query.get("part", "")
            and query.get("from", "") <= key[2]
            and (not query.get("to") or key[2] < query["to"])
        )
        limit = int(query.get("limit", "500"))
        rows = [self._show(key) for key in found[:limit]]
        return self._reply(200, rows=rows, hasMore=len(found) > limit)

    async def _follow(self, query: dict[str, str], faults: StoreFaults) -> HttpResponse:
        after = int(query["after"])
        if faults.forgets:
            return HttpResponse(410, (), b"")
        deadline = time.monotonic() + int(query["waitMs"]) / 1_000
        while True:
            keys = {key: None for version, key in self.changes if version > after}
            rows = [self._show(key) for key in keys if key[0] == query["table"]]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return self._reply(200, rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def _show(self, key: RowKey) -> dict[str, object]:
        value, version = self.rows.get(key, (b"", self.version))
        return {
            "table": key[0],
            "part": key[1],
            "key": key[2],
            "value": base64.b64encode(value).decode(),
            "rowVersion": version,
            "deleted": key not in self.rows,
        }

    def _reply(self, status: int, **fields: object) -> HttpResponse:
        message = {
            "rowVersion": self.version,
            "nowMs": time.monotonic_ns() // 1_000_000,
            **fields,
        }
        return HttpResponse(status, (), json.dumps(message).encode())

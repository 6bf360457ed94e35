"""A stand-in for the table service, with transactions, reads and a change feed.

Rows are divided into partitions. Faults are set for each address that the service listens on.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lentilpath_http import HttpRequest, HttpResponse, HttpServer, serve_http
from tests.common.late_writes import LateWrites
from tests.common.tables import MAX_ROW_BYTES

RowKey = tuple[str, str, str]
HANG_SECONDS = 3600.0
"""Longer than any test: the caller gives up."""


class ResponseLost(OSError):
    """Makes the server close the connection without a response."""


@dataclass
class StoreFaults:
    """Faults of one address of the service."""

    is_unavailable: bool = False
    """All calls get status 503."""
    lost_responses: int = 0
    """Number of transactions that are still to be applied without a response."""
    lost_table: str = ""
    """Only responses to transactions of this table are lost or late; empty for any table."""
    hangs: bool = False
    """Calls get no response."""
    history_lost: bool = False
    """The change feed responds with 410, as if its history had been dropped."""
    is_busy: bool = False
    """All calls get status 429."""
    added_latency_seconds: float = 0.0
    """Delay that is added to each response."""
    late_writes: LateWrites | None = None
    """Decides which transactions get no response, and when they are applied; `None` for no fault.
    May be shared by several addresses."""


@dataclass
class StandInStore:
    """One set of rows served on several addresses, so that each host can have its own faults."""

    rows: dict[RowKey, tuple[bytes, int]] = field(default_factory=dict)
    changes: list[tuple[int, RowKey]] = field(default_factory=list)
    version: int = 0
    transactions: int = 0
    servers: list[HttpServer] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def listen(self, faults: StoreFaults) -> int:
        """Serve on a new port with `faults` and return the port; `faults` may be changed later."""

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
        if faults.hangs:
            await asyncio.sleep(HANG_SECONDS)
        if faults.is_unavailable:
            return HttpResponse(503, (), b"")
        if faults.is_busy:
            return HttpResponse(429, (), b"")
        if faults.added_latency_seconds:
            await asyncio.sleep(faults.added_latency_seconds)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            message = json.loads(request.body)
            tables = {each["table"] for each in message["setKeys"]}
            is_meant = not faults.lost_table or faults.lost_table in tables
            late = faults.late_writes if is_meant else None
            if late is not None and late.lose(partial(self._transact, message)):
                await asyncio.sleep(HANG_SECONDS)
                raise ResponseLost
            response = self._transact(message)
            if late is not None:
                late.note_answered(partial(self._transact, message))
            if faults.lost_responses > 0 and response.status == 200 and is_meant:
                faults.lost_responses -= 1
                raise ResponseLost
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
        values = [base64.b64decode(each["value"]) for each in message["setKeys"]]
        if any(len(value) > MAX_ROW_BYTES for value in values):
            return HttpResponse(400, (), b"value too long")
        self.transactions += 1
        self.version += 1
        for each, value in zip(message["setKeys"], values, strict=True):
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
        if faults.history_lost:
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

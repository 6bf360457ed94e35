"""Stand-in for the platform's metadata store: rows, transactions and feeds."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins.http import Answer, NoAnswer, Request, Server, Silence

ANSWER_SECONDS = 0.004
MAX_ROWS = 500
RowKey = tuple[str, str, str]

DROP, DROP_APPLIED, SERVE = "drop", "drop-applied", "serve"


@dataclass
class Faults:
    """What is wrong with the store for one of its addresses."""

    down: str = ""
    """`silent` or `busy` while the store is down."""
    choose: Callable[[dict[str, Any]], str | float] | None = None
    """Says of a transaction whether it is served, or lost before (`DROP`) or after
    (`DROP_APPLIED`) it is done, or done without an answer after a number of seconds."""


class Store:
    """One set of rows, served on an address for each host."""

    def __init__(self) -> None:
        self.rows: dict[RowKey, tuple[bytes, int]] = {}
        self._changes: list[tuple[int, RowKey]] = []
        self.version = 0
        self.transactions = 0
        self.lost_transactions = 0
        self._changed = asyncio.Event()
        self._servers: list[Server] = []
        self.is_down_for_servers = False

    async def listen(self, faults: Faults) -> str:
        async def handle(request: Request) -> Answer:
            return await self._handle(request, faults)

        server = Server(handle)
        self._servers.append(server)
        return await server.start()

    async def stop(self) -> None:
        for each in self._servers:
            await each.stop()

    def put(self, table: str, part: str, key: str, value: Any) -> None:
        """Write a row as the operator or a runner; `None` removes it."""
        self.version += 1
        data = None if value is None else json.dumps(value).encode()
        self._put((table, part, key), data)
        self._announce()

    def _put(self, key: RowKey, value: bytes | None) -> None:
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self._changes.append((self.version, key))

    def _announce(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _check_down(self, faults: Faults) -> Answer | None:
        if faults.down == "silent":
            raise Silence
        return (503, None) if faults.down == "busy" else None

    async def _handle(self, request: Request, faults: Faults) -> Answer:
        refusal = self._check_down(faults)
        if refusal is not None:
            return refusal
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            return await self._handle_transaction(request.json(), faults)
        await asyncio.sleep(ANSWER_SECONDS)
        if url.path == "/rows-get":
            answer = self._read(query)
        elif url.path == "/rows-feed":
            answer = await self._follow(query)
        else:
            return 404, None
        return self._check_down(faults) or answer

    async def _handle_transaction(self, message: dict[str, Any], faults: Faults) -> Answer:
        self.transactions += 1
        fate = faults.choose(message) if faults.choose is not None else SERVE
        if fate != SERVE:
            self.lost_transactions += 1
            if fate == DROP_APPLIED:
                self._transact(message)
            elif isinstance(fate, float):
                asyncio.get_running_loop().call_later(fate, self._transact, message)
            raise Silence
        await asyncio.sleep(ANSWER_SECONDS)
        return self._check_down(faults) or self._transact(message)

    def _transact(self, message: dict[str, Any]) -> Answer:
        entries = [
            each for name in ("expectedRev", "setKeys", "remove") for each in message.get(name, ())
        ]
        if len(entries) > 100 or len({each["part"] for each in entries}) > 1:
            return 400, None
        if any(each["table"] in ("op", "servers") for each in entries):
            return 403, None
        conflicts = []
        for each in message.get("expectedRev", ()):
            key = (each["table"], each["part"], each["key"])
            if self.rows.get(key, (b"", 0))[1] != each["rowVersion"]:
                conflicts.append(key)
        if conflicts:
            return 412, self._say(
                rows=[
                    self._show((each["table"], each["part"], each["key"]))
                    for each in message["expectedRev"]
                    if (each["table"], each["part"], each["key"]) in self.rows
                ]
            )
        values = [base64.b64decode(each["value"]) for each in message.get("setKeys", ())]
        if any(len(value) > 65_536 for value in values):
            return 400, None
        self.version += 1
        for each, value in zip(message.get("setKeys", ()), values, strict=True):
            self._put((each["table"], each["part"], each["key"]), value)
        for each in message.get("remove", ()):
            self._put((each["table"], each["part"], each["key"]), None)
        self._announce()
        return 200, self._say()

    def _read(self, query: dict[str, str]) -> Answer:
        low, high = query.get("from", ""), query.get("to", "")
        found = sorted(
            key
            for key in self.rows
            if key[0] == query["table"]
            and key[1] == query.get("part", "")
            and low <= key[2]
            and (not high or key[2] < high)
        )
        limit = min(MAX_ROWS, int(query.get("limit", str(MAX_ROWS))))
        rows = [self._show(key) for key in found[:limit]]
        return 200, self._say(rows=rows, hasMore=len(found) > limit)

    async def _follow(self, query: dict[str, str]) -> Answer:
        after = int(query["after"])
        ends_at = time.monotonic() + min(30.0, int(query.get("waitMs", "0")) / 1_000)
        while True:
            keys = {
                key: None
                for version, key in self._changes
                if version > after and key[0] == query["table"]
            }
            left = ends_at - time.monotonic()
            if keys or left <= 0:
                return 200, self._say(rows=[self._show(key) for key in keys])
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _show(self, key: RowKey) -> dict[str, Any]:
        value, version = self.rows.get(key, (b"", self.version))
        shown = {
            "table": key[0],
            "part": key[1],
            "key": key[2],
            "value": base64.b64encode(value).decode(),
            "rowVersion": version,
        }
        return shown if key in self.rows else {**shown, "deleted": True}

    def _say(self, **fields: Any) -> dict[str, Any]:
        now_ms = time.monotonic_ns() // 1_000_000
        return {"rowVersion": self.version, "nowMs": now_ms, **fields}


__all__ = ["DROP", "DROP_APPLIED", "SERVE", "Faults", "NoAnswer", "Store"]

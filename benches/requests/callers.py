"""The callers and their balancer: open-loop arrivals, and what became of each request."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass, field
from typing import Any

from processes import LOOPBACK, ZONES, BenchCell, Entry

from lentilpath_http import (
    ClientConnection,
    HttpError,
    HttpRequest,
    HttpResponse,
    RequestNotSent,
    open_connection,
)

URGENT_FRACTION = 0.2
DEADLINE_MS = 5_000
BODY_PADDING = "p" * 160
SEND_SECONDS = 20.0
MS_PER_SECOND = 1_000


@dataclass(slots=True)
class Result:
    """What one caller got."""

    nonce: str
    urgent: bool
    keyed: bool
    latency_ms: float
    ended: float
    """Seconds from the start of the load to the answer."""
    run_ms: float = 0.0
    status: int = 0
    outcome: str = ""
    mixed: bool = False


@dataclass(slots=True)
class Callers:
    """Sends requests through the entry hosts that the balancer holds for open."""

    cell: BenchCell
    seed: int
    keyed_fraction: float = 0.0
    results: list[Result] = field(default_factory=list)
    idle: dict[str, list[ClientConnection]] = field(default_factory=dict)
    started: float = 0.0

    async def run(self, rate: float, seconds: float) -> None:
        """Send `rate` requests a second for `seconds`, and wait for all answers."""
        chance = random.Random(self.seed)
        started = time.perf_counter()
        self.started = started
        planned = started
        tasks = []
        while True:
            planned += chance.expovariate(rate)
            if planned - started > seconds:
                break
            await asyncio.sleep(max(0.0, planned - time.perf_counter()))
            zone = chance.choice(ZONES)
            urgent = chance.random() < URGENT_FRACTION
            keyed = chance.random() < self.keyed_fraction
            nonce = f"{self.seed}-{len(tasks)}"
            turn = chance.random()
            tasks.append(asyncio.create_task(self._call(nonce, zone, turn, urgent, keyed, planned)))
        await asyncio.gather(*tasks)

    def close(self) -> None:
        """Close the connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()

    async def _call(
        self, nonce: str, zone: str, turn: float, urgent: bool, keyed: bool, planned: float
    ) -> None:
        headers = [("x-customer", "harbor"), ("x-deadline-ms", str(DEADLINE_MS))]
        if urgent:
            headers.append(("x-priority", "urgent"))
        if keyed:
            headers.append(("idempotency-key", nonce))
        body = f"{nonce} {BODY_PADDING}".encode()
        request = HttpRequest("POST", f"/services/boxplanner/{nonce}", tuple(headers), body)
        response = await self._send(request, zone, turn)
        ended = time.perf_counter()
        latency_ms = (ended - planned) * MS_PER_SECOND
        result = Result(nonce, urgent, keyed, latency_ms, ended - self.started)
        if response is not None:
            self._read(result, response, body.decode())
        self.results.append(result)

    def _read(self, result: Result, response: HttpResponse, body: str) -> None:
        result.status = response.status
        answer: Any = json.loads(response.body)
        if response.status == 200:
            result.run_ms = answer["run_ms"]
            result.mixed = answer["body"] != body or answer["target"] != f"/{result.nonce}"
        else:
            result.outcome = answer.get("outcome", "")

    async def _send(self, request: HttpRequest, zone: str, turn: float) -> HttpResponse | None:
        # The balancer passes on to another host what one did not take at all.
        hosts = [e for e in self.cell.entries if e.zone == zone and e.open_to_callers]
        hosts += [e for e in self.cell.entries if e.zone != zone and e.open_to_callers]
        near = max(1, sum(1 for e in hosts if e.zone == zone))
        first = int(turn * near)
        for entry in (hosts[first], *hosts[:first], *hosts[first + 1 :]):
            try:
                connection = await self._connect(entry)
                response = await connection.exchange(request, SEND_SECONDS)
            except RequestNotSent:
                continue
            except HttpError:
                return None
            if connection.is_usable():
                self.idle.setdefault(entry.name, []).append(connection)
            return response
        return None

    async def _connect(self, entry: Entry) -> ClientConnection:
        idle = self.idle.setdefault(entry.name, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable():
                return connection
        return await open_connection(LOOPBACK, entry.callers_port)

"""Open-loop load generator: callers, their load balancer and the result of each request."""

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
SEND_TIMEOUT_SECONDS = 20.0
MS_PER_SECOND = 1_000


@dataclass(slots=True)
class Result:
    """The result of one request as its caller sees it."""

    nonce: str
    urgent: bool
    keyed: bool
    latency_ms: float
    ended: float
    """Seconds from the start of the load to the response."""
    run_ms: float = 0.0
    status: int = 0
    outcome: str = ""
    mixed: bool = False


@dataclass(slots=True)
class Callers:
    """Sends requests through the entry hosts that accept callers."""

    cell: BenchCell
    seed: int
    keyed_fraction: float = 0.0
    results: list[Result] = field(default_factory=list)
    idle_connections: dict[str, list[ClientConnection]] = field(default_factory=dict)
    started: float = 0.0

    async def run(self, rate: float, seconds: float) -> None:
        """Send `rate` requests per second for `seconds` and wait for all responses.

        Arrivals are Poisson and don't wait for earlier responses.
        """
        rng = random.Random(self.seed)
        started = time.perf_counter()
        self.started = started
        planned_at = started
        tasks = []
        while True:
            planned_at += rng.expovariate(rate)
            if planned_at - started > seconds:
                break
            await asyncio.sleep(max(0.0, planned_at - time.perf_counter()))
            zone = rng.choice(ZONES)
            urgent = rng.random() < URGENT_FRACTION
            keyed = rng.random() < self.keyed_fraction
            nonce = f"{self.seed}-{len(tasks)}"
            host_draw = rng.random()
            tasks.append(
                asyncio.create_task(
                    self._send_planned(nonce, zone, host_draw, urgent, keyed, planned_at)
                )
            )
        await asyncio.gather(*tasks)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self.idle_connections.values():
            for connection in connections:
                connection.close()
        self.idle_connections.clear()

    async def _send_planned(
        self, nonce: str, zone: str, host_draw: float, urgent: bool, keyed: bool, planned_at: float
    ) -> None:
        headers = [("x-customer", "harbor"), ("x-deadline-ms", str(DEADLINE_MS))]
        if urgent:
            headers.append(("x-priority", "urgent"))
        if keyed:
            headers.append(("idempotency-key", nonce))
        body = f"{nonce} {BODY_PADDING}".encode()
        request = HttpRequest("POST", f"/services/boxplanner/{nonce}", tuple(headers), body)
        response = await self._send(request, zone, host_draw)
        ended = time.perf_counter()
        latency_ms = (ended - planned_at) * MS_PER_SECOND
        result = Result(nonce, urgent, keyed, latency_ms, ended - self.started)
        if response is not None:
            self._read_response(result, response, body.decode())
        self.results.append(result)

    def _read_response(self, result: Result, response: HttpResponse, body: str) -> None:
        result.status = response.status
        answer: Any = json.loads(response.body)
        if response.status == 200:
            result.run_ms = answer["run_ms"]
            result.mixed = answer["body"] != body or answer["target"] != f"/{result.nonce}"
        else:
            result.outcome = answer.get("outcome", "")

    async def _send(self, request: HttpRequest, zone: str, host_draw: float) -> HttpResponse | None:
        # A request that an entry host did not receive is sent to the next one.
        hosts = [e for e in self.cell.entries if e.zone == zone and e.accepts_callers]
        hosts += [e for e in self.cell.entries if e.zone != zone and e.accepts_callers]
        zone_host_count = max(1, sum(1 for e in hosts if e.zone == zone))
        first = int(host_draw * zone_host_count)
        for entry in (hosts[first], *hosts[:first], *hosts[first + 1 :]):
            try:
                connection = await self._connect(entry)
                response = await connection.exchange(request, SEND_TIMEOUT_SECONDS)
            except RequestNotSent:
                continue
            except HttpError:
                return None
            if connection.is_usable():
                self.idle_connections.setdefault(entry.name, []).append(connection)
            return response
        return None

    async def _connect(self, entry: Entry) -> ClientConnection:
        idle = self.idle_connections.setdefault(entry.name, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable():
                return connection
        return await open_connection(LOOPBACK, entry.callers_port)

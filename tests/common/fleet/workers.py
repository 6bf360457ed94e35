"""Stand-ins for workers, which log the runs that took place, and for the advice service."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lentilpath_http import HttpRequest, HttpResponse, HttpServer, serve_http
from tests.common.fleet.store import ResponseLost, StandInStore

MAX_LEASE_MS = 6_000
SILENT_SECONDS = 30.0
"""Longer than any command waits for its answer."""
CRASHING_SPEC = "crash"
"""`spec` of tasks that crash the worker that starts them."""
CRASH_DELAY_SECONDS = 0.01


def _read_monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


@dataclass
class ObservedRun:
    """One run as its worker observed it, in seconds of the monotonic clock."""

    worker: str
    task: str
    run: int
    started_at: float
    ended_at: float | None = None
    outcome: str = ""
    is_acknowledged: bool = False
    """Whether a leader has acknowledged the end of this run."""


@dataclass
class StandInWorker:
    """Simulates tasks by timers; enforces fencing tokens and leases."""

    name: str
    store: StandInStore
    log: list[ObservedRun]
    run_seconds: float = 0.1
    born: int = 1
    clock_started_ms: int = 0
    """Time of the monotonic clock at which the worker's own clock reads 0."""
    millicores: int = 4_000
    sequence: int = 1
    """Number of the registered entry; it rises with each change of the capacity."""
    crash_seconds: float = 3.0
    """Time that the worker is down after a task has crashed it."""
    lost_responses: int = 0
    """Number of starts that are still to be carried out without a response."""
    is_reached_by: Callable[[int], bool] | None = None
    """Whether commands with a token arrive; `None` while all do. The others are never answered."""
    token: int = 0
    lease_until: int = 0
    running: dict[tuple[str, int], ObservedRun] = field(default_factory=dict)
    unacknowledged_ends: list[list[Any]] = field(default_factory=list)
    ended_runs: dict[int, ObservedRun] = field(default_factory=dict)
    """Ended runs of this incarnation, by the number of the end."""
    lease_lapsed_at: float = 0.0
    """When the lease last lapsed, in seconds of the monotonic clock."""
    address: str = ""
    """Address that is registered; if empty, the worker's own port is."""
    closed_runs: dict[str, int] = field(default_factory=dict)
    end_numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    server: HttpServer | None = None
    """`None` while the worker is down."""
    port: int = 0
    recovery: asyncio.Task[None] | None = None
    """Restarts the worker after a crash."""
    capacities: list[tuple[float, int]] = field(init=False)
    """Each capacity in millicores, with the time since which the worker has had it, in seconds of
    the monotonic clock."""

    def __post_init__(self) -> None:
        self.capacities = [(0.0, self.millicores)]

    async def start(self) -> None:
        await self._listen()
        self.register()

    async def _listen(self) -> None:
        self.server = await serve_http(self._answer, "127.0.0.1", self.port)
        self.port = self.server.get_port()

    def register(self) -> None:
        if self.server is None:
            return
        entry = {
            "service": "planner",
            "address": self.address or f"127.0.0.1:{self.port}",
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "capacity": {"cpu": self.millicores, "memMb": 8_192, "gpu": 0},
            "labels": ["a", "r1"],
            "born": self.born,
            "sequence": self.sequence,
        }
        self.store.put("servers", "", self.name, json.dumps(entry).encode())

    def set_capacity(self, millicores: int) -> None:
        """Change the capacity; the registered entry shows it from the next `register` on."""
        self.millicores = millicores
        self.capacities.append((time.monotonic(), millicores))
        self.sequence += 1

    def get_max_capacity(self, since: float, until: float) -> int:
        """Return the highest capacity, in millicores, that the worker had within a time span."""
        changes = [*self.capacities, (float("inf"), 0)]
        return max(
            millicores
            for (began_at, millicores), (ended_at, _) in itertools.pairwise(changes)
            if began_at <= until and ended_at > since
        )

    def _crash(self, incarnation: int) -> None:
        if incarnation == self.born and self.server is not None:
            self._lose_runs()
            server, self.server = self.server, None
            self.recovery = asyncio.create_task(self._recover(server))

    async def _recover(self, server: HttpServer) -> None:
        """Break off all connections, refuse new ones for a while, and restart."""
        await server.close(0.0)
        await asyncio.sleep(self.crash_seconds)
        await self._listen()
        self.restart()

    def _lose_runs(self) -> None:
        for run in self.running.values():
            run.ended_at, run.outcome = time.monotonic(), "crashed"
        self.running.clear()

    def restart(self) -> None:
        """Crash, losing all runs and state, and register as a new incarnation."""
        if self.server is None:
            return
        self.server.break_connections()
        self._lose_runs()
        self.unacknowledged_ends.clear()
        self.ended_runs.clear()
        self.closed_runs.clear()
        self.token, self.lease_until = 0, 0
        self.end_numbers = itertools.count(1)
        self.clock_started_ms = _read_monotonic_ms()
        self.born += 1
        self.sequence = 1
        self.register()

    async def close(self) -> None:
        if self.recovery is not None:
            self.recovery.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.recovery
        if self.server is not None:
            await self.server.close(0.0)

    def read_clock(self) -> int:
        return _read_monotonic_ms() - self.clock_started_ms

    def _get_lease_end_seconds(self) -> float:
        return (self.lease_until + self.clock_started_ms) / 1_000

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        if self.server is None:
            raise ResponseLost
        message = json.loads(request.body)
        if self.is_reached_by is not None and not self.is_reached_by(message["fencingToken"]):
            await asyncio.sleep(SILENT_SECONDS)
            raise ResponseLost
        if request.get_header("x-expect-instance") != self.name:
            return self._reply(421)
        if message.get("fencingToken", 0) < self.token:
            return self._reply(409, reason="fence")
        self.token = message.get("fencingToken", 0)
        self._expire()
        if request.target == "/run-start":
            response = self._start(message)
            if self.lost_responses > 0 and response.status == 200:
                self.lost_responses -= 1
                raise ResponseLost
            return response
        if request.target == "/run-stop":
            self._end((message["task"], message["runId"]), "stopped")
            task = message["task"]
            self.closed_runs[task] = max(self.closed_runs.get(task, 0), message["runId"])
            return self._reply(200)
        return await self._renew_and_report(message)

    def _start(self, message: dict[str, Any]) -> HttpResponse:
        key = (message["task"], message["runId"])
        bound = self.read_clock() + MAX_LEASE_MS
        self.lease_until = max(self.lease_until, min(message["expiresMs"], bound))
        if key in self.running:
            return self._reply(200)
        if message["runId"] <= self.closed_runs.get(message["task"], 0):
            return self._reply(409, reason="old")
        if message["expiresMs"] < self.read_clock():
            return self._reply(409, reason="late")
        run = ObservedRun(self.name, message["task"], message["runId"], time.monotonic())
        self.running[key] = run
        self.log.append(run)
        incarnation = self.born
        loop = asyncio.get_running_loop()
        loop.call_later(self.run_seconds, self._finish, key, incarnation)
        if message["spec"] == CRASHING_SPEC:
            loop.call_later(CRASH_DELAY_SECONDS, self._crash, incarnation)
        return self._reply(200)

    def _finish(self, key: tuple[str, int], incarnation: int) -> None:
        self._expire()
        if incarnation == self.born:
            self._end(key, "done")

    def _end(self, key: tuple[str, int], outcome: str, ended_at: float | None = None) -> None:
        run = self.running.pop(key, None)
        if run is None:
            return
        run.ended_at = ended_at if ended_at is not None else time.monotonic()
        run.outcome = outcome
        self.closed_runs[key[0]] = max(self.closed_runs.get(key[0], 0), key[1])
        number = next(self.end_numbers)
        self.unacknowledged_ends.append([number, key[0], key[1], outcome, ""])
        self.ended_runs[number] = run
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self) -> None:
        if self.read_clock() > self.lease_until:
            self.lease_lapsed_at = self._get_lease_end_seconds()
        if self.running and self.read_clock() > self.lease_until:
            for key in list(self.running):
                self._end(key, "lapsed", self._get_lease_end_seconds())

    async def _renew_and_report(self, message: dict[str, Any]) -> HttpResponse:
        if "expiresMs" in message:
            bound = self.read_clock() + MAX_LEASE_MS
            self.lease_until = max(self.lease_until, min(message["expiresMs"], bound))
        for each in self.unacknowledged_ends:
            if each[0] <= message["lastSeen"]:
                run = self.ended_runs.pop(each[0])
                # An end acknowledged only after the lease lapsed counts as unacknowledged: the
                # task may have been started again before.
                run.is_acknowledged = (
                    run.ended_at is not None and self.lease_lapsed_at < run.ended_at
                )
        self.unacknowledged_ends = [
            each for each in self.unacknowledged_ends if each[0] > message["lastSeen"]
        ]
        if not self.unacknowledged_ends and message.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), message["waitMs"] / 1_000)
        running = [[task, run, "", 50] for task, run in self.running]
        return self._reply(200, born=self.born, running=running, finished=self.unacknowledged_ends)

    def _reply(self, status: int, **fields: object) -> HttpResponse:
        message = {"clockMs": self.read_clock(), **fields}
        return HttpResponse(status, (), json.dumps(message).encode())


async def serve_advice() -> HttpServer:
    """Start an advice service that permits every worker."""

    async def answer(request: HttpRequest) -> HttpResponse:
        message = json.loads(request.body)
        allowed = [[worker, f"t-{worker}"] for worker in message["workers"]]
        return HttpResponse(200, (), json.dumps({"allowed": allowed, "validMs": 3_000}).encode())

    return await serve_http(answer, "127.0.0.1", 0)

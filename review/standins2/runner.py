"""Stand-in for a runner: tasks by timers, leases, fencing tokens and lists of ends."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standins2.http import Answer, Call, Drop, Server
from standins2.store import Store

HEARTBEAT_SECONDS = 1.5
MAX_ENDS = 500


@dataclass
class Run:
    """One run, as the runner saw it. Times are of the monotonic clock."""

    runner: str
    task: str
    number: int
    spec: str
    began: float
    ended: float | None = None
    how: str = ""
    noted: float | None = None
    """When a call's `lastSeen` reached the end."""
    work_seconds: float = 0.0
    worked: float = 0.0
    """Seconds of work that are done."""
    pace: int = 100
    stopping: bool = False
    has_lapsed: bool = False
    """Whether the runner's lease lapsed after the end and before it was noted."""


@dataclass
class Runner:
    """One runner. `work` returns how long a task works, and how it then ends."""

    name: str
    store: Store
    log: list[Run]
    work: Callable[[str, str], tuple[float, str]]
    service: str = "planner"
    rack: str = "r1"
    cpu: int = 16_000
    mem_mb: int = 32_768
    hold_max_ms: int = 6_000
    stop_seconds: float = 0.05
    state: str = "ready"
    remaining_ms: int = 0
    token: int = 0
    lease_until: float = 0.0
    running: dict[tuple[str, int], Run] = field(default_factory=dict)
    closed: dict[str, int] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    ended_runs: dict[int, Run] = field(default_factory=dict)
    numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    born: int = 0
    began: float = 0.0
    sequence: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    server: Server | None = None
    port: int = 0
    up: bool = False
    gate: Callable[[Runner, Call], Any] | None = None
    """Awaited before a call is carried out; may raise `Hang` or `Drop`, or return an answer."""
    load: Callable[[Runner, Run], int] | None = None
    """Returns the fifth entry of a row of `running`."""
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    orders: list[tuple[float, str, dict[str, Any]]] = field(default_factory=list)
    keep_orders: bool = False
    way_seconds: float = 0.0
    """Time that each message takes on the network, one way."""

    async def start(self) -> None:
        """Start a process: nothing of before is known."""
        self.token, self.lease_until = 0, 0.0
        self.running, self.closed, self.ends, self.ended_runs = {}, {}, [], {}
        self.numbers = itertools.count(1)
        self.born, self.began, self.sequence = int(time.time() * 1_000), time.monotonic(), 0
        self.server = Server(self.answer)
        self.port = await self.server.start(self.port)
        self.up = True
        self.tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._tick())]

    async def crash(self) -> None:
        """End the process; all that runs ends with it."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        for run in self.running.values():
            run.ended, run.how = time.monotonic(), "crashed"
        self.running = {}
        if self.server is not None:
            await self.server.stop()

    async def leave(self) -> None:
        """End the process for good; the entry expires after three heartbeats."""
        await self.crash()
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        self.store.remove("servers", "", self.name)

    def clock(self) -> int:
        """Return the runner's own steady clock in ms."""
        return int((time.monotonic() - self.began) * 1_000)

    def register(self) -> None:
        """Write the entry."""
        self.sequence += 1
        entry: dict[str, Any] = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.mem_mb, "gpu": 0},
            "labels": ["a", self.rack],
            "clockMs": self.clock(),
            "born": self.born,
            "sequence": self.sequence,
        }
        if self.state == "draining":
            entry["remainingMs"] = self.remaining_ms
        self.store.put("servers", "", self.name, json.dumps(entry).encode())

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _tick(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if now > self.lease_until:
                for run in self.ended_runs.values():
                    run.has_lapsed = True
            for key, run in list(self.running.items()):
                if run.stopping:
                    continue
                if now > self.lease_until:
                    self.end(key, "lapsed")
                    continue
                run.worked += (now - last) * run.pace / 100
                if run.work_seconds and run.worked >= run.work_seconds:
                    self.end(key, self.work(run.task, run.spec)[1])
            last = now

    def end(self, key: tuple[str, int], how: str) -> None:
        """End a run, and list its end."""
        run = self.running.pop(key, None)
        if run is None:
            return
        run.ended, run.how = time.monotonic(), how
        self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
        number = next(self.numbers)
        self.ends.append([number, key[0], key[1], how, ""])
        self.ended_runs[number] = run
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, call: Call) -> Answer:
        """Answer a call of the system."""
        if call.path == "/healthz":
            return 200, {}
        born = self.born
        if self.way_seconds:
            await asyncio.sleep(self.way_seconds)
        if not self.up or self.born != born:
            # What was on its way to a process that has ended is lost.
            raise Drop
        status, value = await self._answer_arrived(call)
        if self.way_seconds:
            await asyncio.sleep(self.way_seconds)
        return status, value

    async def _answer_arrived(self, call: Call) -> Answer:
        message = call.json()
        if self.keep_orders and call.path != "/hold":
            self.orders.append((time.monotonic(), call.path, message))
        if call.headers.get("x-expect-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock()}
        if self.gate is not None:
            early = await self.gate(self, call)
            if early is not None:
                return early  # type: ignore[no-any-return]
        return await self.carry_out(call.path, message)

    async def carry_out(self, path: str, message: dict[str, Any]) -> Answer:
        """Carry out a call."""
        if message.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = message.get("fencingToken", 0)
        if "expiresMs" in message:
            until = min(message["expiresMs"], self.clock() + self.hold_max_ms)
            self.lease_until = max(self.lease_until, self.began + until / 1_000)
        if path == "/run-start":
            return self._start(message)
        if path == "/run-stop":
            return await self._stop(message)
        if path == "/pace":
            run = self.running.get((message["task"], message["runId"]))
            if run is not None:
                run.pace = message["percent"]
            return 200, {"clockMs": self.clock()}
        return await self._hold(message)

    def _start(self, message: dict[str, Any]) -> Answer:
        key = (message["task"], message["runId"])
        if key in self.running:
            return 200, {"clockMs": self.clock()}
        if key[1] <= self.closed.get(key[0], 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if message["expiresMs"] < self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        run = Run(self.name, key[0], key[1], message["spec"], time.monotonic())
        run.work_seconds = self.work(run.task, run.spec)[0]
        self.running[key] = run
        self.log.append(run)
        return 200, {"clockMs": self.clock()}

    async def _stop(self, message: dict[str, Any]) -> Answer:
        key = (message["task"], message["runId"])
        self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
        run = self.running.get(key)
        if run is not None:
            run.stopping = True
            asyncio.get_running_loop().call_later(self.stop_seconds, self.end, key, "stopped")
        return 200, {"clockMs": self.clock()}

    async def _hold(self, message: dict[str, Any]) -> Answer:
        seen = message.get("lastSeen", 0)
        for number, run in list(self.ended_runs.items()):
            if number <= seen:
                run.noted = time.monotonic()
                del self.ended_runs[number]
        self.ends = [each for each in self.ends if each[0] > seen]
        if not self.ends and message.get("waitMs"):
            changed = self.changed
            try:
                async with asyncio.timeout(message["waitMs"] / 1_000):
                    await changed.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, "", self._percent(run), self._load(run)]
            for run in self.running.values()
        ]
        return 200, {
            "clockMs": self.clock(),
            "born": self.born,
            "running": running,
            "finished": self.ends[:MAX_ENDS],
        }

    def _percent(self, run: Run) -> int:
        if not run.work_seconds:
            return 100
        return min(99, int(100 * run.worked / run.work_seconds))

    def _load(self, run: Run) -> int:
        return self.load(self, run) if self.load is not None else 0

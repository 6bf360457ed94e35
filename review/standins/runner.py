"""Stand-in for a runner: runs tasks by timers, under leases and fencing tokens."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from review.standins.http import Answer, Request, Server
from review.standins.store import Store

HEARTBEAT_SECONDS = 1.5
STOP_SECONDS = 0.1
MAX_ENDS = 500


@dataclass
class Run:
    """One run as the runner saw it, in seconds of the steady clock."""

    runner: str
    task: str
    number: int
    token: int
    started_at: float
    ended_at: float | None = None
    how: str = ""
    noted_at: float | None = None
    """When `lastSeen` reached the end, unless the lease had lapsed since the end."""
    is_stopping: bool = False


Plan = Callable[[str, int], tuple[float, str]]
"""Says how long a run takes, in seconds, and how it ends."""


class Runner:
    """A runner that doesn't guard its capacity."""

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        plan: Plan,
        log: Callable[..., None],
        cpu: int = 16_000,
        mem_mb: int = 65_536,
        hold_max_ms: int = 10_000,
    ) -> None:
        self.name, self.service = name, service
        self._store, self._plan, self._log = store, plan, log
        self._room = {"cpu": cpu, "memMb": mem_mb, "gpu": 0}
        self._hold_max_ms = hold_max_ms
        self._clock_began = time.monotonic() - 100.0
        self.born = time.time_ns() // 1_000_000
        self._sequence = 0
        self.token = 0
        self._lease_until_ms = 0
        self.lapses: list[float] = []
        self._is_lapsed = True
        self.running: dict[tuple[str, int], Run] = {}
        self._ended: list[tuple[int, Run]] = []
        self._numbers = itertools.count(1)
        self._closed: dict[str, int] = {}
        self._end_came = asyncio.Event()
        self.runs: list[Run] = []
        self._server = Server(self._handle)
        self._tasks: list[asyncio.Task[None]] = []
        self.most_ends_held = 0

    async def start(self) -> None:
        await self._server.start()
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._watch_lease()),
        ]

    async def stop(self) -> None:
        for each in self._tasks:
            each.cancel()
        await self._server.stop()

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            if not self._store.is_down_for_servers:
                self._store.put("servers", "", self.name, self._describe())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _describe(self) -> dict[str, Any]:
        return {
            "id": self.name,
            "service": self.service,
            "address": self._server.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": self._room,
            "labels": ["a", "r1"],
            "born": self.born,
            "sequence": self._sequence,
        }

    def _read_clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_began) * 1_000)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            self._lapse_if_due()

    def _lapse_if_due(self) -> None:
        if self._read_clock_ms() <= self._lease_until_ms:
            self._is_lapsed = False
            return
        if not self._is_lapsed:
            self._is_lapsed = True
            self.lapses.append(time.monotonic())
        for run in list(self.running.values()):
            self._end(run, "lapsed")

    def _take_lease(self, until_ms: int | None) -> None:
        if until_ms is not None:
            longest = self._read_clock_ms() + self._hold_max_ms
            self._lease_until_ms = max(self._lease_until_ms, min(until_ms, longest))

    async def _handle(self, request: Request) -> Answer:
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return 421, None
        message = request.json()
        token = message.get("fencingToken", 0)
        self._lapse_if_due()
        if token < self.token:
            return 409, self._say(reason="fence")
        self.token = token
        if request.target == "/run-start":
            return self._start(message, token)
        if request.target == "/run-stop":
            return self._stop(message)
        if request.target == "/hold":
            return await self._hold(message)
        if request.target == "/pace":
            return 200, self._say()
        return 400, None

    def _start(self, message: dict[str, Any], token: int) -> Answer:
        task, number = message["task"], message["runId"]
        if message["expiresMs"] <= self._read_clock_ms():
            self._log("refused", runner=self.name, task=task, run=number, reason="late")
            return 409, self._say(reason="late")
        self._take_lease(message["expiresMs"])
        self._is_lapsed = False
        if (task, number) in self.running:
            return 200, self._say()
        if number <= self._closed.get(task, 0):
            self._log("refused", runner=self.name, task=task, run=number, reason="old")
            return 409, self._say(reason="old")
        run = Run(self.name, task, number, token, time.monotonic())
        self.running[(task, number)] = run
        self.runs.append(run)
        self._log("start", runner=self.name, task=task, run=number, token=token)
        seconds, how = self._plan(task, number)
        if seconds != float("inf"):
            asyncio.get_running_loop().call_later(seconds, self._end, run, how)
        return 200, self._say()

    def _stop(self, message: dict[str, Any]) -> Answer:
        task, number = message["task"], message["runId"]
        self._closed[task] = max(self._closed.get(task, 0), number)
        run = self.running.get((task, number))
        if run is not None and not run.is_stopping:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(STOP_SECONDS, self._end, run, "stopped")
        return 200, self._say()

    def _end(self, run: Run, how: str) -> None:
        if run.ended_at is not None:
            return
        run.ended_at, run.how = time.monotonic(), how
        del self.running[(run.task, run.number)]
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.number)
        self._ended.append((next(self._numbers), run))
        self.most_ends_held = max(self.most_ends_held, len(self._ended))
        self._end_came.set()
        self._log("end", runner=self.name, task=run.task, run=run.number, how=how)

    async def _hold(self, message: dict[str, Any]) -> Answer:
        self._take_lease(message.get("expiresMs"))
        for number, run in self._ended:
            if number <= message["lastSeen"] and run.ended_at is not None:
                ended_at = run.ended_at
                if not any(lapse >= ended_at for lapse in self.lapses):
                    run.noted_at = time.monotonic()
        self._ended = [each for each in self._ended if each[0] > message["lastSeen"]]
        wait_seconds = min(2.0, message.get("waitMs", 0) / 1_000)
        if not self._ended and wait_seconds:
            self._end_came = asyncio.Event()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._end_came.wait(), wait_seconds)
        running = [[run.task, run.number, "", self._measure(run)] for run in self.running.values()]
        finished = [
            [number, run.task, run.number, run.how, ""] for number, run in self._ended[:MAX_ENDS]
        ]
        return 200, self._say(running=running, finished=finished)

    def _measure(self, run: Run) -> int:
        """Return the percent of its work that a run has done, or 100 for one that lasts."""
        seconds, _ = self._plan(run.task, run.number)
        if seconds == float("inf"):
            return 100
        return min(99, int(100 * (time.monotonic() - run.started_at) / max(seconds, 0.001)))

    def _say(self, **fields: Any) -> dict[str, Any]:
        return {"clockMs": self._read_clock_ms(), "born": self.born, **fields}

"""Stand-in for a worker: it runs simulated tasks under leases and logs what it ran.

`python -m lentilpath_standins.worker --address IP --port N --name W --millicores N --memory-mib N
--accelerators N [--log FILE]`. Each task is a timer that runs for its parameter `actual_run_ms`, or
for its declared `run_ms` without one; with 0 the task runs until it is stopped. Other parameters:
`actual_outcome`, `actual_millicores`, `actual_memory_mib` and `stop_ms` (duration of a stop).
"""

from __future__ import annotations

import asyncio
import json
import os
import time
import zlib
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from lentilpath_core.resources import Resources
from lentilpath_http import HttpRequest, HttpResponse, HttpServer, serve_http
from lentilpath_http import json_response as respond
from lentilpath_standins._commands import End, Start, Sync, Throttle
from lentilpath_standins._faults import (
    HTTP_BAD_REQUEST,
    HTTP_CONFLICT,
    HTTP_NOT_FOUND,
    HTTP_OK,
    MS_PER_SECOND,
    Connection,
    FaultInjector,
    Faults,
    create_connection_handler,
)
from lentilpath_standins._process import run_until_terminated
from lentilpath_standins._tasks import RUNNING, Fact, TaskAttempt, WorkerTasks

MUTATING_PATHS = frozenset({"/start", "/stop", "/checkpoint", "/throttle", "/sync"})
NS_PER_MS = 1_000_000
MAX_IDLE_WAIT_MS = 60_000


class WorkerFaults(Faults, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Fault switches of a worker."""

    fail_all: bool = False
    """Every task fails as soon as it starts."""
    refuse_starts: bool = False


class WorkerStandin:
    """The state of a worker and its HTTP routes."""

    def __init__(self, name: str, capacity: Resources, log: Path | None) -> None:
        self.fault_injector = FaultInjector(WorkerFaults(), self._route_request, MUTATING_PATHS)
        self._tasks = WorkerTasks(capacity)
        self._boot = f"{name}-{os.getpid()}-{time.time_ns()}"
        # Each worker's clock has its own offset, so that code which mixes up two clocks fails.
        self._clock_offset_ms = zlib.crc32(name.encode())
        self._wall_clock_offset_ms = time.time_ns() // NS_PER_MS - self._read_clock()
        self._log = log.open("a") if log else None
        self._facts_written = 0
        self._changed = asyncio.Event()

    async def handle(self, request: HttpRequest, connection: Connection) -> HttpResponse:
        """Handle one request."""
        self._advance()
        path = request.get_path()
        if path == "/faults":
            return self.fault_injector.handle_faults_request(request)
        if path == "/log":
            return respond(HTTP_OK, self._build_log())
        return await self.fault_injector.handle_request(request, connection)

    async def run_timers(self) -> None:
        """End tasks when their run time or lease is over. Runs until cancelled."""
        while True:
            self._changed.clear()
            self._advance()
            next_end = self._tasks.get_next_end_time()
            wait_ms = (
                MAX_IDLE_WAIT_MS if next_end is None else max(1, next_end - self._read_clock())
            )
            await self._wait_for_change(wait_ms)

    async def _route_request(self, request: HttpRequest) -> HttpResponse:
        path = request.get_path()
        try:
            if path == "/start":
                return self._start(msgspec.json.decode(request.body, type=Start))
            if path == "/sync":
                return await self._sync(msgspec.json.decode(request.body, type=Sync))
            if path in ("/stop", "/checkpoint"):
                return self._end(path, msgspec.json.decode(request.body, type=End))
            if path == "/throttle":
                return self._throttle(msgspec.json.decode(request.body, type=Throttle))
        except (msgspec.DecodeError, ValueError) as error:
            return respond(HTTP_BAD_REQUEST, {"error": "malformed", "message": str(error)})
        return respond(HTTP_NOT_FOUND, {"error": "no such path"})

    def _start(self, command: Start) -> HttpResponse:
        faults = self.fault_injector.faults
        if faults.refuse_starts:
            return respond(HTTP_CONFLICT, {"error": "refused"})
        now = self._read_clock()
        started = self._tasks.start(command, now, fail_immediately=faults.fail_all)
        self._advance()
        if not started:
            return respond(HTTP_CONFLICT, {"error": "too late", "clock": now})
        return respond(HTTP_OK, {})

    async def _sync(self, command: Sync) -> HttpResponse:
        self._tasks.renew(command, self._read_clock())
        deadline = self._read_clock() + command.wait_ms
        complete, tasks = self._tasks.list_changed(command.since)
        while not complete and not tasks and self._read_clock() < deadline:
            await self._wait_for_change(deadline - self._read_clock())
            complete, tasks = self._tasks.list_changed(command.since)
        self._advance()
        complete, tasks = self._tasks.list_changed(command.since)
        report = {
            "boot": self._boot,
            "clock": self._read_clock(),
            "sequence": self._tasks.sequence,
            "complete": complete,
            "tasks": [self._report_task(task) for task in tasks],
        }
        return respond(HTTP_OK, report)

    def _end(self, path: str, command: End) -> HttpResponse:
        now = self._read_clock()
        if command.not_after < now:
            return respond(HTTP_CONFLICT, {"error": "too late", "clock": now})
        attempt = self._tasks.attempts.get((command.task, command.attempt))
        if attempt is None:
            return respond(HTTP_NOT_FOUND, {"error": "no such attempt"})
        stop_ms = int(attempt.command.parameters.get("stop_ms", "0"))
        outcome = "stopped" if path == "/stop" else "checkpointed"
        ends_at = now + min(stop_ms, command.grace_ms)
        self._tasks.end_early(command.task, command.attempt, outcome, ends_at)
        self._advance()
        self._changed.set()
        return respond(HTTP_OK, {})

    def _throttle(self, command: Throttle) -> HttpResponse:
        attempt = self._tasks.attempts.get((command.task, command.attempt))
        if attempt is None:
            return respond(HTTP_NOT_FOUND, {"error": "no such attempt"})
        attempt.usage_millicores = min(attempt.usage_millicores, command.millicores)
        return respond(HTTP_OK, {})

    def _advance(self) -> None:
        self._tasks.advance(self._read_clock())
        facts = self._tasks.facts
        if len(facts) == self._facts_written:
            return
        if self._log is not None:
            for fact in facts[self._facts_written :]:
                self._log.write(json.dumps(self._describe_fact(fact)) + "\n")
            self._log.flush()
        self._facts_written = len(facts)
        self._changed.set()

    async def _wait_for_change(self, wait_ms: int) -> None:
        try:
            async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                await self._changed.wait()
        except TimeoutError:
            self._advance()

    def _report_task(self, task: TaskAttempt) -> dict[str, Any]:
        running = task.state == RUNNING
        elapsed_ms = (self._read_clock() if running else task.ended_at) - task.started_at
        parameters = task.command.parameters
        declared_mib = task.command.resources.memory_mib
        return {
            "task": task.command.task,
            "attempt": task.command.attempt,
            "state": task.state,
            "resources": msgspec.to_builtins(task.command.resources),
            "started_at": task.started_at + self._wall_clock_offset_ms,
            "ended_at": 0 if running else task.ended_at + self._wall_clock_offset_ms,
            "millicore_ms": task.usage_millicores * elapsed_ms,
            "peak_memory_mib": int(parameters.get("actual_memory_mib", declared_mib)),
        }

    def _build_log(self) -> dict[str, Any]:
        return {
            "boot": self._boot,
            "facts": [self._describe_fact(fact) for fact in self._tasks.facts],
            "overcommitted": self._tasks.overcommitted,
            "max_used": msgspec.to_builtins(self._tasks.max_used),
            "capacity": msgspec.to_builtins(self._tasks.capacity),
            "running": sum(t.state == RUNNING for t in self._tasks.attempts.values()),
        }

    def _describe_fact(self, fact: Fact) -> dict[str, Any]:
        described: dict[str, Any] = msgspec.to_builtins(fact)
        described["at"] = fact.at + self._wall_clock_offset_ms
        described["boot"] = self._boot
        return described

    def _read_clock(self) -> int:
        reading = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS
        return reading + self._clock_offset_ms


def main(
    address: Annotated[str, typer.Option(help="IP number to listen on")],
    port: Annotated[int, typer.Option(help="port to listen on")],
    name: Annotated[str, typer.Option(help="name in the platform's list of hosts")],
    millicores: Annotated[int, typer.Option(help="thousandths of a processor")],
    memory_mib: Annotated[int, typer.Option(help="memory in MiB")],
    accelerators: Annotated[int, typer.Option(help="number of accelerators")] = 0,
    log: Annotated[Path | None, typer.Option(help="file that facts are appended to")] = None,
) -> None:
    """Run the worker until SIGTERM."""
    worker: WorkerStandin
    timers: asyncio.Task[None]

    async def start() -> tuple[HttpServer, ...]:
        nonlocal worker, timers
        worker = WorkerStandin(name, Resources(millicores, memory_mib, accelerators), log)
        timers = asyncio.create_task(worker.run_timers())
        return (await serve_http(create_connection_handler(worker.handle), address, port),)

    run_until_terminated(start)


if __name__ == "__main__":
    typer.run(main)

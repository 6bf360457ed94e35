"""Stand-ins for the platform's store, its runners and clients, for the scripts of review 3.

They follow PROTOCOL.md and use the standard library only. One process holds them all; the entry
hosts are the project's own program, one process each, with the command of deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
SERVICE = "boxplanner"
QUEUE_HOST = "queue.example"
QUEUE_PREFIX = "/checks/"
HEARTBEAT_SECONDS = 1.5
STORE_SECONDS = 0.004
"""An answer of the store takes 4 ms (SYSTEM.md)."""
TX_SECONDS = 0.005
HOLD_MAX_MS = 6_000
STOP_SECONDS = 0.1
"""A stop takes at most stopTimeoutMs, 400 ms."""
METRICS_PORT = 9464

Row = tuple[str, str, str]


def now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


class NoAnswer(Exception):
    """The request gets no answer; nothing further is delivered on its connection."""


@dataclass
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    is_first: bool = False
    """Whether it is the first request on its connection."""


Answer = tuple[int, dict[str, Any] | None]
Handler = Callable[[Request], Awaitable[Answer]]


async def serve(handler: Handler, ip: str, port: int = 0) -> asyncio.Server:
    """Serve HTTP/1.1 with JSON bodies of a declared length."""

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        is_first = True
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                pairs = (line.split(":", 1) for line in head[1:] if line)
                headers = {key.strip().lower(): value.strip() for key, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, message = await handler(Request(method, target, headers, body, is_first))
                is_first = False
                data = b"" if message is None else json.dumps(message).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except NoAnswer:
            # The connection stays open and silent until the other side closes it.
            with contextlib.suppress(OSError):
                while await reader.read(65_536):
                    pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, ip, port, backlog=512)


def get_port(server: asyncio.Server) -> int:
    port: int = server.sockets[0].getsockname()[1]
    return port


class Store:
    """The platform's store: rows, transactions, ranges and the feed."""

    def __init__(self) -> None:
        self.rows: dict[Row, tuple[str, int]] = {}
        self.changes: list[tuple[int, Row]] = []
        self.version = 0
        self.changed = asyncio.Event()
        self.parts: dict[str, asyncio.Lock] = {}
        self.intercept: Callable[[str, dict[str, Any]], float | None] = lambda host, message: None
        """Given the sender and a transaction, returns after how many seconds it is done without an
        answer; `None` if it is done and answered at once."""
        self.applied: Callable[[str, dict[str, Any]], None] = lambda host, message: None
        """Called for each transaction that was done at once."""
        self.servers: list[asyncio.Server] = []

    async def listen(self, ip: str, host: str, way_seconds: float = 0.0) -> int:
        """Serve one host, which is so far away, on an address of its own."""

        async def handle(request: Request) -> Answer:
            # A connection takes a way there and back before its first request.
            await asyncio.sleep(way_seconds * (3 if request.is_first else 1))
            answer = await self._handle(host, request)
            await asyncio.sleep(way_seconds)
            return answer

        server = await serve(handle, ip)
        self.servers.append(server)
        return get_port(server)

    def put(self, table: str, key: str, value: dict[str, Any] | None, quiet: bool = False) -> None:
        """Write a row as the operator or a runner does; `quiet` if only `sequence` changes."""
        row = (table, "", key)
        data = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        if quiet and data is not None and row in self.rows:
            self.rows[row] = (data, self.rows[row][1])
            return
        self.version += 1
        self._put(row, data)
        self._announce()

    def _put(self, row: Row, value: str | None) -> None:
        if value is None:
            self.rows.pop(row, None)
        else:
            self.rows[row] = (value, self.version)
        self.changes.append((self.version, row))

    def _announce(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, host: str, request: Request) -> Answer:
        url = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            return await self._answer_transaction(host, json.loads(request.body))
        await asyncio.sleep(STORE_SECONDS)
        if url.path == "/rows-get":
            return 200, self._read(query)
        if url.path == "/rows-feed":
            return 200, await self._follow(query)
        return 404, None

    async def _answer_transaction(self, host: str, message: dict[str, Any]) -> Answer:
        late_seconds = self.intercept(host, message)
        if late_seconds is not None:
            asyncio.get_running_loop().call_later(late_seconds, self.apply, message)
            raise NoAnswer
        part = next(
            each["part"] for name in ("setKeys", "remove", "expectedRev") for each in message[name]
        )
        async with self.parts.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TX_SECONDS)
            answer = self.apply(message)
        if answer[0] == 200:
            self.applied(host, message)
        return answer

    def apply(self, message: dict[str, Any]) -> Answer:
        """Apply a transaction if its conditions hold."""
        found = []
        holds = True
        for each in message["expectedRev"]:
            row = (each["table"], each["part"], each["key"])
            known = self.rows.get(row)
            holds &= (known[1] if known else 0) == each["rowVersion"]
            if known:
                found.append(self._show(row))
        if not holds:
            return 412, self._reply(rows=found)
        self.version += 1
        for each in message["setKeys"]:
            self._put((each["table"], each["part"], each["key"]), each["value"])
        for each in message["remove"]:
            self._put((each["table"], each["part"], each["key"]), None)
        self._announce()
        return 200, self._reply()

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        rows = sorted(
            row
            for row in self.rows
            if row[0] == query["table"]
            and row[1] == query.get("part", "")
            and row[2] >= query.get("from", "")
            and (not query.get("to") or row[2] < query["to"])
        )
        limit = min(500, int(query.get("limit", "500")))
        return self._reply(rows=[self._show(row) for row in rows[:limit]], hasMore=len(rows) > limit)

    async def _follow(self, query: dict[str, str]) -> dict[str, Any]:
        after, until = int(query["after"]), now_ms() + int(query.get("waitMs", "0"))
        while True:
            rows = list(dict.fromkeys(row for version, row in self.changes if version > after))
            shown = [self._show(row) for row in rows if row[0] == query["table"]]
            shown.sort(key=lambda row: row["rowVersion"])
            if shown or now_ms() >= until:
                return self._reply(rows=shown[:500], hasMore=len(shown) > 500)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), (until - now_ms()) / 1_000)

    def _show(self, row: Row) -> dict[str, Any]:
        known = self.rows.get(row)
        if known is None:
            version = max(version for version, each in self.changes if each == row)
            return {"table": row[0], "part": row[1], "key": row[2], "rowVersion": version,
                    "deleted": True}
        return {"table": row[0], "part": row[1], "key": row[2], "value": known[0],
                "rowVersion": known[1]}

    def _reply(self, **fields: Any) -> dict[str, Any]:
        return {"rowVersion": self.version, "nowMs": now_ms(), **fields}


@dataclass
class Run:
    """A run of a task as its runner saw it, in seconds of the monotonic clock."""

    task: str
    run: int
    runner: str
    spec: str
    started_at: float
    token: int
    ended_at: float | None = None
    how: str = ""
    is_noted: bool = False


@dataclass
class Runner:
    """One runner, which follows the part "Running tasks" of PROTOCOL.md."""

    name: str
    store: Store
    ip: str
    log: list[Run]
    cpu: int = 32_000
    mem_mb: int = 131_072
    labels: tuple[str, ...] = ("a", "r1-1")
    zone: str = "z1"
    run_seconds: Callable[[str], float] = lambda spec: float(spec)
    born: int = field(default_factory=lambda: int(time.time() * 1_000))
    sequence: int = 1
    port: int = 0
    token: int = 0
    lease_until: int = 0
    running: dict[tuple[str, int], Run] = field(default_factory=dict)
    closed: dict[str, int] = field(default_factory=dict)
    ends: list[tuple[int, Run]] = field(default_factory=list)
    end_count: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    delay: Callable[[dict[str, Any]], float] = lambda message: 0.0
    """Seconds that a call takes on its way, in each direction."""
    handle: Any = None
    started_ms: int = field(default_factory=now_ms)

    async def start(self) -> None:
        server = await serve(self._answer, self.ip)
        self.port = get_port(server)
        self.store.servers.append(server)
        self.register()
        self.handle = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.sequence += 1
            self.register(quiet=True)

    def register(self, quiet: bool = False) -> None:
        entry = {
            "service": SERVICE, "address": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
            "sequence": self.sequence, "born": self.born, "machine": f"m-{self.name}",
            "capacity": {"cpu": self.cpu, "memMb": self.mem_mb, "gpu": 0},
            "labels": list(self.labels),
        }
        self.store.put("servers", self.name, entry, quiet)

    def clock(self) -> int:
        return now_ms() - self.started_ms

    async def _answer(self, request: Request) -> Answer:
        if request.method == "GET":
            return 200, {}
        message = json.loads(request.body)
        seconds = self.delay(message)
        if seconds:
            await asyncio.sleep(seconds * (3 if request.is_first else 1))
        status, fields = await self._carry_out(request, message)
        if seconds:
            await asyncio.sleep(seconds)
        return status, {"clockMs": self.clock(), "born": self.born, **fields}

    async def _carry_out(self, request: Request, message: dict[str, Any]) -> tuple[int, dict]:
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        token = message.get("fencingToken", 0)
        if token < self.token:
            return 409, {"reason": "fence"}
        self.token = token
        self._expire()
        if request.target == "/run-start":
            return self._start(message)
        if request.target == "/run-stop":
            self._stop(message)
            return 200, {}
        if request.target == "/pace":
            return 200, {}
        return 200, await self._hold(message)

    def _extend(self, message: dict[str, Any]) -> None:
        if "expiresMs" in message:
            until = min(message["expiresMs"], self.clock() + HOLD_MAX_MS)
            self.lease_until = max(self.lease_until, until)

    def _start(self, message: dict[str, Any]) -> tuple[int, dict]:
        key = (message["task"], message["runId"])
        if message["expiresMs"] < self.clock():
            return 409, {"reason": "late"}
        self._extend(message)
        if key in self.running:
            return 200, {}
        if message["runId"] <= self.closed.get(message["task"], 0):
            return 409, {"reason": "old"}
        run = Run(*key, self.name, message["spec"], time.monotonic(), self.token)
        self.running[key] = run
        self.log.append(run)
        loop = asyncio.get_running_loop()
        loop.call_later(self.run_seconds(run.spec), self._finish, run)
        return 200, {}

    def _finish(self, run: Run) -> None:
        self._expire()
        self._end(run, "done")

    def _stop(self, message: dict[str, Any]) -> None:
        task = message["task"]
        self.closed[task] = max(self.closed.get(task, 0), message["runId"])
        run = self.running.get((task, message["runId"]))
        if run is not None:
            asyncio.get_running_loop().call_later(STOP_SECONDS, self._end, run, "stopped")

    def _end(self, run: Run, how: str) -> None:
        if self.running.pop((run.task, run.run), None) is None:
            return
        run.ended_at, run.how = time.monotonic(), how
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.run)
        self.end_count += 1
        self.ends.append((self.end_count, run))
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self) -> None:
        if self.running and self.clock() > self.lease_until:
            for run in list(self.running.values()):
                self._end(run, "lapsed")

    async def _hold(self, message: dict[str, Any]) -> dict[str, Any]:
        self._extend(message)
        for number, run in self.ends:
            run.is_noted |= number <= message["lastSeen"]
        self.ends = [each for each in self.ends if each[0] > message["lastSeen"]]
        until = now_ms() + message.get("waitMs", 0)
        while not self.ends and now_ms() < until:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), (until - now_ms()) / 1_000)
            self._expire()
        now = time.monotonic()
        running = [
            [run.task, run.run, "", min(99, int((now - run.started_at) * 100 / max(
                0.001, self.run_seconds(run.spec)))), 0]
            for run in self.running.values()
        ]
        finished = [[number, run.task, run.run, run.how, ""] for number, run in self.ends[:500]]
        return {"running": running, "finished": finished}


@dataclass
class Host:
    """An entry host: the project's own program, with the command of the deploy file."""

    name: str
    ip: str
    port: int
    process: asyncio.subprocess.Process
    output: Any
    region: str = "r1"
    ready_port: int = 0


class World:
    """The stand-ins and the hosts of one script, on loopback addresses of their own."""

    def __init__(self) -> None:
        number = os.getpid()
        self.net = f"127.{20 + number % 200}.{1 + number // 200 % 250}"
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self.store = Store()
        self.runs: list[Run] = []
        self.runners: list[Runner] = []
        self.hosts: list[Host] = []
        self.lines: list[str] = []
        self.begun = time.monotonic()
        self.way_seconds = 0.0
        """One way between regions."""

    def note(self, text: str) -> None:
        self.lines.append(f"{time.monotonic() - self.begun:8.3f} {text}")

    def configure(self, version: int, routes: list[dict[str, Any]] | None = None) -> None:
        route = {
            "name": "checks", "host": QUEUE_HOST, "pathPrefix": QUEUE_PREFIX,
            "kind": "non_idempotent", "timeoutMs": 3_000, "targetLatencyMs": 500,
            "priority": 0, "service": SERVICE, "maxAttempts": 3, "slackFactor": 2.0,
        }
        self.store.put("op", "config", {
            "version": version, "routes": routes or [route], "limits": {},
            "services": [{"name": SERVICE, "enforcesCapacity": False, "standby": False}],
        })

    async def add_runner(self, **fields: Any) -> Runner:
        name = f"s{len(self.runners)}"
        runner = Runner(name, self.store, f"{self.net}.1", self.runs, **fields)
        self.runners.append(runner)
        await runner.start()
        return runner

    async def add_host(self, zone: str = "z1", region: str = "r1") -> Host:
        """Start a host. The store is in region r1."""
        number = len(self.hosts) + 1
        name, ip = f"edge-{number}", f"{self.net}.{10 + number}"
        way_seconds = self.way_seconds if region != "r1" else 0.0
        store_port = await self.store.listen(f"{self.net}.1", name, way_seconds)
        ports = [free_port(ip) for _ in range(4)]
        settings = {
            "nodeName": name, "role": "entry", "machineClass": "edge", "serves": ["edge"],
            "ip": ip, "zone": zone, "region": region, "zones": {"z1": "r1", "z2": "r2", "z3": "r3"},
            "listenAddrs": {"frontend": f"{ip}:{ports[0]}", "ready": f"{ip}:{ports[1]}",
                            "controlPlane": f"{ip}:{ports[2]}"},
            "portRange": [ports[3], ports[3]], "seedNodes": [], "bootstrap": True,
            "faultCounted": False,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4200,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entryKind": "vip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform",
                          "advice", "upkeep", "sharing"],
            "bounds": {"contactMs": 4000, "ackTimeoutMs": 5000, "drainMs": 2500, "graceS": 6,
                       "configApplyMs": 2500, "holdMaxMs": HOLD_MAX_MS, "stopTimeoutMs": 400,
                       "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
                       "status_s": 120},
            "orders": "invocation", "advice": f"{self.net}.1:9",
            "platform": {"address": f"{self.net}.1:{store_port}", "form": "table"},
        }
        path = self.folder / f"{name}.yaml"
        # JSON is YAML too.
        path.write_text(json.dumps(settings))
        output = (self.folder / f"{name}.log").open("wb")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["LENTILPATH_NODE_FILE"] = str(path)
        process = await asyncio.create_subprocess_exec(
            "python3", "-m", "lentilpath_platform.main", cwd=REPOSITORY, env=environment,
            stdout=output, stderr=output,
        )
        host = Host(name, ip, ports[0], process, output, region, ports[1])
        self.hosts.append(host)
        return host

    async def wait_ready(self, seconds: float = 20.0) -> bool:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            states = [await call(each.ip, each.ready_port, "GET", "/readyz") for each in self.hosts]
            if all(status == 200 for status, _ in states):
                return True
            await asyncio.sleep(0.1)
        return False

    async def close(self) -> None:
        for host in self.hosts:
            if host.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    host.process.send_signal(signal.SIGCONT)
                    host.process.kill()
                await host.process.wait()
            host.output.close()
        for server in self.store.servers:
            server.close()

    def find_overlaps(self) -> list[str]:
        """Return the pairs of runs of one task that were there at the same time (rule TWICE)."""
        by_task: dict[str, list[Run]] = {}
        for run in self.runs:
            by_task.setdefault(run.task, []).append(run)
        found = []
        for task, runs in by_task.items():
            runs.sort(key=lambda run: run.started_at)
            for number, later in enumerate(runs):
                for first in runs[:number]:
                    if first.ended_at is None or first.ended_at > later.started_at:
                        end = first.ended_at or time.monotonic()
                        together = min(end, later.ended_at or end) - later.started_at
                        found.append(
                            f"{task}: run {first.run} on {first.runner} (token {first.token}) and "
                            f"run {later.run} on {later.runner} (token {later.token}), "
                            f"{together * 1_000:.0f} ms together"
                        )
        return found

    def write_record(self, path: Path) -> None:
        lines = [*self.lines, "", "runs (start, end, task, run, runner, token, how it ended):"]
        for run in sorted(self.runs, key=lambda each: each.started_at):
            end = "-" if run.ended_at is None else f"{run.ended_at - self.begun:.3f}"
            lines.append(
                f"{run.started_at - self.begun:8.3f} {end:>8} {run.task} {run.run} {run.runner} "
                f"{run.token} {run.how or '-'}"
            )
        path.write_text("\n".join(lines) + "\n")
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        port: int = probe.getsockname()[1]
        return port


async def call(
    ip: str, port: int, method: str, path: str, body: dict[str, Any] | None = None,
    timeout: float = 3.5,
) -> tuple[int, dict[str, Any] | None]:
    """Send one request on a connection of its own; status 0 stands for no answer."""
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nhost: {QUEUE_HOST}\r\nx-deadline-ms: 3000\r\n"
        f"content-type: application/json\r\ncontent-length: {len(data)}\r\n"
        "connection: close\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(head.encode() + data)
            answer = await reader.read(-1)
    except (OSError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    if not answer:
        return 0, None
    first, _, rest = answer.partition(b"\r\n\r\n")
    status = int(first.split(b" ", 2)[1])
    with contextlib.suppress(ValueError):
        return status, json.loads(rest) if rest else None
    return status, None


def make_job_id(chance: random.Random) -> str:
    return f"{chance.getrandbits(64):016x}"

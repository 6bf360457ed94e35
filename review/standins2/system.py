"""Starts the system's own programs as the deploy file says, with settings of a small deployment."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins2.http import Answer, Call, Server, request
from standins2.runner import Run, Runner
from standins2.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "queue.example"
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 4000,
    "ackTimeoutMs": 5000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "downgradeSlackMs": 250,
    "maxStretchMs": 6000,
    "recoveryS": 12,
    "holdMaxMs": 6000,
    "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 1.5,
    "checkpointS": 1,
    "restoreMs": 600,
    "noticeMs": 5500,
    "migrateS": 1.5,
    "maintenanceS": 2,
    "fencingEnforced": False,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}
MEMORY_MB = 300
METRICS_PORT = 9464
"""The port in deploy/system.toml."""
MAX_HOSTS = 8


def make_route(name: str, **more: Any) -> dict[str, Any]:
    """Return a queue of the configuration, at the path `/NAME/`."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 3000,
        "priority": 1,
        "service": "planner",
        "maxAttempts": 4,
        "slackFactor": 4.0,
        **more,
    }


def find_network(hosts: int) -> str:
    """Return the first three numbers of loopback addresses with a free port for metrics."""
    for number in range(os.getpid(), os.getpid() + 250):
        network = f"127.{10 + number // 250 % 200}.{number % 250}"
        try:
            for host in range(hosts):
                with socket.socket() as found:
                    found.bind((f"{network}.{host + 2}", METRICS_PORT))
        except OSError:
            continue
        return network
    raise OSError("no loopback address has a free port for metrics")


def find_port(address: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as found:
        found.bind((address, 0))
        return int(found.getsockname()[1])


@dataclass
class Host:
    """One entry host: its process, addresses and log."""

    name: str
    address: str
    file: Path
    log: Path
    frontend: int
    ready: int
    peers: int
    store: Server
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the deploy file's command."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LENTILPATH_NODE_FILE": str(self.file),
        }
        output = self.log.open("ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=output, stderr=output
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def is_up(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def read_memory_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        if not self.is_up() or self.process is None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1_000
        return 0.0

    async def call(
        self, method: str, path: str, body: Any = None, deadline_ms: int = 3_000
    ) -> tuple[int, Any]:
        """Send a client's request."""
        headers = {
            "Host": HOST_NAME,
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(deadline_ms),
        }
        return await request(
            self.frontend, method, path, body, headers, deadline_ms / 1_000, self.address
        )

    async def is_ready(self) -> bool:
        """Return whether the host says that it is ready."""
        status, _ = await request(self.ready, "GET", "/readyz", timeout=0.5, host=self.address)
        return status == 200


@dataclass
class System:
    """The store, the runners and the entry hosts of one play, and what was seen."""

    routes: list[dict[str, Any]]
    work: Callable[[str, str], tuple[float, str]]
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="lentilpath-")))
    store: Store = field(default_factory=Store)
    hosts: list[Host] = field(default_factory=list)
    runners: list[Runner] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    began: float = field(default_factory=time.monotonic)
    gates: dict[str, Callable[[Call], Any]] = field(default_factory=dict)
    """Awaited before the store answers a host; may raise `Hang` or `Drop`."""
    version: int = 3
    hold_max_ms: int = 6_000
    network: str = field(default_factory=lambda: find_network(MAX_HOSTS))
    watcher: asyncio.Task[None] | None = None

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def set_config(self) -> None:
        """Write the configuration as the operator does."""
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": [{"name": "planner", "enforcesCapacity": False, "standby": False}],
            "limits": {},
        }
        self.store.put("op", "", "config", json.dumps(config).encode())

    async def open(self, hosts: int, runners: int, **runner: Any) -> None:
        """Start all and wait until a host leads and all are ready."""
        self.set_config()
        for number in range(runners):
            await self.add_runner(f"i-{number:04d}", rack=f"r{1 + number // 8}", **runner)
        for number in range(hosts):
            await self.add_host(number)
        await self.wait_ready(hosts)

    async def add_runner(self, name: str, **more: Any) -> Runner:
        """Start a runner."""
        each = Runner(name, self.store, self.runs, self.work, **more)
        self.runners.append(each)
        await each.start()
        return each

    async def add_host(self, number: int) -> Host:
        """Start an entry host on a loopback address of its own."""
        address = f"{self.network}.{number + 2}"
        name = f"edge-z1-{number + 1}"

        async def answer(call: Call) -> Answer:
            gate = self.gates.get(name)
            if gate is not None:
                early = await gate(call)
                if early is not None:
                    return early  # type: ignore[no-any-return]
            return await self.store.answer(call)

        server = Server(answer)
        store_port = await server.start()
        ports = [find_port(address) for _ in range(4)]
        settings = self._make_settings(name, address, ports, store_port)
        file = self.folder / f"{name}.yaml"
        file.write_text(json.dumps(settings, indent=1))
        log = self.folder / f"{name}.log"
        host = Host(name, address, file, log, ports[0], ports[1], ports[3], server)
        self.hosts.append(host)
        host.start()
        return host

    def _make_settings(
        self, name: str, address: str, ports: list[int], store_port: int
    ) -> dict[str, Any]:
        frontend, ready, control, peers = ports
        return {
            "nodeName": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": address,
            "zone": "z1",
            "region": "reg1",
            "zones": {"z1": "reg1"},
            "listenAddrs": {
                "frontend": f"{address}:{frontend}",
                "ready": f"{address}:{ready}",
                "controlPlane": f"{address}:{control}",
            },
            "portRange": [peers, peers],
            "seedNodes": [],
            "bootstrap": True,
            "faultCounted": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": MEMORY_MB,
                "maxFds": 4200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entryKind": "vip",
            "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regionLosses": 0},
            "bounds": {**BOUNDS, "holdMaxMs": self.hold_max_ms},
            "orders": "invocation",
            "platform": {
                "address": f"127.0.0.1:{store_port}",
                "form": "table",
                "writesPerS": 800,
                "readsPerS": 2000,
                "txMs": 5.0,
                "partitionWritesS": 200,
                "rowBytes": 65536,
                "crossShard": False,
                "historyS": 20,
            },
        }

    async def wait_ready(self, hosts: int, seconds: float = 30.0) -> None:
        """Wait until that many hosts are ready and jobs can be counted; raises `TimeoutError`."""
        async with asyncio.timeout(seconds):
            while True:
                ready = [await each.is_ready() for each in self.hosts if each.is_up()]
                if sum(ready) >= hosts and self.find_leader() is not None:
                    return
                await asyncio.sleep(0.1)

    def find_leader(self) -> Host | None:
        """Return the host that the store names as the leader; this only serves the play."""
        for value in (self.store.read("lentilpath-pool", "cell").get("0lease", b""),):
            for host in self.hosts:
                if host.name.encode() in value and host.is_up():
                    return host
        return None

    def keep_memory_limit(self) -> None:
        """Kill processes over their memory limit and start them again, as the machines do."""
        self.watcher = asyncio.create_task(self._watch_memory())

    async def _watch_memory(self) -> None:
        while True:
            for host in self.hosts:
                used = host.read_memory_mb()
                if used > MEMORY_MB:
                    self.note(f"{host.name} uses {used:.0f} MB of {MEMORY_MB}: killed")
                    host.kill()
                    await asyncio.sleep(0.3)
                    host.start()
                elif host.process is not None and host.process.poll() is not None:
                    self.note(f"{host.name} ended with {host.process.returncode}")
                    host.start()
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """End all processes that were started."""
        if self.watcher is not None:
            self.watcher.cancel()
        for host in self.hosts:
            host.send(signal.SIGCONT)
            host.kill()
        for runner in self.runners:
            await runner.crash()
        for host in self.hosts:
            await host.store.stop()


def find_twice(runs: list[Run]) -> list[str]:
    """Return the breaks of TWICE: overlapping runs, and starts after an end `done` was noted."""
    by_task: dict[str, list[Run]] = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    broken = []
    for task, each in by_task.items():
        each.sort(key=lambda run: run.began)
        for position, second in enumerate(each):
            for first in each[:position]:
                if first.ended is None or first.ended > second.began:
                    broken.append(f"{task}: runs {first.number} and {second.number} overlap")
                elif first.how == "done" and first.noted is not None and not first.has_lapsed:
                    broken.append(f"{task}: run {second.number} starts after a noted end `done`")
    return broken

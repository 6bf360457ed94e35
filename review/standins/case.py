"""Sets up a small deployment for a case, records what happens, and ends all its processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.standins.http import Answer, Request, Server, call
from review.standins.runner import Plan, Run, Runner
from review.standins.store import Faults, Store

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
MOST_SECONDS = 110.0
HOST_NAME = "grants.example"
SERVICE = "grant-desk"
FRONT, READY, PEERS, METRICS = 8161, 8167, 7720, 9464
GRACE_SECONDS = 6.0
DEADLINE_MS = 3_000


class CannotRun(Exception):
    """The case could not be played as described."""


def make_route(name: str, prefix: str, **more: Any) -> dict[str, Any]:
    route = {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": prefix,
        "service": SERVICE,
        "kind": "non_idempotent",
        "priority": 1,
        "maxAttempts": 4,
        "slackFactor": 2.2,
        "timeoutMs": 3_000,
        "targetLatencyMs": 1_200,
    }
    return {**route, **more}


def make_config(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    services = [{"name": SERVICE, "enforcesCapacity": False, "standby": False}]
    return {"version": version, "routes": list(routes), "services": services, "limits": {}}


class Host:
    """One entry host: the command of the deploy file in a process of its own."""

    def __init__(
        self, name: str, ip: str, folder: Path, store_address: str, advice_address: str
    ) -> None:
        self.name, self.ip, self.folder = name, ip, folder
        self.store_address, self.advice_address = store_address, advice_address
        self.process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> str:
        return f"{self.ip}:{FRONT}"

    async def start(self) -> None:
        path = self.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(self._make_settings()))
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["LENTILPATH_NODE_FILE"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "lentilpath_platform.main",
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> None:
        if self.process is not None:
            await self.process.wait()

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.wait()

    async def terminate(self) -> None:
        """Stop the process as the platform does: SIGTERM, and SIGKILL after the grace period."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.wait(), GRACE_SECONDS)
        except TimeoutError:
            await self.kill()

    def _make_settings(self) -> dict[str, Any]:
        return {
            "nodeName": self.name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.ip,
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listenAddrs": {
                "frontend": f"{self.ip}:{FRONT}",
                "ready": f"{self.ip}:{READY}",
                "controlPlane": f"{self.ip}:8166",
            },
            "portRange": [PEERS, PEERS + 15],
            "seedNodes": [],
            "bootstrap": True,
            "faultCounted": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entryKind": "vip",
            "heartbeatMs": 1500,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sched",
                "platform",
                "advice",
            ],
            "faultTolerance": {"machines": 2, "zones": 0, "regionLosses": 0},
            "bounds": {
                "seedLagS": 3,
                "addrReuseS": 2,
                "contactMs": 4000,
                "ackTimeoutMs": 5000,
                "catchUpS": 4,
                "drainMs": 2500,
                "graceS": GRACE_SECONDS,
                "lossSlackMs": 200,
                "configApplyMs": 2500,
                "downgradeSlackMs": 250,
                "maxStretchMs": 6000,
                "recoveryS": 12,
                "holdMaxMs": 10000,
                "stopTimeoutMs": 200,
                "gangTimeoutMs": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "early_ms": 250,
                "finish_s": 14,
                "status_s": 120,
                "remoteFactor": 3,
                "checkpointS": 2,
                "restoreMs": 100,
                "fencingEnforced": False,
                "leaseMs": 3000,
                "thawSlackMs": 300,
            },
            "orders": "invocation",
            "advice": self.advice_address,
            "platform": {
                "address": self.store_address,
                "form": "table",
                "writesPerS": 600,
                "readsPerS": 2000,
                "txMs": 5.0,
                "partitionWritesS": 200,
                "rowBytes": 65536,
                "crossShard": False,
                "historyS": 20,
                "blobBytes": 8388608,
                "blobMs": 25.0,
                "blobMbS": 80.0,
            },
        }


def _is_free(ip: str) -> bool:
    for port in (FRONT, READY, PEERS, METRICS):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def choose_ips(count: int) -> list[str]:
    """Return loopback addresses on which the ports of a host are free."""
    found: list[str] = []
    while len(found) < count:
        ip = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}.{random.randint(2, 254)}"
        if ip not in found and _is_free(ip):
            found.append(ip)
    return found


class Case:
    """A deployment in play, and the record of what was sent, answered and run."""

    def __init__(self, folder: Path, logs: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._record = (folder / "record.txt").open("w")
        self._began = time.monotonic()
        self._logs = logs
        self.store = Store()
        self.hosts: list[Host] = []
        self.faults: list[Faults] = []
        self.runners: list[Runner] = []
        self._advice = Server(self._advise)
        self._advising = asyncio.Lock()
        self._advice_policy = {"decideMs": 0, "perItemMs": 0, "validMs": 2000}

    def log(self, what: str, /, **fields: Any) -> None:
        if self._record.closed:
            return
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{self.now():8.3f} {what} {told}", file=self._record, flush=True)

    def now(self) -> float:
        return time.monotonic() - self._began

    async def sleep_until(self, seconds: float) -> None:
        await asyncio.sleep(max(0.0, seconds - self.now()))

    async def _advise(self, request: Request) -> Answer:
        """Answer as the advice service: each worker may run each step."""
        message = request.json()
        async with self._advising:
            policy = self._advice_policy
            workers = message["workers"]
            await asyncio.sleep((policy["decideMs"] + policy["perItemMs"] * len(workers)) / 1_000)
        allowed = [[worker, f"t-{worker}"] for worker in workers]
        return 200, {"allowed": allowed, "validMs": policy["validMs"]}

    async def open(
        self, hosts: int, runners: int, plan: Plan, config: dict[str, Any], **runner_room: int
    ) -> None:
        """Start the stand-ins and the hosts, and wait until all hosts are ready."""
        for route in config["routes"]:
            self._advice_policy = route.get("advice", self._advice_policy)
        advice_address = await self._advice.start()
        self.configure(config)
        for number in range(runners):
            runner = Runner(f"w{number}", SERVICE, self.store, plan, self.log, **runner_room)
            self.runners.append(runner)
            await runner.start()
        for number, ip in enumerate(choose_ips(hosts)):
            faults = Faults()
            address = await self.store.listen(faults)
            host = Host(f"h{number}", ip, self._logs, address, advice_address)
            self.faults.append(faults)
            self.hosts.append(host)
            await host.start()
        await self.wait_for("all hosts ready, with a leader", self._are_all_ready, 30.0)
        await asyncio.sleep(3.0)

    def configure(self, config: dict[str, Any]) -> None:
        self.store.put("op", "", "config", config)
        self.log("config", version=config["version"], routes=len(config["routes"]))

    async def _are_all_ready(self) -> bool:
        if ("lentilpath-pool", "cell", "0epoch") not in self.store.rows:
            return False
        for host in self.hosts:
            found = await call(f"{host.ip}:{READY}", "GET", "/readyz", {"host": "x"}, timeout=1.0)
            if found is None or found[0] != 200:
                return False
        return True

    async def wait_for(
        self, what: str, is_true: Callable[[], Awaitable[bool]], seconds: float
    ) -> None:
        ends_at = time.monotonic() + seconds
        while not await is_true():
            if time.monotonic() > ends_at:
                raise CannotRun(f"not seen within {seconds} s: {what}")
            await asyncio.sleep(0.05)
        self.log("seen", condition=repr(what))

    def find_leader(self) -> Host:
        """Return the host that has last written the row of the leader's epoch."""
        value, _ = self.store.rows[("lentilpath-pool", "cell", "0epoch")]
        for host in self.hosts:
            if f"{host.name}.".encode() in value:
                return host
        raise CannotRun("no leader is known")

    async def submit(self, host: Host, prefix: str, job: str, body: dict[str, Any]) -> int | None:
        """Hand a job in, at the hosts in turn, until it is accepted; return the last status."""
        status = None
        for number in range(5):
            target = self.hosts[(self.hosts.index(host) + number) % len(self.hosts)]
            status = await self.ask(target, "POST", prefix + job, body)
            if status == 200:
                return status
            await asyncio.sleep(1.0)
        return status

    async def ask(
        self, host: Host, method: str, path: str, body: Any = None, timeout: float = 3.0
    ) -> int | None:
        found = await self.ask_fully(host, method, path, body, timeout)
        return None if found is None else found[0]

    async def ask_fully(
        self, host: Host, method: str, path: str, body: Any = None, timeout: float = 3.0
    ) -> tuple[int, Any] | None:
        headers = {"host": HOST_NAME, "x-deadline-ms": str(DEADLINE_MS)}
        self.log("sent", host=host.name, method=method, path=path)
        found = await call(host.front, method, path, headers, body, timeout)
        status, answer = found if found is not None else (None, None)
        self.log("answered", host=host.name, method=method, path=path, status=status, body=answer)
        return found

    def list_runs(self) -> list[Run]:
        return [run for runner in self.runners for run in runner.runs]

    async def close(self) -> None:
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            await host.kill()
        for runner in self.runners:
            await runner.stop()
        await self._advice.stop()
        await self.store.stop()
        self._record.close()


def find_double_runs(runs: list[Run]) -> tuple[list[str], list[str]]:
    """Return the tasks with two runs at one time, and those started after an end `done` that was
    taken note of, then or later."""
    by_task: dict[str, list[Run]] = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    overlapping, after_done = [], []
    for task, each in by_task.items():
        each.sort(key=lambda run: run.started_at)
        for index, first in enumerate(each):
            for second in each[index + 1 :]:
                if first.ended_at is None or second.started_at < first.ended_at:
                    overlapping.append(task)
                elif first.how == "done" and first.noted_at is not None:
                    after_done.append(task)
    return sorted(set(overlapping)), sorted(set(after_done))


def play(file: str, act: Callable[[Case], Awaitable[int]]) -> None:
    """Play a case and exit with its result."""

    async def run() -> int:
        folder = Path(file).resolve().parent
        with tempfile.TemporaryDirectory() as logs:
            case = Case(folder, Path(logs))
            try:
                async with asyncio.timeout(MOST_SECONDS):
                    result = await act(case)
            except (CannotRun, TimeoutError) as error:
                case.log("cannot run", error=repr(error))
                result = NOT_RUN
            finally:
                if os.environ.get("KEEP_LOGS"):
                    for path in Path(logs).glob("*.log"):
                        (Path(os.environ["KEEP_LOGS"]) / path.name).write_bytes(path.read_bytes())
                await asyncio.shield(case.close())
        print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[result])
        return result

    sys.exit(asyncio.run(run()))

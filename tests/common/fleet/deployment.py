"""Runs entry hosts with the stand-in platform, all in one process."""

from __future__ import annotations

import asyncio
import itertools
import json
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from lentilpath_core.ids import HostId, RegionId, ZoneId
from lentilpath_core.settings import Address
from lentilpath_http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    HttpServer,
    create_client,
    serve_http,
)
from lentilpath_platform.advice import open_advice
from lentilpath_platform.callers import make_callers_handler
from lentilpath_platform.registry import PlatformRegistry
from lentilpath_platform.store import open_table
from lentilpath_platform.workers import open_worker
from lentilpath_standins._free_ports import allocate_port
from lentilpathd.pool import AnswerProgress, PlatformPorts, PoolHost, PoolHostSettings
from tests.common.fleet.store import StandInStore, StoreFaults
from tests.common.fleet.workers import ObservedRun, StandInWorker, serve_advice
from tests.common.requests import wait_until
from tests.soak.proxies import Proxy

FINAL_STATES = ("completed", "failed", "cancelled")
QUEUE = {
    "name": "r-checks",
    "host": "127.0.0.1",
    "pathPrefix": "/checks/",
    "kind": "non_idempotent",
    "timeoutMs": 3_000,
    "targetLatencyMs": 500,
    "priority": 0,
    "service": "planner",
    "maxAttempts": 3,
    "slackFactor": 2.0,
}
CONFIG = {
    "version": 3,
    "routes": [QUEUE],
    "services": [{"name": "planner", "enforcesCapacity": False, "standby": False}],
    "limits": {},
}


@dataclass
class RunningHost:
    """One entry host of the deployment."""

    host: PoolHost
    faults: StoreFaults
    callers: HttpServer
    client: HttpClient
    task: asyncio.Task[None]

    async def kill(self) -> None:
        """Cancel the host's tasks without its graceful shutdown."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.callers.close(0.0)

    async def call(
        self, method: str, path: str, body: object = None, key: str | None = None
    ) -> HttpResponse:
        data = b"" if body is None else json.dumps(body).encode()
        headers: tuple[tuple[str, str], ...] = (("x-deadline-ms", "3000"),)
        if key is not None:
            headers += (("x-credential", key),)
        return await self.client.send(HttpRequest(method, path, headers, data), 5.0)


@dataclass
class Fleet:
    """The stand-ins, the entry hosts and the log of runs that the workers observed."""

    store: StandInStore
    advice: HttpServer
    workers: list[StandInWorker] = field(default_factory=list)
    hosts: list[RunningHost] = field(default_factory=list)
    proxies: list[Proxy] = field(default_factory=list)
    log: list[ObservedRun] = field(default_factory=list)
    numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    async def add_worker(self, run_seconds: float = 0.1) -> StandInWorker:
        name = f"w{len(self.workers)}"
        worker = StandInWorker(name, self.store, self.log, run_seconds)
        self.workers.append(worker)
        await worker.start()
        return worker

    async def add_host(
        self, cores: float = 1.0, faults: StoreFaults | None = None, bytes_per_second: int = 0
    ) -> RunningHost:
        """Start a host; `bytes_per_second` limits its connections to the table, 0 for no limit."""
        faults = faults or StoreFaults()
        port = await self.store.listen(faults)
        if bytes_per_second:
            proxy = Proxy("127.0.0.1", port, bytes_per_second=bytes_per_second)
            self.proxies.append(proxy)
            port = await proxy.open()
        name = f"h{len(self.hosts)}"
        callers_at, readiness, peers, metrics = [
            Address("127.0.0.1", allocate_port()) for _ in range(4)
        ]
        settings = PoolHostSettings(
            HostId(name),
            ZoneId("z1"),
            RegionId("r"),
            callers_at,
            readiness,
            peers,
            metrics,
            longest_lease_ms=6_000,
            stop_grace_ms=2_000,
            cores=cores,
        )
        progress = AnswerProgress()
        platform = PlatformPorts(
            open_table(Address("127.0.0.1", port), progress),
            PlatformRegistry,
            open_worker,
            open_advice(Address("127.0.0.1", self.advice.get_port())),
            progress=progress,
        )
        host = PoolHost(settings, platform)
        callers = await serve_http(make_callers_handler(host), "127.0.0.1", callers_at.port)
        task = asyncio.create_task(host.run())
        client = create_client("127.0.0.1", callers_at.port)
        running = RunningHost(host, faults, callers, client, task)
        self.hosts.append(running)
        return running

    def find_leader(self) -> RunningHost | None:
        for each in self.hosts:
            if not each.task.done() and each.host.is_leading():
                return each
        return None

    async def wait_for_leader(self) -> RunningHost:
        await wait_until(lambda: self.find_leader() is not None)
        leader = self.find_leader()
        assert leader is not None
        return leader

    async def submit(
        self, host: RunningHost, *steps: dict[str, object], job: str = ""
    ) -> tuple[str, int]:
        job = job or f"{next(self.numbers):016x}"
        body = {"spec": "run", "steps": list(steps) or [make_step()]}
        response = await host.call("POST", f"/checks/{job}", body)
        return job, response.status

    async def wait_for_end(self, host: RunningHost, job: str) -> str:
        state = ""
        async with asyncio.timeout(30.0):
            while state not in FINAL_STATES:
                await asyncio.sleep(0.05)
                state = await self.get_state(host, job)
        return state

    async def get_state(self, host: RunningHost, job: str) -> str:
        response = await host.call("GET", f"/checks/{job}")
        return str(json.loads(response.body)["state"]) if response.status == 200 else ""

    def check_observed_runs(self) -> None:
        """Check that no task was done twice or overlapped, and no worker was overcommitted."""
        runs: dict[str, list[ObservedRun]] = {}
        for run in self.log:
            runs.setdefault(run.task, []).append(run)
        for task, each in runs.items():
            assert sum(run.outcome == "done" for run in each) <= 1, task
            for first, second in itertools.combinations(each, 2):
                assert not _overlap(first, second), task
        for worker in self.workers:
            worker_runs = [run for run in self.log if run.worker == worker.name]
            for run in worker_runs:
                concurrent = sum(
                    other.started_at <= run.started_at < (other.ended_at or 1e18)
                    for other in worker_runs
                )
                assert concurrent * 1_000 <= worker.millicores


def _overlap(first: ObservedRun, second: ObservedRun) -> bool:
    return first.started_at < (second.ended_at or 1e18) and second.started_at < (
        first.ended_at or 1e18
    )


def make_step(count: int = 1, **rest: object) -> dict[str, object]:
    return {"count": count, "cpu": 1_000, "memMb": 64, "estRuntimeMs": 100, **rest}


@asynccontextmanager
async def run_fleet(hosts: int = 3, workers: int = 3, run_seconds: float = 0.1):
    """Yield a fleet that has a leader and whose hosts are all ready, and close it afterwards."""
    store = StandInStore()
    store.put("op", "", "config", json.dumps(CONFIG).encode())
    fleet = Fleet(store, await serve_advice())
    try:
        for _ in range(workers):
            await fleet.add_worker(run_seconds)
        for _ in range(hosts):
            await fleet.add_host()
        await fleet.wait_for_leader()
        # Callers are routed only to hosts that are ready, and hosts become so in any order.
        await wait_until(lambda: all(each.host.is_ready() for each in fleet.hosts))
        yield fleet
    finally:
        for host in fleet.hosts:
            if not host.task.done():
                await host.kill()
            host.client.close()
        for proxy in fleet.proxies:
            await proxy.close()
        for worker in fleet.workers:
            await worker.close()
        await fleet.advice.close(0.0)
        await store.close()

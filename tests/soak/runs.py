"""Plays one seed: starts the processes, injects the faults, and says what was broken."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from lentilpath_http import HttpClient, HttpError, HttpRequest, HttpServer, create_client
from tests.common.fleet.deployment import CONFIG, QUEUE
from tests.common.fleet.store import StandInStore, StoreFaults
from tests.common.fleet.workers import StandInWorker, TrueRun, serve_advice
from tests.soak.clients import Clients
from tests.soak.plans import FAULT_SECONDS, HOSTS, WORKERS, Fault, FaultKind, make_plan
from tests.soak.processes import READY_PORT, HostProcess, choose_addresses, make_settings
from tests.soak.promises import check_ends, check_planned_stops, check_runs, check_served
from tests.soak.proxies import Proxy

CLIENTS = 4
RUN_SECONDS = 0.3
READY_SECONDS = 30.0
SETTLE_SECONDS = 40.0
"""By when all accepted work is done after the last fault, also on a busy machine."""
RESTART_SECONDS = 0.3
DELAY_SECONDS = 0.15
LATE_SECONDS = 2.0
SLOW_SECONDS = 0.4
"""100 times the table's usual 4 ms."""

Undo = Callable[[], None]


@dataclass
class Soak:
    """The stand-ins, the hosts and the proxies between them."""

    seed: int
    directory: Path
    store: StandInStore = field(default_factory=StandInStore)
    advice: HttpServer | None = None
    log: list[TrueRun] = field(default_factory=list)
    hosts: list[HostProcess] = field(default_factory=list)
    table_faults: list[StoreFaults] = field(default_factory=list)
    table_ways: list[Proxy] = field(default_factory=list)
    workers: list[StandInWorker] = field(default_factory=list)
    worker_ways: list[Proxy] = field(default_factory=list)
    disturbed: dict[str, list[float]] = field(default_factory=dict)
    """When each host was struck by something other than a planned stop."""

    async def open(self) -> None:
        """Start everything and wait until each host takes callers."""
        addresses = choose_addresses(HOSTS, self.seed)
        # A client reaches a host by its address, so there is a queue for each.
        queues = [{**QUEUE, "name": f"r-{address}", "host": address} for address in addresses]
        configuration = {**CONFIG, "routes": queues}
        self.store.put("op", "", "config", json.dumps(configuration).encode())
        self.advice = await serve_advice()
        for number in range(WORKERS):
            await self._add_worker(number)
        for number, address in enumerate(addresses):
            await self._add_host(number, address)
        for host in self.hosts:
            await self._wait_until_ready(host)
            await self._wait_until(host.client, "/checks/")

    async def _add_worker(self, number: int) -> None:
        worker = StandInWorker(f"w{number}", self.store, self.log, RUN_SECONDS)
        await worker.start()
        assert worker.server is not None
        way = Proxy("127.0.0.1", worker.server.get_port())
        worker.address = f"127.0.0.1:{await way.open()}"
        worker.register()
        self.workers.append(worker)
        self.worker_ways.append(way)

    async def _add_host(self, number: int, address: str) -> None:
        faults = StoreFaults()
        way = Proxy("127.0.0.1", await self.store.listen(faults))
        name = f"h{number}"
        assert self.advice is not None
        settings = make_settings(name, address, await way.open(), self.advice.get_port())
        host = HostProcess(name, address, self.directory, settings)
        await host.start()
        self.hosts.append(host)
        self.table_faults.append(faults)
        self.table_ways.append(way)

    async def _wait_until_ready(self, host: HostProcess) -> None:
        client = create_client(host.address, READY_PORT)
        await self._wait_until(client, "/readyz")
        client.close()

    async def _wait_until(self, client: HttpClient, target: str) -> None:
        """Wait until a call is answered with 200."""
        async with asyncio.timeout(READY_SECONDS):
            while True:
                with suppress(HttpError):
                    if (await client.send(HttpRequest("GET", target), 1.0)).status == 200:
                        return
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        """End what this run has started."""
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            await host.kill()
            host.client.close()
        for way in (*self.table_ways, *self.worker_ways):
            await way.close()
        for worker in self.workers:
            await worker.close()
        if self.advice is not None:
            await self.advice.close(0.0)
        await self.store.close()

    async def play(self) -> list[str]:
        """Let clients work while the plan's faults strike; return what was broken."""
        clients = Clients(self.hosts, random.Random(self.seed))
        end = time.monotonic() + FAULT_SECONDS
        async with asyncio.TaskGroup() as group:
            for _ in range(CLIENTS):
                group.create_task(clients.submit_until(end))
            for fault in make_plan(self.seed):
                group.create_task(self._strike(fault))
        for host in self.hosts:
            await self._wait_until_ready(host)
        await self._settle(clients)
        return [
            *clients.problems,
            *check_served(clients.jobs),
            *check_runs(clients.jobs, self.log, self.workers),
            *check_ends(clients.jobs),
            *check_planned_stops(self.hosts, clients.cut_calls, self.disturbed),
        ]

    async def _settle(self, clients: Clients) -> None:
        """Ask for each accepted job until it is over."""
        end = time.monotonic() + SETTLE_SECONDS
        open_jobs = [job for job in clients.jobs if job.accepted_at is not None]
        while open_jobs and time.monotonic() < end:
            for job in open_jobs:
                await clients.look_at(job, clients.choices.choice(self.hosts))
            open_jobs = [job for job in open_jobs if job.state not in ("completed", "cancelled")]
            await asyncio.sleep(0.1)

    async def _strike(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_seconds)
        async with asyncio.TaskGroup() as group:
            for target in fault.targets:
                group.create_task(self._strike_one(fault, target))

    async def _strike_one(self, fault: Fault, target: int) -> None:
        if fault.kind in (FaultKind.KILL, FaultKind.TERMINATE):
            await self._end_host(fault, self.hosts[target])
            return
        if not fault.strikes_worker:
            self._note_disturbance(self.hosts[target])
        undo = self._begin(fault.kind, target)
        await asyncio.sleep(fault.for_seconds)
        undo()
        if not fault.strikes_worker:
            self._note_disturbance(self.hosts[target])

    def _note_disturbance(self, host: HostProcess) -> None:
        self.disturbed.setdefault(host.name, []).append(time.monotonic())

    async def _end_host(self, fault: Fault, host: HostProcess) -> None:
        if host.is_ending:
            return
        if fault.kind is FaultKind.KILL:
            self._note_disturbance(host)
            await host.kill()
        else:
            await host.terminate()
        await asyncio.sleep(RESTART_SECONDS)
        host.is_ending = False
        await host.start()

    def _begin(self, kind: FaultKind, target: int) -> Undo:
        """Begin a fault and return how it ends."""
        if kind in (FaultKind.PAUSE, FaultKind.HANG_UP):
            return self._signal(kind, self.hosts[target])
        if kind.value.startswith("table-"):
            return _harm_table(kind, self.table_ways[target], self.table_faults[target])
        worker, way = self.workers[target], self.worker_ways[target]
        if kind is FaultKind.WORKER_REBORN:
            worker.restart()
            return _do_nothing
        if kind is FaultKind.WORKER_LOSES_ANSWERS:
            worker.loses_answers = 5
            return partial(setattr, worker, "loses_answers", 0)
        return _harm_way(kind.value.removeprefix("worker-"), way)

    def _signal(self, kind: FaultKind, host: HostProcess) -> Undo:
        if kind is FaultKind.HANG_UP:
            host.signal(signal.SIGHUP)
            return _do_nothing
        host.signal(signal.SIGSTOP)
        return partial(host.signal, signal.SIGCONT)


def _do_nothing() -> None:
    return None


def _harm_table(kind: FaultKind, way: Proxy, faults: StoreFaults) -> Undo:
    flags: dict[FaultKind, tuple[str, object, object]] = {
        FaultKind.TABLE_REFUSES: ("refuses", True, False),
        FaultKind.TABLE_BUSY: ("is_busy", True, False),
        FaultKind.TABLE_SLOW: ("slow_seconds", SLOW_SECONDS, 0.0),
        FaultKind.TABLE_LOSES_ANSWERS: ("loses_answers", 20, 0),
        FaultKind.TABLE_LATE: ("late_seconds", LATE_SECONDS, 0.0),
        FaultKind.TABLE_FORGETS: ("forgets", True, False),
    }
    if kind in flags:
        name, begin, end = flags[kind]
        setattr(faults, name, begin)
        return partial(setattr, faults, name, end)
    return _harm_way(kind.value.removeprefix("table-"), way)


def _harm_way(how: str, way: Proxy) -> Undo:
    if how == "reset":
        way.reset()
        return _do_nothing
    if how == "silenced":
        way.silence()
        return _do_nothing
    if how == "delayed":
        way.delay_seconds = DELAY_SECONDS
    elif how == "cut-there":
        way.there.clear()
    else:
        way.back.clear()
    return way.heal


async def play_seed(seed: int, directory: Path) -> list[str]:
    """Play one seed and return what was broken; logs and settings stay in `directory`."""
    soak = Soak(seed, directory)
    try:
        await soak.open()
        return await soak.play()
    finally:
        await soak.close()

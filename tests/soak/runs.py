"""Runs one seed: starts the processes, injects the faults and returns violated guarantees."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path

from lentilpath_http import HttpClient, HttpError, HttpRequest, HttpServer, create_client
from lentilpathd._pool._records import (
    LEASE_KEY,
    POOL_PARTITION,
    POOL_TABLE,
    LeaseRow,
    decode_record,
)
from tests.common.fleet.deployment import CONFIG, FINAL_STATES, QUEUE
from tests.common.fleet.store import StandInStore, StoreFaults
from tests.common.fleet.workers import ObservedRun, StandInWorker, serve_advice
from tests.common.late_writes import LateWrites
from tests.soak.clients import Clients
from tests.soak.customers import Customers
from tests.soak.cuts import CUT_PHASE_SECONDS, LeaderCut, PeerLinks, cut_leader, make_leader_cut
from tests.soak.plans import (
    FAULT_PHASE_SECONDS,
    HOSTS,
    WORKER_MILLICORES,
    WORKERS,
    CapacityChange,
    CustomerPlan,
    Fault,
    FaultKind,
    WorkerPlan,
    make_customer_plan,
    make_plan,
    make_worker_plan,
)
from tests.soak.processes import (
    READY_PORT,
    HostProcess,
    check_hosts,
    choose_addresses,
    make_settings,
    read_leaderships,
)
from tests.soak.promises import (
    check_accepted_count,
    check_final_states,
    check_leaders,
    check_planned_stops,
    check_runs,
)
from tests.soak.proxies import Proxy

CLIENTS = 4
TASK_SECONDS = 0.3
READY_TIMEOUT_SECONDS = 30.0
COMPLETION_TIMEOUT_SECONDS = 40.0
"""Time for all accepted jobs to end after the last fault, also on a busy machine."""
WATCH_INTERVAL_SECONDS = 0.1
RESTART_SECONDS = 0.3
PROXY_DELAY_SECONDS = 0.15
LOST_SHARE = 1.0
"""Share of the writes that get no response in the spells in which a late table loses them."""
ADDED_LATENCY_SECONDS = 0.4
"""100 times the table's usual latency of 4 ms."""

Undo = Callable[[], None]


@dataclass
class Soak:
    """One run: the stand-ins, the entry hosts and the proxies between them."""

    seed: int
    directory: Path
    worker_plan: WorkerPlan = field(default_factory=WorkerPlan)
    customer_plan: CustomerPlan = field(default_factory=CustomerPlan)
    leader_cut: LeaderCut | None = None
    """Cuts the leader off; no other faults of the seed are injected beside it."""
    loses_renewals: bool = False
    """Writes of the leader get no answer and are done late; no other faults are injected."""
    store: StandInStore = field(default_factory=StandInStore)
    advice: HttpServer | None = None
    log: list[ObservedRun] = field(default_factory=list)
    hosts: list[HostProcess] = field(default_factory=list)
    table_faults: list[StoreFaults] = field(default_factory=list)
    table_proxies: list[Proxy] = field(default_factory=list)
    workers: list[StandInWorker] = field(default_factory=list)
    worker_proxies: list[Proxy] = field(default_factory=list)
    peer_links: PeerLinks = field(default_factory=PeerLinks)
    customers: Customers = field(init=False)
    late_writes: LateWrites = field(init=False)
    disturbances: dict[str, list[float]] = field(default_factory=dict)
    """Times at which faults other than planned stops began or ended, by host; and those at which
    faults that delay commands did, by worker."""

    def __post_init__(self) -> None:
        self.late_writes = LateWrites(random.Random(f"{self.seed}-late-writes"), LOST_SHARE)

    async def open(self) -> None:
        """Start everything and wait until each host accepts requests."""
        addresses = choose_addresses(HOSTS, self.seed)
        # Clients reach a host by its address, so each address needs its own queue.
        queues = [{**QUEUE, "name": f"r-{address}", "host": address} for address in addresses]
        configuration = {**CONFIG, "routes": queues}
        self.customers = Customers(self.store, self.customer_plan, configuration)
        self.customers.begin()
        self.advice = await serve_advice()
        for number in range(WORKERS):
            await self._add_worker(number)
        if self.leader_cut is not None:
            await self.peer_links.open(addresses)
        for number, address in enumerate(addresses):
            await self._add_host(number, address)
        for host in self.hosts:
            await self._wait_until_ready(host)
            await self._wait_until(host.client, "/checks/", self.customers.keys[:1])

    async def _add_worker(self, number: int) -> None:
        worker = StandInWorker(
            f"w{number}", self.store, self.log, TASK_SECONDS, millicores=WORKER_MILLICORES
        )
        await worker.start()
        assert worker.server is not None
        proxy = Proxy("127.0.0.1", worker.server.get_port())
        worker.address = f"127.0.0.1:{await proxy.open()}"
        worker.register()
        self.workers.append(worker)
        self.worker_proxies.append(proxy)

    async def _add_host(self, number: int, address: str) -> None:
        faults = StoreFaults()
        proxy = Proxy("127.0.0.1", await self.store.listen(faults))
        name = f"h{number}"
        assert self.advice is not None
        settings = make_settings(name, address, await proxy.open(), self.advice.get_port())
        proxies = self.peer_links.list_proxies(address)
        host = HostProcess(name, address, self.directory, settings, proxies)
        await host.start()
        self.hosts.append(host)
        self.table_faults.append(faults)
        self.table_proxies.append(proxy)

    async def _wait_until_ready(self, host: HostProcess) -> None:
        client = create_client(host.address, READY_PORT)
        await self._wait_until(client, "/readyz")
        client.close()

    async def _wait_until(self, client: HttpClient, target: str, keys: Iterable[str] = ()) -> None:
        """Wait until a call, with one of the `keys` if there is any, returns status 200."""
        headers = tuple(("x-credential", key) for key in keys)
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while True:
                with suppress(HttpError):
                    if (await client.send(HttpRequest("GET", target, headers), 1.0)).status == 200:
                        return
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Stop everything that this run has started."""
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            await host.kill()
            host.client.close()
        for proxy in (*self.table_proxies, *self.worker_proxies):
            await proxy.close()
        await self.peer_links.close()
        for worker in self.workers:
            await worker.close()
        if self.advice is not None:
            await self.advice.close(0.0)
        await self.store.close()

    async def run(self) -> list[str]:
        """Run the clients while the plan's faults are injected; return the violated guarantees."""
        clients = Clients(self.hosts, random.Random(self.seed), keys=self.customers.keys)
        clients.customer_rng.seed(f"{self.seed}-jobs-of-customers")
        is_planned = self.leader_cut is None and not self.loses_renewals
        end = time.monotonic() + (FAULT_PHASE_SECONDS if is_planned else CUT_PHASE_SECONDS)
        async with asyncio.TaskGroup() as group:
            for _ in range(CLIENTS):
                group.create_task(clients.submit_until(end))
            if self.leader_cut is not None:
                group.create_task(self._cut_leader(self.leader_cut))
            if self.loses_renewals:
                group.create_task(self._lose_renewals(end))
            for fault in make_plan(self.seed) if is_planned else ():
                group.create_task(self._inject_fault(fault))
            for change in self.worker_plan.capacity_changes:
                group.create_task(self._change_capacity(change))
            # A generator of their own leaves the other jobs of the seed as they are.
            rng = random.Random(f"{self.seed}-crashing-jobs")
            for at_seconds in self.worker_plan.crashing_jobs:
                group.create_task(replace(clients, rng=rng).submit_crashing_job(at_seconds))
            group.create_task(self.customers.revoke_key())
            group.create_task(self.customers.change_quotas())
            group.create_task(self._watch_hosts(end))
        for host in self.hosts:
            await self._wait_until_ready(host)
        await self._wait_until_jobs_end(clients)
        check_hosts(self.hosts)
        still_accepted = await self.customers.check_revoked_keys(clients)
        return [
            *clients.problems,
            *still_accepted,
            *self.customers.check_quotas(clients.jobs, self.log),
            *check_accepted_count(clients.jobs),
            *check_runs(clients.jobs, self.log, self.workers, self.disturbances),
            *check_final_states(clients.jobs),
            *check_planned_stops(self.hosts, clients.unanswered_calls, self.disturbances),
            *check_leaders(read_leaderships(self.hosts)),
        ]

    async def _lose_renewals(self, end: float) -> None:
        """Lose the answers to the leader's writes until the given time; jobs are still stored."""
        for faults in self.table_faults:
            faults.lost_table, faults.late_writes = POOL_TABLE, self.late_writes
        await asyncio.sleep(end - time.monotonic())
        self.late_writes.is_over = True

    async def _cut_leader(self, cut: LeaderCut) -> None:
        await asyncio.sleep(cut.at_seconds)
        value, _ = self.store.rows[POOL_TABLE, POOL_PARTITION, LEASE_KEY]
        lease = decode_record(value, LeaseRow)
        index = next(n for n, host in enumerate(self.hosts) if host.name == lease.host)
        leader = self.hosts[index]
        self._record_disturbance(leader)
        await cut_leader(cut, leader, self.table_proxies[index], self.peer_links, self.workers)
        self._record_disturbance(leader)

    async def _watch_hosts(self, end: float) -> None:
        """Notice hosts that exit by themselves, until the given time."""
        while time.monotonic() < end:
            check_hosts(self.hosts)
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)

    async def _wait_until_jobs_end(self, clients: Clients) -> None:
        """Query all accepted jobs until they have ended or the timeout has passed."""
        deadline = time.monotonic() + COMPLETION_TIMEOUT_SECONDS
        open_jobs = [job for job in clients.jobs if job.accepted_at is not None]
        while open_jobs and time.monotonic() < deadline:
            for job in open_jobs:
                await clients.read_state(job, clients.rng.choice(self.hosts))
            open_jobs = [job for job in open_jobs if job.state not in FINAL_STATES]
            await asyncio.sleep(0.1)

    async def _change_capacity(self, change: CapacityChange) -> None:
        worker = self.workers[change.worker]
        for delay_seconds, millicores in (
            (change.at_seconds, change.millicores),
            (change.duration_seconds, worker.millicores),
        ):
            await asyncio.sleep(delay_seconds)
            worker.set_capacity(millicores)
            await asyncio.sleep(change.heartbeat_seconds)
            worker.register()

    async def _inject_fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_seconds)
        async with asyncio.TaskGroup() as group:
            for target in fault.targets:
                group.create_task(self._inject_into_target(fault, target))

    async def _inject_into_target(self, fault: Fault, target: int) -> None:
        if fault.kind in (FaultKind.KILL, FaultKind.TERMINATE):
            await self._end_host(fault, self.hosts[target])
            return
        disturbed = self.workers[target] if fault.targets_worker else self.hosts[target]
        is_recorded = fault.delays_commands or not fault.targets_worker
        if is_recorded:
            self._record_disturbance(disturbed)
        undo = self._begin_fault(fault.kind, target)
        await asyncio.sleep(fault.duration_seconds)
        undo()
        if is_recorded:
            self._record_disturbance(disturbed)

    def _record_disturbance(self, target: HostProcess | StandInWorker) -> None:
        self.disturbances.setdefault(target.name, []).append(time.monotonic())

    async def _end_host(self, fault: Fault, host: HostProcess) -> None:
        if host.expects_exit:
            return
        if fault.kind is FaultKind.KILL:
            self._record_disturbance(host)
            await host.kill()
        else:
            await host.terminate()
        await asyncio.sleep(RESTART_SECONDS)
        await host.start()
        host.expects_exit = False

    def _begin_fault(self, kind: FaultKind, target: int) -> Undo:
        """Begin a fault and return the function that ends it."""
        if kind in (FaultKind.PAUSE, FaultKind.HANG_UP):
            return self._signal_host(kind, self.hosts[target])
        if kind.value.startswith("table-"):
            faults = self.table_faults[target]
            return _inject_table_fault(kind, self.table_proxies[target], faults, self.late_writes)
        worker, proxy = self.workers[target], self.worker_proxies[target]
        if kind is FaultKind.WORKER_REBORN:
            worker.restart()
            return _do_nothing
        if kind is FaultKind.WORKER_LOSES_ANSWERS:
            worker.lost_responses = 5
            return partial(setattr, worker, "lost_responses", 0)
        return _inject_proxy_fault(kind.value.removeprefix("worker-"), proxy)

    def _signal_host(self, kind: FaultKind, host: HostProcess) -> Undo:
        if kind is FaultKind.HANG_UP:
            host.signal(signal.SIGHUP)
            return _do_nothing
        host.signal(signal.SIGSTOP)
        return partial(host.signal, signal.SIGCONT)


def _do_nothing() -> None:
    return None


def _inject_table_fault(
    kind: FaultKind, proxy: Proxy, faults: StoreFaults, late_writes: LateWrites
) -> Undo:
    flags: dict[FaultKind, tuple[str, object, object]] = {
        FaultKind.TABLE_REFUSES: ("is_unavailable", True, False),
        FaultKind.TABLE_BUSY: ("is_busy", True, False),
        FaultKind.TABLE_SLOW: ("added_latency_seconds", ADDED_LATENCY_SECONDS, 0.0),
        FaultKind.TABLE_LOSES_ANSWERS: ("lost_responses", 20, 0),
        FaultKind.TABLE_LATE: ("late_writes", late_writes, None),
        FaultKind.TABLE_FORGETS: ("history_lost", True, False),
    }
    if kind in flags:
        name, begin, end = flags[kind]
        setattr(faults, name, begin)
        return partial(setattr, faults, name, end)
    return _inject_proxy_fault(kind.value.removeprefix("table-"), proxy)


def _inject_proxy_fault(fault: str, proxy: Proxy) -> Undo:
    if fault == "reset":
        proxy.reset()
        return _do_nothing
    if fault == "silenced":
        proxy.blackhole_open_connections()
        return _do_nothing
    if fault == "delayed":
        proxy.delay_seconds = PROXY_DELAY_SECONDS
    elif fault == "cut-there":
        proxy.to_server_open.clear()
    else:
        proxy.to_client_open.clear()
    return proxy.heal


async def run_leader_cut(seed: int, directory: Path) -> list[str]:
    """Cut the leader off with some of the workers as the seed says; return the violations."""
    soak = Soak(seed, directory, leader_cut=make_leader_cut(seed))
    try:
        await soak.open()
        return await soak.run()
    finally:
        await soak.close()


async def run_lost_renewals(seed: int, directory: Path) -> list[str]:
    """Lose the answers to writes of the leader as the seed says; return the violations."""
    soak = Soak(seed, directory, loses_renewals=True)
    try:
        await soak.open()
        return await soak.run()
    finally:
        await soak.close()


async def run_seed(seed: int, directory: Path, *, disrupts_workers: bool = True) -> list[str]:
    """Run one seed and return the violations; logs and settings are kept in `directory`.

    Without `disrupts_workers`, no job crashes a worker, no worker's capacity changes and there are
    no customers.
    """
    if disrupts_workers:
        soak = Soak(seed, directory, make_worker_plan(seed), make_customer_plan(seed))
    else:
        soak = Soak(seed, directory)
    try:
        await soak.open()
        return await soak.run()
    finally:
        await soak.close()

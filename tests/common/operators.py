# mypy: no-check-untyped-defs
"""Runs the operator API of a cell's entry hosts in one process.

The table and the object store are in memory, zones apply commands at once, and peer requests are
passed directly to the other host's handler.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import msgspec

from lentilpath_core.errors import (
    LentilpathError,
    PeerUnavailable,
)
from lentilpath_core.ids import HostId, Incarnation, WallTime, ZoneId
from lentilpath_core.peers import PeerReply, PeerRequest
from lentilpath_core.placement import TaskFound, WorkerOffered, apply_event, create_placement
from lentilpath_core.resources import Resources
from lentilpath_core.settings import Address, HostSettings, PeerSettings
from lentilpath_core.states import AttemptOutcome, WorkerState
from lentilpath_core.workloads import JobSpec, WorkloadKind
from lentilpath_core.zone.inbox import StopJob, SubmitJob, decode_entry, get_inbox_prefix
from lentilpath_core.zone.journal import (
    AttemptEnded,
    AttemptStarting,
    CommandAnswered,
    JobAccepted,
    JobCancelled,
    JournalBatch,
    WorkerJoined,
    decode_batch,
    encode_batch,
    get_batch_key,
    get_journal_prefix,
)
from lentilpath_core.zone.state import apply_batch, create_zone_state
from lentilpath_http import HttpRequest
from lentilpathd._context import DaemonContext
from lentilpathd._directory import Directory
from lentilpathd._operators import create_operators
from lentilpathd._ports import HostKind, ListedHost
from lentilpathd._zone._snapshots import get_archive_prefix
from tests.common.platform import MemoryObjects, MemoryTable

NOW = WallTime(1_796_100_000_000)


class DirectBus:
    """Passes requests directly to the other host's handler after an encoding round trip."""

    def __init__(self, cell, host, zone):
        self.cell = cell
        self.host = host
        self.zone = zone
        self.incarnation = Incarnation(f"{host}-1")
        self.handlers = {}

    def set_peers(self, peers):
        pass

    def handle(self, topic, handler):
        self.handlers[topic] = handler

    async def ask(self, host, topic, message, answer, timeout):
        if host in self.cell.cut or self.host in self.cell.cut or host not in self.cell.buses:
            raise PeerUnavailable(f"{host} did not answer")
        body = msgspec.msgpack.decode(msgspec.msgpack.encode(msgspec.to_builtins(message)))
        request = PeerRequest(1, self.host, self.incarnation, self.zone, topic, body)
        self.count_bytes(host, request)
        handler = self.cell.buses[host].handlers.get(topic)
        if handler is None:
            failure = LentilpathError(f"no topic {topic}")
            failure.code = "unknown-topic"
            raise failure
        try:
            reply = msgspec.to_builtins(await handler(request))
        except LentilpathError as error:
            failure = LentilpathError(str(error))
            failure.code = error.code
            raise failure from error
        self.count_bytes(host, PeerReply(1, host, self.incarnation, "ok", reply))
        return msgspec.convert(msgspec.msgpack.decode(msgspec.msgpack.encode(reply)), answer)

    def count_bytes(self, host, message):
        link = (self.zone, self.cell.buses[host].zone)
        self.cell.traffic[link] += len(msgspec.msgpack.encode(message))


class ImmediateZone:
    """A zone's driver that journals its inbox commands when woken and starts no tasks."""

    def __init__(self, cell, zone):
        self.cell = cell
        self.state = create_zone_state(ZoneId(zone))
        self.leading = True
        self.placement = create_placement()

    def offer_worker(self, millicores):
        room = Resources(millicores, 65_536)
        worker = WorkerOffered(f"{self.state.zone}-w", "rack", room, WorkerState.ACTIVE)
        apply_event(self.placement, worker, 0)

    def add_running_task(self, job):
        spec = JobSpec(job, "t", "c", WorkloadKind.BATCH, 1, Resources(3_000, 1_024))
        found = TaskFound(spec, f"{job}/0", 1, f"{self.state.zone}-w")
        apply_event(self.placement, found, 0)

    def get_state(self):
        return self.state if self.leading else None

    def get_placement(self):
        return self.placement if self.leading else None

    def get_answer(self, command):
        return self.state.answers.get(command)

    def wake(self):
        rows = self.cell.table.rows
        prefix = get_inbox_prefix(self.state.zone)
        for key in sorted(key for key in rows if key.startswith(prefix)):
            entry = decode_entry(rows.pop(key).value)
            self.journal(*self._answer_command(entry))

    def journal(self, *events):
        batch = JournalBatch(self.state.zone, self.state.sequence + 1, 1, "w", tuple(events))
        self.cell.table.put(get_batch_key(batch.zone, batch.sequence), encode_batch(batch))
        apply_batch(self.state, batch)

    def archive(self, last):
        """Move all batches up to number `last` into one archive object, as a leader does."""
        prefix = get_journal_prefix(self.state.zone)
        keys = sorted(key for key in self.cell.table.rows if key.startswith(prefix))
        moved = [key for key in keys if key <= get_batch_key(self.state.zone, last)]
        batches = [decode_batch(self.cell.table.rows.pop(key).value) for key in moved]
        key = f"{get_archive_prefix(self.state.zone)}{batches[0].sequence:012d}-{last:012d}"
        self.cell.objects.objects[key] = msgspec.msgpack.encode(batches)

    def run_attempt(self, task, attempt, started_at, ended_at, outcome=AttemptOutcome.SUCCEEDED):
        self.journal(AttemptStarting(task, attempt, "w-1", started_at - 5, "first fit"))
        self.journal(AttemptEnded(task, attempt, "w-1", outcome, started_at, ended_at, 10, 20))

    def _answer_command(self, entry):
        if isinstance(entry.body, SubmitJob):
            yield JobAccepted(entry.body.spec, entry.accepted_at, entry.accepted_by)
        if isinstance(entry.body, StopJob):
            yield JobCancelled(entry.body.job, entry.accepted_at, entry.operator)
        yield CommandAnswered(entry.command, entry.accepted_at, "ok", "")


@dataclass
class Host:
    context: DaemonContext
    operators: object
    zone: ImmediateZone

    async def post(self, path, value, headers=(), method="POST"):
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        request = HttpRequest(method, path, tuple(headers), body)
        response = await self.operators.api.handle(request)
        return response.status, json.loads(response.body)

    async def run(self, command, **fields):
        return await self.post("/v1/commands", {"command": command, **fields})


@dataclass
class Cell:
    table: MemoryTable = field(default_factory=MemoryTable)
    objects: MemoryObjects = field(default_factory=MemoryObjects)
    buses: dict[str, Any] = field(default_factory=dict)
    cut: set[str] = field(default_factory=set)
    traffic: Counter[tuple[str, str]] = field(default_factory=Counter)
    hosts: dict[str, Any] = field(default_factory=dict)

    async def list_hosts(self, timeout):
        address = Address("127.0.0.1", 1)
        return tuple(
            ListedHost(
                f"w-{number}",
                HostKind.WORKER,
                f"region-{zone}",
                zone,
                "rack-1",
                address,
                False,
                capacity=Resources(32_000, 131_072, 1),
            )
            for number, zone in enumerate(self.list_zones(), 1)
        )

    def list_zones(self):
        return sorted({host.context.settings.zone for host in self.hosts.values()})


async def create_cell(zones=("za", "zb"), hosts_per_zone=1):
    """Return a cell in which the first host of each zone is the zone's leader."""
    cell = Cell()
    address = Address("127.0.0.1", 1)
    peers = tuple(
        PeerSettings(HostId(f"{zone}-{number}"), f"region-{zone}", ZoneId(zone), address)
        for zone in zones
        for number in range(hosts_per_zone)
    )
    leaders = {peer.zone: peer.host for peer in reversed(peers)}
    leadership = SimpleNamespace(get_leader=leaders.get, get_authority=lambda: None)
    for peer in peers:
        settings = HostSettings(
            peer.host,
            peer.region,
            peer.zone,
            address,
            address,
            address,
            address,
            tuple(other for other in peers if other != peer),
        )
        bus = DirectBus(cell, peer.host, peer.zone)
        cell.buses[peer.host] = bus
        directory = Directory(settings, bus, cell)
        context = DaemonContext(settings, bus.incarnation, bus, cell.table, cell.objects, directory)
        zone = ImmediateZone(cell, peer.zone)
        zone.leading = leaders[peer.zone] == peer.host
        operators = create_operators(context, leadership, zone)
        cell.hosts[peer.host] = Host(context, operators, zone)
    for number, host in enumerate(cell.hosts.values(), 1):
        await host.context.directory._refresh()
        await host.operators.configuration.refresh()
        if host.zone.leading:
            host.zone.journal(WorkerJoined(f"w-{number}", "boot-1", NOW))
    return cell

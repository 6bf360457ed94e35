"""A deployment file and the hosts that it names."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from ipaddress import ip_address
from pathlib import Path
from typing import TypeVar

from lentilpath_core.errors import InvalidSettings
from lentilpath_core.resources import Resources
from lentilpath_core.settings import Address, HostSettings, parse_document, parse_settings
from lentilpath_standins._free_ports import take_free_port

PORT_STEP = 50
MAX_SHIFTED_PORT = 25_999

T = TypeVar("T", HostSettings, "WorkerHost", "RunnerHost")
AddressMap = Callable[[Address], Address]


@dataclass(frozen=True, slots=True)
class WorkerGroup:
    """Workers of one rack; their IP numbers follow each other."""

    count: int
    rack: str
    first_address: Address
    capacity: Resources


@dataclass(frozen=True, slots=True)
class RunnerGroup:
    """Runners of one zone; their IP numbers follow each other."""

    count: int
    first_address: Address
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """One availability zone of a deployment file."""

    zone: str
    region: str
    entry_hosts: tuple[str, ...]
    """Settings files, relative to the deployment file."""
    workers: WorkerGroup
    runners: RunnerGroup


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """A deployment file."""

    name: str
    service: str
    platform: Address
    zones: tuple[ZonePlan, ...]


@dataclass(frozen=True, slots=True)
class WorkerHost:
    """One worker."""

    name: str
    zone: str
    region: str
    rack: str
    address: Address
    capacity: Resources


@dataclass(frozen=True, slots=True)
class RunnerHost:
    """One runner."""

    name: str
    zone: str
    region: str
    address: Address
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Cell:
    """All hosts of a deployment."""

    name: str
    service: str
    platform: Address
    entry_hosts: tuple[HostSettings, ...]
    """Each reaches the platform on an address of its own, so that each can be cut off alone."""
    workers: tuple[WorkerHost, ...]
    runners: tuple[RunnerHost, ...]


def read_cell(file: Path) -> Cell:
    """Return the cell that a deployment file describes; raises `InvalidSettings`."""
    plan = parse_document(file.read_text(), str(file), DeploymentPlan)
    if not plan.zones:
        raise InvalidSettings(f"{file}: zones is empty; name at least one")
    entry_hosts = tuple(
        parse_settings((file.parent / name).read_text(), str(file.parent / name))
        for zone in plan.zones
        for name in zone.entry_hosts
    )
    workers = tuple(worker for zone in plan.zones for worker in _list_workers(zone))
    runners = tuple(runner for zone in plan.zones for runner in _list_runners(zone, plan.service))
    cell = Cell(plan.name, plan.service, plan.platform, entry_hosts, workers, runners)
    return _give_each_its_platform_address(cell)


def keep_zones(cell: Cell, count: int) -> Cell:
    """Return `cell` with its first `count` zones only."""
    zones = tuple(dict.fromkeys(host.zone for host in cell.entry_hosts))[:count]
    return replace(
        cell,
        entry_hosts=tuple(
            replace(host, entry_hosts=tuple(p for p in host.entry_hosts if p.zone in zones))
            for host in cell.entry_hosts
            if host.zone in zones
        ),
        workers=tuple(worker for worker in cell.workers if worker.zone in zones),
        runners=tuple(runner for runner in cell.runners if runner.zone in zones),
    )


def reduce_cell(cell: Cell, entry_hosts: int, workers: int, runners: int) -> Cell:
    """Return `cell` with at most this many hosts of each kind in each zone."""
    kept_hosts = tuple(
        host for host, place in _count_by_zone(cell.entry_hosts) if place < entry_hosts
    )
    kept_names = {host.host for host in kept_hosts}
    return replace(
        cell,
        entry_hosts=tuple(
            replace(
                host,
                entry_hosts=tuple(peer for peer in host.entry_hosts if peer.host in kept_names),
            )
            for host in kept_hosts
        ),
        workers=tuple(host for host, place in _count_by_zone(cell.workers) if place < workers),
        runners=tuple(host for host, place in _count_by_zone(cell.runners) if place < runners),
    )


def move_cell(cell: Cell, move: AddressMap) -> Cell:
    """Return `cell` with each address replaced by what `move` gives for it."""
    return replace(
        cell,
        platform=move(cell.platform),
        entry_hosts=tuple(
            replace(
                host,
                callers=move(host.callers),
                operators=move(host.operators),
                peers=move(host.peers),
                platform=move(host.platform),
                entry_hosts=tuple(
                    replace(peer, address=move(peer.address)) for peer in host.entry_hosts
                ),
            )
            for host in cell.entry_hosts
        ),
        workers=tuple(replace(host, address=move(host.address)) for host in cell.workers),
        runners=tuple(replace(host, address=move(host.address)) for host in cell.runners),
    )


def move_to_free_ports(cell: Cell) -> Cell:
    """Return `cell` with ports raised by the first step at which all of them are free."""
    for step in range(0, MAX_SHIFTED_PORT, PORT_STEP):

        def raise_port(address: Address, step: int = step) -> Address:
            return Address(address.host, address.port + step)

        moved = move_cell(cell, raise_port)
        addresses = tuple(list_addresses(moved))
        if max(address.port for address in addresses) > MAX_SHIFTED_PORT:
            break
        if all(_is_free(address) for address in addresses):
            return moved
    raise InvalidSettings(
        f"{cell.name}: no free ports up to {MAX_SHIFTED_PORT}; end what listens there"
    )


def move_to_loopback(cell: Cell) -> Cell:
    """Return `cell` with every address on 127.0.0.1, each on a port that is free now."""
    moved: dict[Address, Address] = {}

    def take(address: Address) -> Address:
        if address not in moved:
            moved[address] = Address("127.0.0.1", take_free_port())
        return moved[address]

    return move_cell(cell, take)


def list_addresses(cell: Cell) -> Iterator[Address]:
    """Return all addresses that the cell's processes listen on."""
    yield cell.platform
    for host in cell.entry_hosts:
        yield from (host.callers, host.operators, host.peers, host.platform)
    for worker in cell.workers:
        yield worker.address
    for runner in cell.runners:
        yield runner.address


def _list_workers(zone: ZonePlan) -> Iterator[WorkerHost]:
    group = zone.workers
    for index in range(group.count):
        name = f"{zone.zone}-worker-{index + 1}"
        address = _step_address(group.first_address, index)
        yield WorkerHost(name, zone.zone, zone.region, group.rack, address, group.capacity)


def _list_runners(zone: ZonePlan, service: str) -> Iterator[RunnerHost]:
    group = zone.runners
    for index in range(group.count):
        name = f"{zone.zone}-{service}-{index + 1}"
        address = _step_address(group.first_address, index)
        yield RunnerHost(name, zone.zone, zone.region, address, group.slots, group.connections)


def _step_address(address: Address, index: int) -> Address:
    return Address(str(ip_address(address.host) + index), address.port)


def _give_each_its_platform_address(cell: Cell) -> Cell:
    hosts = tuple(
        replace(host, platform=Address(host.platform.host, host.platform.port + 1 + index))
        for index, host in enumerate(cell.entry_hosts)
    )
    return replace(cell, entry_hosts=hosts)


def _count_by_zone(hosts: tuple[T, ...]) -> Iterator[tuple[T, int]]:
    seen: dict[str, int] = {}
    for host in hosts:
        place = seen.get(host.zone, 0)
        seen[host.zone] = place + 1
        yield host, place


def _is_free(address: Address) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((address.host, address.port))
        except OSError:
            return False
    return True

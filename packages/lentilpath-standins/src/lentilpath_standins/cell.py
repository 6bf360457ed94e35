"""Reads deployment files and derives the hosts of a cell from them."""

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
from lentilpath_standins._free_ports import allocate_port

PORT_STEP = 50
MAX_SHIFTED_PORT = 25_999

T = TypeVar("T", HostSettings, "WorkerHost", "RunnerHost")
AddressMap = Callable[[Address], Address]


@dataclass(frozen=True, slots=True)
class WorkerGroup:
    """Workers of one rack with consecutive IP addresses."""

    count: int
    rack: str
    first_address: Address
    capacity: Resources


@dataclass(frozen=True, slots=True)
class RunnerGroup:
    """Runners of one zone with consecutive IP addresses."""

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
    """The contents of a deployment file."""

    name: str
    service: str
    platform: Address
    zones: tuple[ZonePlan, ...]


@dataclass(frozen=True, slots=True)
class WorkerHost:
    """A worker with its name, location, address and capacity."""

    name: str
    zone: str
    region: str
    rack: str
    address: Address
    capacity: Resources


@dataclass(frozen=True, slots=True)
class RunnerHost:
    """A runner with its name, location, address and limits."""

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
    """Each uses its own port of the platform, so that tests can partition each one alone."""
    workers: tuple[WorkerHost, ...]
    runners: tuple[RunnerHost, ...]


def read_cell(file: Path) -> Cell:
    """Return the cell that a deployment file describes.

    Raises `InvalidSettings` if the file or a settings file that it names is invalid.
    """
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
    return _assign_platform_ports(cell)


def keep_zones(cell: Cell, count: int) -> Cell:
    """Return `cell` reduced to its first `count` zones."""
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
    """Return `cell` with at most the given number of hosts of each kind in each zone."""
    kept_hosts = tuple(
        host for host, index in _enumerate_by_zone(cell.entry_hosts) if index < entry_hosts
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
        workers=tuple(host for host, index in _enumerate_by_zone(cell.workers) if index < workers),
        runners=tuple(host for host, index in _enumerate_by_zone(cell.runners) if index < runners),
    )


def map_addresses(cell: Cell, map_address: AddressMap) -> Cell:
    """Return `cell` with `map_address` applied to each address."""
    return replace(
        cell,
        platform=map_address(cell.platform),
        entry_hosts=tuple(
            replace(
                host,
                callers=map_address(host.callers),
                operators=map_address(host.operators),
                peers=map_address(host.peers),
                platform=map_address(host.platform),
                entry_hosts=tuple(
                    replace(peer, address=map_address(peer.address)) for peer in host.entry_hosts
                ),
            )
            for host in cell.entry_hosts
        ),
        workers=tuple(replace(host, address=map_address(host.address)) for host in cell.workers),
        runners=tuple(replace(host, address=map_address(host.address)) for host in cell.runners),
    )


def shift_to_free_ports(cell: Cell) -> Cell:
    """Return `cell` with all ports shifted by the smallest multiple of `PORT_STEP` that is free.

    Raises `InvalidSettings` if no shift up to `MAX_SHIFTED_PORT` has all ports free.
    """
    for step in range(0, MAX_SHIFTED_PORT, PORT_STEP):

        def shift_port(address: Address, step: int = step) -> Address:
            return Address(address.host, address.port + step)

        moved = map_addresses(cell, shift_port)
        addresses = tuple(list_addresses(moved))
        if max(address.port for address in addresses) > MAX_SHIFTED_PORT:
            break
        if all(_is_free(address) for address in addresses):
            return moved
    raise InvalidSettings(
        f"{cell.name}: no free ports up to {MAX_SHIFTED_PORT}; stop the processes that listen there"
    )


def move_to_loopback(cell: Cell) -> Cell:
    """Return `cell` with each address moved to a free port of 127.0.0.1."""
    moved: dict[Address, Address] = {}

    def assign_loopback_address(address: Address) -> Address:
        if address not in moved:
            moved[address] = Address("127.0.0.1", allocate_port())
        return moved[address]

    return map_addresses(cell, assign_loopback_address)


def list_addresses(cell: Cell) -> Iterator[Address]:
    """Yield all addresses that the cell's processes listen on."""
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
        address = _add_to_ip(group.first_address, index)
        yield WorkerHost(name, zone.zone, zone.region, group.rack, address, group.capacity)


def _list_runners(zone: ZonePlan, service: str) -> Iterator[RunnerHost]:
    group = zone.runners
    for index in range(group.count):
        name = f"{zone.zone}-{service}-{index + 1}"
        address = _add_to_ip(group.first_address, index)
        yield RunnerHost(name, zone.zone, zone.region, address, group.slots, group.connections)


def _add_to_ip(address: Address, index: int) -> Address:
    return Address(str(ip_address(address.host) + index), address.port)


def _assign_platform_ports(cell: Cell) -> Cell:
    hosts = tuple(
        replace(host, platform=Address(host.platform.host, host.platform.port + 1 + index))
        for index, host in enumerate(cell.entry_hosts)
    )
    return replace(cell, entry_hosts=hosts)


def _enumerate_by_zone(hosts: tuple[T, ...]) -> Iterator[tuple[T, int]]:
    zone_counts: dict[str, int] = {}
    for host in hosts:
        index = zone_counts.get(host.zone, 0)
        zone_counts[host.zone] = index + 1
        yield host, index


def _is_free(address: Address) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((address.host, address.port))
        except OSError:
            return False
    return True

"""Settings of one entry host: JSON with comments, fully validated before anything starts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar

import json5
import msgspec

from lentilpath_core.errors import InvalidSettings
from lentilpath_core.ids import HostId, RegionId, ZoneId

T = TypeVar("T")

MIN_PORT = 1
MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Where another entry host listens for its peers."""

    host: HostId
    region: RegionId
    zone: ZoneId
    address: Address


@dataclass(frozen=True, slots=True)
class LeadershipSettings:
    """Timing of the leases that give a host authority over a zone, in milliseconds."""

    lease_ms: int = 2_000
    """Duration of the lease that one renewal of the zone row grants."""
    renew_every_ms: int = 800
    drift_margin_ms: int = 100
    """Minimum margin subtracted from each lease to allow for clock drift between hosts."""
    newcomer_horizon_ms: int = 900_000
    """How long a host outside the roster waits before it takes over.

    It is also the limit up to which promises of other hosts extend the authority of a leader while
    the table is unavailable.
    """
    promise_ms: int = 3_000
    """How long a promise not to take over lasts."""


@dataclass(frozen=True, slots=True)
class WorkerLeaseSettings:
    """Timing of the leases under which workers run tasks, in milliseconds."""

    lease_ms: int = 10_000
    """How long a worker keeps running a task after the last renewal."""
    sync_wait_ms: int = 2_000
    """How long a worker may hold a sync request when it has nothing to report."""
    silent_after_ms: int = 3_000
    """A worker that has not answered for this long gets no new tasks."""
    full_report_every_ms: int = 10_000
    """Interval at which a worker reports all its tasks and their usage, not only changes."""


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Paths of the PEM files with certificate and key for the callers' and operators' listeners."""

    certificate: str
    key: str


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings that one entry host needs to start."""

    host: HostId
    region: RegionId
    zone: ZoneId
    callers: Address
    """Listening address for callers' requests for services."""
    operators: Address
    """Listening address of the administration API."""
    peers: Address
    """Listening address for other entry hosts."""
    platform: Address
    """Address of the platform's table, object store and host list."""
    entry_hosts: tuple[PeerSettings, ...] = ()
    """The other entry hosts of the cell."""
    leadership: LeadershipSettings = LeadershipSettings()
    worker_leases: WorkerLeaseSettings = WorkerLeaseSettings()
    statsd: Address | None = None
    tls: TlsSettings | None = None
    log_level: str = "info"
    drain_seconds: float = 20.0
    """How long a planned stop waits for requests in progress."""


def parse_document(text: str, source: str, kind: type[T]) -> T:
    """Parse `text` as JSON with comments and return it as a `kind`.

    `source` names the file in messages. Raises `InvalidSettings` for malformed text, unknown or
    missing keys and values of the wrong type; the message names the key and the reason.
    """
    try:
        value: Any = json5.loads(text)
    except ValueError as error:
        raise InvalidSettings(f"{source}: not JSON with comments: {error}") from error
    except RecursionError as error:
        raise InvalidSettings(f"{source}: nested too deeply; flatten it") from error
    _reject_unknown_keys(value, kind, source)
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise InvalidSettings(f"{source}: {error}") from error


def parse_settings(text: str, source: str) -> HostSettings:
    """Return the checked settings of an entry host; raises `InvalidSettings`."""
    settings = parse_document(text, source, HostSettings)
    for key in ("callers", "operators", "peers", "platform"):
        _check_address(getattr(settings, key), f"{source}: {key}")
    leadership = settings.leadership
    if leadership.renew_every_ms * 2 > leadership.lease_ms:
        raise InvalidSettings(
            f"{source}: leadership.renew_every_ms is {leadership.renew_every_ms}; give at most "
            f"half of lease_ms ({leadership.lease_ms}), or one lost answer ends the lease"
        )
    if leadership.drift_margin_ms * 2 > leadership.lease_ms:
        raise InvalidSettings(
            f"{source}: leadership.drift_margin_ms is {leadership.drift_margin_ms}; give less "
            f"than half of lease_ms ({leadership.lease_ms})"
        )
    leases = settings.worker_leases
    if leases.sync_wait_ms * 2 > leases.lease_ms:
        raise InvalidSettings(
            f"{source}: worker_leases.sync_wait_ms is {leases.sync_wait_ms}; give at most half of "
            f"lease_ms ({leases.lease_ms}), or tasks stop between two renewals"
        )
    return settings


def _check_address(address: Address, key: str) -> None:
    if not MIN_PORT <= address.port <= MAX_PORT:
        raise InvalidSettings(
            f"{key}.port is {address.port}; give a number from {MIN_PORT} to {MAX_PORT}"
        )


def _reject_unknown_keys(value: Any, kind: Any, path: str) -> None:
    # msgspec ignores unknown keys of dataclasses, and a misspelt key that is silently ignored is
    # the most common mistake in settings. So the known keys are taken from the type here.
    _reject_unknown_keys_of_type(value, msgspec.inspect.type_info(kind), path)


def _reject_unknown_keys_of_type(value: Any, info: Any, path: str) -> None:
    if isinstance(info, msgspec.inspect.UnionType):
        for option in info.types:
            if isinstance(option, msgspec.inspect.DataclassType):
                _reject_unknown_keys_of_type(value, option, path)
        return
    item_info = getattr(info, "item_type", None)
    if isinstance(value, list) and item_info is not None:
        for index, item in enumerate(value):
            _reject_unknown_keys_of_type(item, item_info, f"{path}[{index}]")
        return
    if not isinstance(value, dict) or not isinstance(info, msgspec.inspect.DataclassType):
        return
    fields = {field.name: field.type for field in info.fields}
    for key, item in value.items():
        if key not in fields:
            known = ", ".join(sorted(fields))
            raise InvalidSettings(f"{path}: unknown key {key!r}; the keys here are {known}")
        _reject_unknown_keys_of_type(item, fields[key], f"{path}.{key}")

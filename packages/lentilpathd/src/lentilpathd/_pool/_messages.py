"""What entry hosts of a pool say to each other, by topic."""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import Epoch, HostId, JobId, RegionId, ZoneId
from lentilpath_core.pool import QueueLoad
from lentilpath_core.settings import Address

HEARTBEAT_TOPIC = "pool.hello"
STATE_TOPIC = "pool.state"
NOTICE_TOPIC = "pool.notice"
UNCLEAR_TOPIC = "pool.unclear"


class Hello(msgspec.Struct, frozen=True):
    """A host's greeting to the leader."""

    address: Address
    zone: ZoneId
    region: RegionId
    cores: float = 1.0
    can_lead: bool = False
    """Whether the host reaches the table by itself and does not stop."""
    up_ms: int = 0
    """How long the process has run."""
    hosts_mark: int = 0
    """Tells which list of hosts the greeter has."""


class KnownHost(msgspec.Struct, frozen=True, array_like=True):
    """Where a host is reached by others."""

    host: HostId
    address: Address
    zone: ZoneId
    region: RegionId
    cores: float = 1.0
    can_lead: bool = False


class Digest(msgspec.Struct, frozen=True):
    """What the leader tells the hosts about the load and about each other."""

    epoch: Epoch
    queues: dict[str, QueueLoad]
    hosts: tuple[KnownHost, ...] = ()
    """Empty if the greeter has this list already."""
    hosts_mark: int = 0


class StateRequest(msgspec.Struct, frozen=True):
    """Asks the leader where a job stands."""

    job: JobId


class StateReply(msgspec.Struct, frozen=True):
    """A job's state, or an empty text if the leader does not know the job."""

    state: str
    is_unclear: bool = False
    """A host has tried to store the job lately and does not know whether it did."""


class JobNotice(msgspec.Struct, frozen=True):
    """Tells the leader at once what a host has stored about a job."""

    part: str
    key: str
    value: bytes
    version: int


class UnclearNotice(msgspec.Struct, frozen=True):
    """Tells the leader that a job may have been stored, or may be yet."""

    job: JobId


class Empty(msgspec.Struct, frozen=True):
    """Nothing to say."""

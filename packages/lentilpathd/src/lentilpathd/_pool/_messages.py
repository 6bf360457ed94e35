"""Messages between the entry hosts of a pool, by topic."""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import CustomerId, Epoch, HostId, JobId, RegionId, ZoneId
from lentilpath_core.pool import PoolLoads, ShareLoads
from lentilpath_core.settings import Address

HEARTBEAT_TOPIC = "pool.hello"
STATE_TOPIC = "pool.state"
NOTICE_TOPIC = "pool.notice"
UNCLEAR_TOPIC = "pool.unclear"


class Heartbeat(msgspec.Struct, frozen=True):
    """A host's heartbeat to the leader."""

    address: Address
    zone: ZoneId
    region: RegionId
    cores: float = 1.0
    can_lead: bool = False
    """Whether the host has a direct path to the table and is not stopping."""
    up_ms: int = 0
    """Uptime of the process in ms."""
    hosts_mark: int = 0
    """Fingerprint of the list of hosts that the sender has; 0 for none."""
    heard_epoch: Epoch = Epoch(0)
    """Epoch of the last digest that the sender has got; 0 for none."""


class KnownHost(msgspec.Struct, frozen=True, array_like=True):
    """Address, location and speed of an entry host."""

    host: HostId
    address: Address
    zone: ZoneId
    region: RegionId
    cores: float = 1.0
    can_lead: bool = False


class Digest(msgspec.Struct, frozen=True):
    """The leader's answer to a heartbeat: the load, and the known hosts.

    Each host gets two a second, so nothing in it may grow with the configuration.
    """

    epoch: Epoch
    loads: PoolLoads
    hosts: tuple[KnownHost, ...] = ()
    """Empty if the sender of the heartbeat already has this list."""
    hosts_mark: int = 0
    shares: ShareLoads = ShareLoads()


class StateRequest(msgspec.Struct, frozen=True):
    """Asks the leader for a job's state."""

    job: JobId


class StateReply(msgspec.Struct, frozen=True):
    """A job's state; empty if the leader does not know the job."""

    state: str
    is_unclear: bool = False
    """Whether a host recently tried to store the job and does not know the outcome."""
    customer: CustomerId = CustomerId("")
    """Customer of the job; empty if it has none or is not known."""


class JobNotice(msgspec.Struct, frozen=True):
    """Notifies the leader of a row that a host has stored for a job."""

    part: str
    key: str
    value: bytes
    version: int


class UnclearNotice(msgspec.Struct, frozen=True):
    """Notifies the leader that a job may have been stored, or may still be."""

    job: JobId


class Empty(msgspec.Struct, frozen=True):
    """Acknowledgement without content."""

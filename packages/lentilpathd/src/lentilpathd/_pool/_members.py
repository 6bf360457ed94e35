"""Which entry hosts are alive, by what they say to the leader, and what the leader tells them."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable

import msgspec

from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import HostId, Instant, JobId
from lentilpath_core.peers import PeerRequest
from lentilpath_core.pool import QueueLoad
from lentilpath_core.settings import Address, PeerSettings
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._peers import PeerBus
from lentilpathd._pool._messages import HEARTBEAT_TOPIC, Digest, Hello, KnownHost
from lentilpathd._pool._settings import PoolHostSettings

HEARTBEAT_INTERVAL_MS = 500
"""A quarter of the 2 s by which the count of waiting jobs may be old."""
HEARTBEAT_TIMEOUT_SECONDS = 0.5
"""One greeting is under way at a time."""
DIGEST_VALID_MS = 1_700
"""Counts that callers are given may be 2 s old."""
UNCLEAR_RETENTION_MS = 30_000
"""Longer than any write was seen to be applied late, and than callers go on asking."""
MAX_UNCLEAR_JOBS = 5_000
"""Several times the jobs that a burst brings in `UNCLEAR_MS`; bounds the memory to under 1 MB."""
RESTART_SPREAD_MS = 2_000
"""Processes that began this far apart did not begin with the deployment, which takes 0.3 s."""
FASTER_HOST_RATIO = 1.5
"""A leader hands over to a host that is this much faster: a change of leader costs a second without
starts, which a small difference does not earn back."""
MEMBER_SILENT_MS = 1_600
"""A host that has not spoken for three greetings gets no more questions."""


class Members:
    """The hosts that have spoken to this process lately."""

    def __init__(
        self, settings: PoolHostSettings, bus: PeerBus, can_lead: Callable[[], bool]
    ) -> None:
        self._settings = settings
        self._bus = bus
        self._can_lead = can_lead
        self._started_at = read_instant()
        self._heartbeats: dict[HostId, tuple[Instant, Hello]] = {}
        self._leader: PeerSettings | None = None
        self._advertised_mark = 0
        self._advertised: dict[HostId, KnownHost] = {}
        """Hosts that the leader has told of."""

    def list_helpers(self, now: Instant) -> tuple[HostId, ...]:
        """Return other hosts that may reach the table for this one.

        Those that say so, if any does; else all that may be alive.
        """
        able = {host for host, each in self._advertised.items() if each.can_lead}
        able -= self._heartbeats.keys()
        able |= {host for host, hello in self._list_live(now) if hello.can_lead}
        if able - {self._settings.host}:
            return tuple(sorted(able - {self._settings.host}))
        known = {host for host, _ in self._list_live(now)} | self._advertised.keys()
        if self._leader is not None:
            known.add(self._leader.host)
        return tuple(sorted(known - {self._settings.host}))

    def make_hello(self, now: Instant) -> Hello:
        """Return what this host says of itself."""
        own = self._settings
        up_ms = now - self._started_at
        return Hello(
            own.peers,
            own.zone,
            own.region,
            own.cores,
            self._can_lead(),
            up_ms,
            self._advertised_mark,
        )

    def list_known_hosts(self, now: Instant) -> tuple[KnownHost, ...]:
        """Return the hosts to tell others of."""
        own = _make_known_host(self._settings.host, self.make_hello(now))
        return (own, *(_make_known_host(host, hello) for host, hello in self._list_live(now)))

    def _list_live(self, now: Instant) -> list[tuple[HostId, Hello]]:
        return [
            (host, hello)
            for host, (at, hello) in self._heartbeats.items()
            if now <= at + MEMBER_SILENT_MS
        ]

    def find_faster(self, now: Instant) -> HostId | None:
        """Return the fastest host that could lead, if it is much faster than this one."""
        able = [(hello.cores, host) for host, hello in self._list_live(now) if hello.can_lead]
        cores, host = max(able, default=(0.0, None))
        return host if cores >= FASTER_HOST_RATIO * self._settings.cores else None

    def knows_faster(self, leader: HostId | None) -> bool:
        """Return whether a much faster host than this one is known, other than `leader`."""
        return any(
            each.cores >= FASTER_HOST_RATIO * self._settings.cores
            for each in self._advertised.values()
            if each.host != leader
        )

    def choose_successor(self, now: Instant) -> HostId | None:
        """Return a fast host that could lead, if it matters which one.

        Of fast ones the one that was started last: while hosts are restarted one after another, it
        is the least likely to be the next.
        """
        able = [(host, hello) for host, hello in self._list_live(now) if hello.can_lead]
        if not able:
            return None
        fastest = max(hello.cores for _, hello in able)
        fast = [
            (hello.up_ms, host) for host, hello in able if hello.cores * FASTER_HOST_RATIO > fastest
        ]
        was_restarted = max(fast)[0] - min(fast)[0] >= RESTART_SPREAD_MS
        return min(fast)[1] if was_restarted or len(fast) < len(able) else None

    def take_told(self, hosts: tuple[KnownHost, ...], mark: int) -> None:
        """Take over what the leader tells of other hosts, with the mark of its list."""
        if not hosts:
            return
        self._advertised_mark = mark
        told = {each.host: each for each in hosts if each.host != self._settings.host}
        if told != self._advertised:
            self._advertised = told
            self._update_bus()

    def list_hosts(self, now: Instant) -> tuple[HostId, ...]:
        """Return this host and the others that have spoken to it lately."""
        heard = (host for host, (at, _) in self._heartbeats.items() if now <= at + MEMBER_SILENT_MS)
        return (self._settings.host, *sorted(heard))

    def note_hello(self, host: HostId, hello: Hello, now: Instant) -> None:
        """Take in a greeting."""
        if host == self._settings.host:
            return
        known = self._heartbeats.get(host)
        self._heartbeats[host] = (now, hello)
        if known is None or known[1].address != hello.address:
            self._update_bus()

    def set_leader(self, host: HostId, address: Address) -> None:
        """Make the leader reachable through the bus."""
        peer = PeerSettings(host, self._settings.region, self._settings.zone, address)
        if peer != self._leader:
            self._leader = peer
            self._update_bus()

    def _update_bus(self) -> None:
        known = dict(self._advertised)
        known.update(
            {host: _make_known_host(host, hello) for host, (_, hello) in self._heartbeats.items()}
        )
        peers = {
            host: PeerSettings(host, each.region, each.zone, each.address)
            for host, each in known.items()
        }
        if self._leader is not None:
            peers[self._leader.host] = self._leader
        self._bus.set_peers(tuple(peers.values()))


def _make_known_host(host: HostId, hello: Hello) -> KnownHost:
    return KnownHost(host, hello.address, hello.zone, hello.region, hello.cores, hello.can_lead)


class HeartbeatSender:
    """Greets the leader and keeps its last digest."""

    def __init__(self, settings: PoolHostSettings, bus: PeerBus, members: Members) -> None:
        self._settings = settings
        self._bus = bus
        self._members = members
        self._leader: HostId | None = None
        self._digest: Digest | None = None
        self._digest_at = Instant(0)

    def set_leader(self, leader: HostId | None) -> None:
        """Greet this host from now on."""
        self._leader = leader

    def get_leader(self) -> HostId | None:
        """Return the host that was last seen to lead."""
        return self._leader

    def set_digest(self, digest: Digest, now: Instant) -> None:
        """Take a digest that was made on this host."""
        self._digest, self._digest_at = digest, now

    def get_load(self, queue: str, now: Instant) -> QueueLoad | None:
        """Return the load of a queue, or `None` if nothing recent is known."""
        if self._digest is None or now > self._digest_at + DIGEST_VALID_MS:
            return None
        return self._digest.queues.get(queue)

    async def run(self) -> None:
        """Greet until cancelled."""
        while True:
            leader = self._leader
            if leader is not None and leader != self._settings.host:
                await self._send_heartbeat(leader)
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / MS_PER_SECOND)

    async def _send_heartbeat(self, leader: HostId) -> None:
        hello = self._members.make_hello(read_instant())
        try:
            digest = await self._bus.ask(
                leader, HEARTBEAT_TOPIC, hello, Digest, HEARTBEAT_TIMEOUT_SECONDS
            )
        except LentilpathError as error:
            log_event(Event.LEADER_SILENT, leader=leader, error=str(error))
            return
        self.set_digest(digest, read_instant())
        self._members.take_told(digest.hosts, digest.hosts_mark)


def mark_hosts(hosts: tuple[KnownHost, ...]) -> int:
    """Return a number that another list of hosts hardly ever has."""
    return zlib.crc32(msgspec.msgpack.encode(sorted(hosts, key=lambda each: each.host)))


def decode_heartbeat(request: PeerRequest) -> Hello:
    """Return the greeting in a request; raises `msgspec.ValidationError`."""
    return msgspec.convert(request.body, Hello)


class UnclearJobs:
    """Jobs of which hosts said that they may be stored. Kept while a late write may be applied."""

    def __init__(self) -> None:
        self._until: dict[JobId, Instant] = {}

    def add(self, job: JobId, now: Instant) -> None:
        """Remember a job."""
        self._until[job] = Instant(now + UNCLEAR_RETENTION_MS)
        if len(self._until) > MAX_UNCLEAR_JOBS:
            self._until = {each: at for each, at in self._until.items() if at > now}

    def has(self, job: JobId, now: Instant) -> bool:
        """Return whether the job may be stored."""
        return now < self._until.get(job, Instant(0))

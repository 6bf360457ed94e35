"""Membership of the entry hosts: their heartbeats to the leader and the leader's digests."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Iterator

import msgspec

from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import HostId, Instant, JobId
from lentilpath_core.peers import PeerRequest
from lentilpath_core.pool import PoolLoads, ShareLoads
from lentilpath_core.settings import Address, PeerSettings
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._peers import PeerBus
from lentilpathd._pool._messages import HEARTBEAT_TOPIC, Digest, Heartbeat, KnownHost
from lentilpathd._pool._settings import PoolHostSettings

HEARTBEAT_INTERVAL_MS = 500
"""A quarter of the maximum age of the pending job count, 2 s."""
HEARTBEAT_TIMEOUT_SECONDS = 1.0
"""One heartbeat is in flight at a time, and behind a large answer on a slow link it takes several
times as long as usual. With the interval this stays under `MEMBER_TIMEOUT_MS`."""
DIGEST_VALID_MS = 1_700
"""Counts returned to callers may be at most 2 s old."""
UNCLEAR_RETENTION_MS = 30_000
"""Longer than the longest observed delay of a late write, and than callers keep retrying."""
MAX_UNCLEAR_JOBS = 5_000
"""Several times the jobs of a burst within `UNCLEAR_RETENTION_MS`; expired ones are removed beyond
this, which bounds the memory to under 1 MB."""
RESTART_SPREAD_MS = 2_000
"""Processes that were started this far apart were not started by the same deployment, which takes
0.3 s."""
FASTER_HOST_RATIO = 1.5
"""A leader hands over to a host that is faster by this factor. A change of leader costs a second
without starts, which a smaller difference does not make up for."""
MAX_HOSTS = 500
"""Ten times the hosts of the largest deployment. Beyond it hosts without a recent heartbeat are
forgotten, so that heartbeats under ever new names do not fill the memory."""
MEMBER_TIMEOUT_MS = 1_600
"""A host that has missed three heartbeats gets no more requests."""


class Members:
    """Hosts known from recent heartbeats and from the leader's digests."""

    def __init__(
        self, settings: PoolHostSettings, bus: PeerBus, can_lead: Callable[[], bool]
    ) -> None:
        self._settings = settings
        self._bus = bus
        self._can_lead = can_lead
        self._started_at = read_instant()
        self._heartbeats: dict[HostId, tuple[Instant, Heartbeat]] = {}
        self._leader: PeerSettings | None = None
        self._advertised_fingerprint = 0
        self._advertised: dict[HostId, KnownHost] = {}
        """Other hosts listed in the leader's last digest."""

    def list_relay_hosts(self, now: Instant) -> tuple[HostId, ...]:
        """Return other hosts that may relay table calls for this one.

        Those that report a direct path to the table if there are any; else all that may be alive.
        """
        relays = {host for host, each in self._advertised.items() if each.can_lead}
        relays -= self._heartbeats.keys()
        relays |= {host for host, heartbeat in self._list_live(now) if heartbeat.can_lead}
        if relays - {self._settings.host}:
            return tuple(sorted(relays - {self._settings.host}))
        known = {host for host, _ in self._list_live(now)} | self._advertised.keys()
        if self._leader is not None:
            known.add(self._leader.host)
        return tuple(sorted(known - {self._settings.host}))

    def make_heartbeat(self, now: Instant) -> Heartbeat:
        """Return this host's heartbeat message."""
        own = self._settings
        up_ms = now - self._started_at
        return Heartbeat(
            own.peers,
            own.zone,
            own.region,
            own.cores,
            self._can_lead(),
            up_ms,
            self._advertised_fingerprint,
        )

    def list_known_hosts(self, now: Instant) -> tuple[KnownHost, ...]:
        """Return this host and the live others, for the digest."""
        own = _make_known_host(self._settings.host, self.make_heartbeat(now))
        return (
            own,
            *(_make_known_host(host, heartbeat) for host, heartbeat in self._list_live(now)),
        )

    def _iterate_recent(self, now: Instant) -> Iterator[tuple[HostId, tuple[Instant, Heartbeat]]]:
        """Yield the recent heartbeats, at most `MAX_HOSTS`, the latest ones first."""
        ordered = sorted(self._heartbeats.items(), key=lambda each: each[1][0], reverse=True)
        for host, (at, heartbeat) in ordered[:MAX_HOSTS]:
            if now <= at + MEMBER_TIMEOUT_MS:
                yield host, (at, heartbeat)

    def _list_live(self, now: Instant) -> list[tuple[HostId, Heartbeat]]:
        return [
            (host, heartbeat)
            for host, (at, heartbeat) in self._heartbeats.items()
            if now <= at + MEMBER_TIMEOUT_MS
        ]

    def find_faster_host(self, now: Instant) -> HostId | None:
        """Return the fastest host that can lead if it is much faster than this one, else `None`."""
        candidates = [
            (heartbeat.cores, host)
            for host, heartbeat in self._list_live(now)
            if heartbeat.can_lead
        ]
        cores, host = max(candidates, default=(0.0, None))
        return host if cores >= FASTER_HOST_RATIO * self._settings.cores else None

    def knows_faster_host(self, leader: HostId | None) -> bool:
        """Return whether a host other than `leader` is known to be much faster than this one."""
        return any(
            each.cores >= FASTER_HOST_RATIO * self._settings.cores
            for each in self._advertised.values()
            if each.host != leader
        )

    def choose_successor(self, now: Instant) -> HostId | None:
        """Return the fast host that should lead next, or `None` if any host will do.

        Among fast hosts it is the one that was started last: while hosts are restarted one after
        another, it is the least likely to be restarted next.
        """
        candidates = [
            (host, heartbeat) for host, heartbeat in self._list_live(now) if heartbeat.can_lead
        ]
        if not candidates:
            return None
        fastest = max(heartbeat.cores for _, heartbeat in candidates)
        fast = [
            (heartbeat.up_ms, host)
            for host, heartbeat in candidates
            if heartbeat.cores * FASTER_HOST_RATIO > fastest
        ]
        was_restarted = max(fast)[0] - min(fast)[0] >= RESTART_SPREAD_MS
        return min(fast)[1] if was_restarted or len(fast) < len(candidates) else None

    def update_advertised(self, hosts: tuple[KnownHost, ...], fingerprint: int) -> None:
        """Replace the hosts from the leader's digest; `fingerprint` is that of the list.

        An empty list means that the list is unchanged.
        """
        if not hosts:
            return
        self._advertised_fingerprint = fingerprint
        advertised = {each.host: each for each in hosts if each.host != self._settings.host}
        if advertised != self._advertised:
            self._advertised = advertised
            self._update_bus()

    def list_hosts(self, now: Instant) -> tuple[HostId, ...]:
        """Return this host and those whose heartbeat arrived within the timeout."""
        live_hosts = (
            host for host, (at, _) in self._heartbeats.items() if now <= at + MEMBER_TIMEOUT_MS
        )
        return (self._settings.host, *sorted(live_hosts))

    def record_heartbeat(self, host: HostId, heartbeat: Heartbeat, now: Instant) -> None:
        """Record a heartbeat of a host."""
        if host == self._settings.host:
            return
        known = self._heartbeats.get(host)
        self._heartbeats[host] = (now, heartbeat)
        if len(self._heartbeats) > MAX_HOSTS:
            self._heartbeats = dict(self._iterate_recent(now))
        if known is None or known[1].address != heartbeat.address:
            self._update_bus()

    def set_leader(self, host: HostId, address: Address) -> None:
        """Add the leader's address to the peer bus."""
        peer = PeerSettings(host, self._settings.region, self._settings.zone, address)
        if peer != self._leader:
            self._leader = peer
            self._update_bus()

    def _update_bus(self) -> None:
        known = dict(self._advertised)
        known.update(
            {
                host: _make_known_host(host, heartbeat)
                for host, (_, heartbeat) in self._heartbeats.items()
            }
        )
        peers = {
            host: PeerSettings(host, each.region, each.zone, each.address)
            for host, each in known.items()
        }
        if self._leader is not None:
            peers[self._leader.host] = self._leader
        self._bus.set_peers(tuple(peers.values()))


def _make_known_host(host: HostId, heartbeat: Heartbeat) -> KnownHost:
    return KnownHost(
        host,
        heartbeat.address,
        heartbeat.zone,
        heartbeat.region,
        heartbeat.cores,
        heartbeat.can_lead,
    )


class HeartbeatSender:
    """Sends heartbeats to the leader and keeps the last digest."""

    def __init__(self, settings: PoolHostSettings, bus: PeerBus, members: Members) -> None:
        self._settings = settings
        self._bus = bus
        self._members = members
        self._leader: HostId | None = None
        self._leader_changed = asyncio.Event()
        self._digest: Digest | None = None
        self._digest_at = Instant(0)

    def set_leader(self, leader: HostId | None) -> None:
        """Send heartbeats to this host from now on."""
        if leader != self._leader:
            self._leader = leader
            self._leader_changed.set()

    def get_leader(self) -> HostId | None:
        """Return the host that was last seen to lead."""
        return self._leader

    def set_digest(self, digest: Digest, now: Instant) -> None:
        """Store a digest that arrived, or was made on this host, at `now`."""
        self._digest, self._digest_at = digest, now

    def has_recent_digest(self, now: Instant) -> bool:
        """Return whether a leader has answered a heartbeat lately."""
        return self._digest is not None and now <= self._digest_at + DIGEST_VALID_MS

    def get_loads(self, now: Instant) -> PoolLoads | None:
        """Return the load of the queues, or `None` if the digest is too old."""
        if self._digest is None or not self.has_recent_digest(now):
            return None
        return self._digest.loads

    def get_shares(self, now: Instant) -> ShareLoads:
        """Return the customers beyond their share; none if the digest is too old."""
        if self._digest is None or now > self._digest_at + DIGEST_VALID_MS:
            return ShareLoads()
        return self._digest.shares

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            leader = self._leader
            self._leader_changed.clear()
            if leader is not None and leader != self._settings.host:
                await self._send_to(leader)
            if not self._leader_changed.is_set():
                await asyncio.sleep(HEARTBEAT_INTERVAL_MS / MS_PER_SECOND)

    async def _send_to(self, leader: HostId) -> None:
        """Send a heartbeat; give it up if another host leads meanwhile."""
        sending = asyncio.ensure_future(self._send_heartbeat(leader))
        changing = asyncio.ensure_future(self._leader_changed.wait())
        try:
            await asyncio.wait((sending, changing), return_when=asyncio.FIRST_COMPLETED)
        finally:
            sending.cancel()
            changing.cancel()
        await asyncio.wait((sending,))
        if not sending.cancelled():
            sending.result()

    async def _send_heartbeat(self, leader: HostId) -> None:
        heartbeat = self._members.make_heartbeat(read_instant())
        if self._digest is not None:
            heartbeat = msgspec.structs.replace(heartbeat, heard_epoch=self._digest.epoch)
        try:
            digest = await self._bus.ask(
                leader, HEARTBEAT_TOPIC, heartbeat, Digest, HEARTBEAT_TIMEOUT_SECONDS
            )
        except LentilpathError as error:
            log_event(Event.LEADER_SILENT, leader=leader, error=str(error))
            return
        self.set_digest(digest, read_instant())
        self._members.update_advertised(digest.hosts, digest.hosts_mark)


def fingerprint_hosts(hosts: tuple[KnownHost, ...]) -> int:
    """Return a fingerprint (a checksum) of a list of hosts, independent of their order."""
    return zlib.crc32(msgspec.msgpack.encode(sorted(hosts, key=lambda each: each.host)))


def decode_heartbeat(request: PeerRequest) -> Heartbeat:
    """Decode the heartbeat in a request; raises `msgspec.ValidationError`."""
    return msgspec.convert(request.body, Heartbeat)


class UnclearJobs:
    """Jobs that hosts reported as possibly stored, kept while a late write may still be applied."""

    def __init__(self) -> None:
        self._until: dict[JobId, Instant] = {}

    def add(self, job: JobId, now: Instant) -> None:
        """Add a job, or extend the time for which it is kept."""
        self._until[job] = Instant(now + UNCLEAR_RETENTION_MS)
        if len(self._until) > MAX_UNCLEAR_JOBS:
            self._until = {each: at for each, at in self._until.items() if at > now}

    def list_jobs(self, now: Instant) -> tuple[JobId, ...]:
        """Return all jobs that may be stored."""
        return tuple(job for job, until in self._until.items() if now < until)

    def has(self, job: JobId, now: Instant) -> bool:
        """Return whether the job may be stored."""
        return now < self._until.get(job, Instant(0))

"""The configuration in force on this host, and its propagation between hosts.

A host only installs versions higher than its own. Changes are sent as patches to every host of the
sender's zone and to one host of each other zone, which relays them to its zone. A host detects a
missed change by polling the small head row in the table, or a peer of its zone while the table is
unavailable.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from lentilpath_core.configuration import (
    EMPTY_CONFIGURATION,
    EMPTY_DOCUMENT,
    CellConfiguration,
    ConfigChange,
    ConfigSnapshot,
    InvalidConfiguration,
    PatchMismatch,
    apply_change,
    digest_document,
    read_configuration,
)
from lentilpath_core.errors import LentilpathError, Unavailable
from lentilpath_core.ids import ConfigVersion, HostId, Instant, WallTime, ZoneId
from lentilpath_core.peers import PeerRequest
from lentilpathd._clock import read_instant
from lentilpathd._context import DaemonContext
from lentilpathd._events import Event, log_event, log_warning_event

UPDATE_TOPIC = "config.news"
GET_TOPIC = "config.get"
STATUS_TOPIC = "config.status"
HEAD_ROW = "config/head"
CURRENT_ROW = "config/current"
POLL_INTERVAL_SECONDS = 2.0
TABLE_TIMEOUT_SECONDS = 2.0
PEER_TIMEOUT_SECONDS = 1.0
CACHED_CHANGES = 64


class ConfigHead(msgspec.Struct, frozen=True, array_like=True):
    """Row `config/head`: a small row that hosts poll to detect a later version."""

    version: ConfigVersion
    digest: str


class ConfigUpdate(msgspec.Struct, frozen=True):
    """Topic `config.news`: a newly accepted version, as a change to the previous one."""

    change: ConfigChange
    relay: bool
    """Whether the receiver forwards the update to the other hosts of its zone."""


class ConfigUpdateReply(msgspec.Struct, frozen=True):
    """Hosts on which this update's version or a later one is in force."""

    hosts: tuple[HostId, ...]


class ConfigQuery(msgspec.Struct, frozen=True):
    """Topic `config.get`: requests the changes after this version."""

    since: ConfigVersion


class ConfigAnswer(msgspec.Struct, frozen=True):
    """The changes since the queried version, or the full configuration if they are not cached.

    Neither is set if there is no later version.
    """

    known: bool
    """Whether the answering process has loaded the configuration or learned that none exists."""
    changes: tuple[ConfigChange, ...] = ()
    whole: ConfigSnapshot | None = None


class ConfigStatus(msgspec.Struct, frozen=True):
    """Topic `config.status`: the version in force on a host and its source."""

    host: HostId
    zone: ZoneId
    version: ConfigVersion
    digest: str
    source: str
    in_force_ms: int
    """Time since the version was put in force."""
    confirmed_ms: int
    """Time since the latest successful read of the table's head row; -1 for never."""


class ConfigurationKeeper:
    """Holds the version in force in memory and keeps it up to date."""

    def __init__(self, context: DaemonContext) -> None:
        self._context = context
        self._snapshot = make_initial_config()
        self._configuration = EMPTY_CONFIGURATION
        self._known = False
        self._source = "none yet"
        self._installed_at = read_instant()
        self._confirmed_at: Instant | None = None
        self._changes: deque[ConfigChange] = deque(maxlen=CACHED_CHANGES)
        self._listeners: list[Callable[[], None]] = []
        self._next_peer_index = 0
        context.bus.handle(UPDATE_TOPIC, self._answer_update)
        context.bus.handle(GET_TOPIC, self._answer_query)
        context.bus.handle(STATUS_TOPIC, self._answer_status)

    def get_current(self) -> CellConfiguration:
        """Return the configuration in force; it is empty before the first version is accepted."""
        return self._configuration

    def get_version(self) -> ConfigVersion:
        """Return the version in force; 0 for none."""
        return self._snapshot.version

    def get_snapshot(self) -> ConfigSnapshot:
        """Return the version in force with its document."""
        return self._snapshot

    def is_known(self) -> bool:
        """Return whether this process has loaded the configuration or learned that none exists."""
        return self._known

    def add_listener(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each new version."""
        self._listeners.append(callback)

    async def run(self) -> None:
        """Poll for later versions until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def refresh(self) -> None:
        """Install a later version from the table or, if that is unavailable, from zone peers."""
        try:
            await self._refresh_from_table()
        except Unavailable:
            await self._refresh_from_peers()
        except (msgspec.DecodeError, InvalidConfiguration) as error:
            log_warning_event(Event.CONFIG_UNREADABLE, error=str(error))

    def install_change(self, change: ConfigChange, source: str) -> bool:
        """Put `change` in force if it is the next version.

        Returns whether its version or a later one is now in force. Raises `PatchMismatch` if the
        patch does not apply to the current document.
        """
        if change.version <= self._snapshot.version:
            return True
        if change.version != self._snapshot.version + 1:
            return False
        document = apply_change(self._snapshot.document, change)
        snapshot = ConfigSnapshot(
            change.version, change.digest, change.operator, change.at, change.text, document
        )
        self.install_snapshot(snapshot, source)
        self._changes.append(change)
        return True

    def install_snapshot(self, snapshot: ConfigSnapshot, source: str) -> None:
        """Put a full configuration in force if its version is higher than the current one."""
        if snapshot.version <= self._snapshot.version:
            return
        self._configuration = read_configuration(snapshot.document)
        if snapshot.version != self._snapshot.version + 1:
            self._changes.clear()
        self._snapshot = snapshot
        self._known = True
        self._source = source
        self._installed_at = read_instant()
        log_event(Event.CONFIG_IN_FORCE, version=snapshot.version, source=source)
        for callback in self._listeners:
            callback()

    async def broadcast_change(self, change: ConfigChange) -> tuple[HostId, ...]:
        """Send a change accepted here to all hosts; return those on which it is now in force."""
        own_zone = self._context.settings.zone
        zones = [zone for zone in self._context.directory.list_zones() if zone != own_zone]
        replies = await asyncio.gather(
            self._send_to_own_zone(change), *(self._send_to_zone(zone, change) for zone in zones)
        )
        hosts = {host for reply in replies for host in reply}
        return tuple(sorted({*hosts, self._context.settings.host}))

    async def list_status(self) -> tuple[tuple[HostId, ZoneId, ConfigStatus | None], ...]:
        """Return the status of every host, `None` for those that do not answer."""
        own = self._get_status()
        peers = self._context.directory.list_entry_hosts()
        replies = await asyncio.gather(*(self._ask_status(HostId(peer.host)) for peer in peers))
        rows = [(HostId(p.host), p.zone, r) for p, r in zip(peers, replies, strict=True)]
        return tuple(sorted([(own.host, own.zone, own), *rows], key=lambda row: (row[1], row[0])))

    async def _refresh_from_table(self) -> None:
        (row,) = await self._context.table.read((HEAD_ROW,), TABLE_TIMEOUT_SECONDS)
        self._confirmed_at = read_instant()
        if not row.value:
            self._known = True
            return
        head = msgspec.json.decode(row.value, type=ConfigHead)
        if head.version <= self._snapshot.version:
            return
        if self._snapshot.version and await self._catch_up_from_peers(head.version):
            return
        (current,) = await self._context.table.read((CURRENT_ROW,), TABLE_TIMEOUT_SECONDS)
        self.install_snapshot(msgspec.json.decode(current.value, type=ConfigSnapshot), "table")

    async def _catch_up_from_peers(self, version: ConfigVersion) -> bool:
        # A zone peer answers with patches, which are smaller than the table's full document.
        peer = self._select_next_zone_peer()
        if peer is not None:
            await self._fetch_from_peer(peer)
        return self._snapshot.version >= version

    async def _refresh_from_peers(self) -> None:
        if self._known:
            peer = self._select_next_zone_peer()
            if peer is not None:
                await self._fetch_from_peer(peer)
            return
        # A process without a configuration asks all hosts of its zone and installs the highest
        # version, so that one stale peer does not make it start from an old version.
        peers = self._context.directory.list_entry_hosts(self._context.settings.zone)
        await asyncio.gather(*(self._fetch_from_peer(HostId(peer.host)) for peer in peers))

    def _select_next_zone_peer(self) -> HostId | None:
        peers = self._context.directory.list_entry_hosts(self._context.settings.zone)
        if not peers:
            return None
        self._next_peer_index = (self._next_peer_index + 1) % len(peers)
        return HostId(peers[self._next_peer_index].host)

    async def _fetch_from_peer(self, peer: HostId) -> None:
        """Install versions from `peer` that are later than the current one."""
        query = ConfigQuery(self._snapshot.version)
        try:
            answer = await self._context.bus.ask(
                peer, GET_TOPIC, query, ConfigAnswer, PEER_TIMEOUT_SECONDS
            )
            if answer.whole is not None:
                self.install_snapshot(answer.whole, peer)
            for change in answer.changes:
                self.install_change(change, peer)
            self._known = self._known or answer.known
        except InvalidConfiguration as error:
            log_warning_event(Event.CONFIG_UNREADABLE, peer=peer, error=str(error))
        except LentilpathError:
            # The next poll asks the table or another peer.
            return

    async def _send_to_zone(self, zone: ZoneId, change: ConfigChange) -> tuple[HostId, ...]:
        for peer in self._context.directory.list_entry_hosts(zone):
            hosts = await self._send_update(HostId(peer.host), ConfigUpdate(change, relay=True))
            if hosts:
                return hosts
        return ()

    async def _send_to_own_zone(self, change: ConfigChange) -> tuple[HostId, ...]:
        peers = self._context.directory.list_entry_hosts(self._context.settings.zone)
        update = ConfigUpdate(change, relay=False)
        replies = await asyncio.gather(
            *(self._send_update(HostId(peer.host), update) for peer in peers)
        )
        return tuple(host for reply in replies for host in reply)

    async def _send_update(self, host: HostId, update: ConfigUpdate) -> tuple[HostId, ...]:
        # A relaying host waits for replies of its zone, so it gets twice their timeout.
        timeout = PEER_TIMEOUT_SECONDS * (2 if update.relay else 1)
        try:
            reply = await self._context.bus.ask(
                host, UPDATE_TOPIC, update, ConfigUpdateReply, timeout
            )
        except LentilpathError:
            return ()
        return reply.hosts

    async def _ask_status(self, host: HostId) -> ConfigStatus | None:
        try:
            return await self._context.bus.ask(
                host, STATUS_TOPIC, None, ConfigStatus, PEER_TIMEOUT_SECONDS
            )
        except LentilpathError:
            return None

    async def _answer_update(self, request: PeerRequest) -> ConfigUpdateReply:
        update = msgspec.convert(request.body, ConfigUpdate)
        hosts: tuple[HostId, ...] = ()
        try:
            if not self.install_change(update.change, request.sender):
                await self._fetch_from_peer(request.sender)
        except PatchMismatch:
            await self._fetch_from_peer(request.sender)
        except InvalidConfiguration as error:
            log_warning_event(Event.CONFIG_UNREADABLE, peer=request.sender, error=str(error))
        if self._snapshot.version >= update.change.version:
            hosts = (self._context.settings.host,)
        if update.relay:
            hosts = (*hosts, *await self._send_to_own_zone(update.change))
        return ConfigUpdateReply(hosts)

    async def _answer_query(self, request: PeerRequest) -> ConfigAnswer:
        since = msgspec.convert(request.body, ConfigQuery).since
        if since >= self._snapshot.version:
            return ConfigAnswer(self._known)
        changes = tuple(change for change in self._changes if change.version > since)
        if changes and changes[0].version == since + 1:
            return ConfigAnswer(self._known, changes)
        return ConfigAnswer(self._known, whole=self._snapshot)

    async def _answer_status(self, request: PeerRequest) -> ConfigStatus:
        return self._get_status()

    def _get_status(self) -> ConfigStatus:
        now = read_instant()
        confirmed_at = self._confirmed_at
        return ConfigStatus(
            self._context.settings.host,
            self._context.settings.zone,
            self._snapshot.version,
            self._snapshot.digest,
            self._source,
            now - self._installed_at,
            -1 if confirmed_at is None else now - confirmed_at,
        )


def create_configuration_keeper(context: DaemonContext) -> ConfigurationKeeper:
    """Return the keeper of this host's configuration; `Operators` runs its `run`."""
    return ConfigurationKeeper(context)


def make_initial_config() -> ConfigSnapshot:
    """Return the empty version 0, which precedes the first accepted version."""
    digest = digest_document(EMPTY_DOCUMENT)
    return ConfigSnapshot(ConfigVersion(0), digest, "", WallTime(0), "", EMPTY_DOCUMENT)


def encode_head(version: ConfigVersion, digest: str) -> str:
    """Return the value of the head row."""
    return msgspec.json.encode(ConfigHead(version, digest)).decode()


def encode_message(message: Any) -> str:
    """Return `message` encoded as a row value."""
    return msgspec.json.encode(message).decode()

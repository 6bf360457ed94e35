"""The configuration that is in force on this host, and how it travels between hosts.

A host takes a version only if it is higher than its own. News travels as patches: to every host of
the own zone, and to one host of each other zone, which passes it on. What a host misses it finds
by looking at the table's small head row, or, while the table is away, at a peer of its zone.
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
    InvalidConfiguration,
    PatchMismatch,
    WholeConfig,
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

NEWS_TOPIC = "config.news"
GET_TOPIC = "config.get"
STATUS_TOPIC = "config.status"
HEAD_ROW = "config/head"
CURRENT_ROW = "config/current"
LOOK_SECONDS = 2.0
TABLE_SECONDS = 2.0
PEER_SECONDS = 1.0
REMEMBERED_CHANGES = 64


class ConfigHead(msgspec.Struct, frozen=True, array_like=True):
    """Row `config/head`: what a host has to read to know whether it is behind."""

    version: ConfigVersion
    digest: str


class ConfigNews(msgspec.Struct, frozen=True):
    """Topic `config.news`: a version was accepted."""

    change: ConfigChange
    relay: bool
    """Whether the receiver passes it on to the other hosts of its zone."""


class NewsReply(msgspec.Struct, frozen=True):
    """The hosts that have the version in force through this news, the receiver included."""

    hosts: tuple[HostId, ...]


class ConfigQuery(msgspec.Struct, frozen=True):
    """Topic `config.get`: asks for what came after this version."""

    since: ConfigVersion


class ConfigAnswer(msgspec.Struct, frozen=True):
    """The changes since then, or the whole if they are not remembered; neither for no news."""

    known: bool
    """Whether the answering host has ever seen the configuration."""
    changes: tuple[ConfigChange, ...] = ()
    whole: WholeConfig | None = None


class ConfigStatus(msgspec.Struct, frozen=True):
    """Topic `config.status`: which version is in force on a host, and where it is from."""

    host: HostId
    zone: ZoneId
    version: ConfigVersion
    digest: str
    source: str
    in_force_ms: int
    """How long it has been in force."""
    confirmed_ms: int
    """How long ago the table confirmed that there is no later one; -1 for never."""


class ConfigurationKeeper:
    """Holds the version in force. Reads are answered from memory."""

    def __init__(self, context: DaemonContext) -> None:
        self._context = context
        self._whole = make_empty_whole()
        self._configuration = EMPTY_CONFIGURATION
        self._known = False
        self._source = "none yet"
        self._taken_at = read_instant()
        self._confirmed_at: Instant | None = None
        self._changes: deque[ConfigChange] = deque(maxlen=REMEMBERED_CHANGES)
        self._watchers: list[Callable[[], None]] = []
        self._next_peer = 0
        context.bus.handle(NEWS_TOPIC, self._answer_news)
        context.bus.handle(GET_TOPIC, self._answer_query)
        context.bus.handle(STATUS_TOPIC, self._answer_status)

    def get_current(self) -> CellConfiguration:
        """Return the configuration in force; an empty one before the first was accepted."""
        return self._configuration

    def get_version(self) -> ConfigVersion:
        """Return its version; 0 for none."""
        return self._whole.version

    def get_whole(self) -> WholeConfig:
        """Return the version in force with its document."""
        return self._whole

    def is_known(self) -> bool:
        """Return whether this process has seen the configuration, be it that there is none."""
        return self._known

    def watch(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each new version."""
        self._watchers.append(callback)

    async def run(self) -> None:
        """Look for later versions until cancelled."""
        while True:
            await self.look()
            await asyncio.sleep(LOOK_SECONDS)

    async def look(self) -> None:
        """Take what is new from the table or, while it is away, from the peers of the zone."""
        try:
            await self._look_at_table()
        except Unavailable:
            await self._look_at_peers()
        except (msgspec.DecodeError, InvalidConfiguration) as error:
            log_warning_event(Event.CONFIG_UNREADABLE, error=str(error))

    def take_change(self, change: ConfigChange, source: str) -> bool:
        """Put the change in force if it is the next one; return whether it, or more, is now.

        Raises `PatchMismatch` if it does not follow from the version held here.
        """
        if change.version <= self._whole.version:
            return True
        if change.version != self._whole.version + 1:
            return False
        document = apply_change(self._whole.document, change)
        whole = WholeConfig(
            change.version, change.digest, change.operator, change.at, change.text, document
        )
        self.take_whole(whole, source)
        self._changes.append(change)
        return True

    def take_whole(self, whole: WholeConfig, source: str) -> None:
        """Put a whole version in force if it is higher than the present one."""
        if whole.version <= self._whole.version:
            return
        self._configuration = read_configuration(whole.document)
        if whole.version != self._whole.version + 1:
            self._changes.clear()
        self._whole = whole
        self._known = True
        self._source = source
        self._taken_at = read_instant()
        log_event(Event.CONFIG_IN_FORCE, version=whole.version, source=source)
        for callback in self._watchers:
            callback()

    async def spread(self, change: ConfigChange) -> tuple[HostId, ...]:
        """Tell all hosts of a version accepted here; return those that have it in force."""
        own_zone = self._context.settings.zone
        zones = [zone for zone in self._context.directory.list_zones() if zone != own_zone]
        replies = await asyncio.gather(
            self._tell_zone_peers(change), *(self._tell_zone(zone, change) for zone in zones)
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

    async def _look_at_table(self) -> None:
        (row,) = await self._context.table.read((HEAD_ROW,), TABLE_SECONDS)
        self._confirmed_at = read_instant()
        if not row.value:
            self._known = True
            return
        head = msgspec.json.decode(row.value, type=ConfigHead)
        if head.version <= self._whole.version:
            return
        if self._whole.version and await self._catch_up_from_peers(head.version):
            return
        (current,) = await self._context.table.read((CURRENT_ROW,), TABLE_SECONDS)
        self.take_whole(msgspec.json.decode(current.value, type=WholeConfig), "table")

    async def _catch_up_from_peers(self, version: ConfigVersion) -> bool:
        # A peer of the zone answers with patches, which are cheaper than the table's whole.
        peer = self._choose_zone_peer()
        if peer is not None:
            await self._fetch(peer)
        return self._whole.version >= version

    async def _look_at_peers(self) -> None:
        if self._known:
            peer = self._choose_zone_peer()
            if peer is not None:
                await self._fetch(peer)
            return
        # A process that has seen nothing yet asks all of its zone, and takes the highest version,
        # so that one stale peer does not set it back.
        peers = self._context.directory.list_entry_hosts(self._context.settings.zone)
        await asyncio.gather(*(self._fetch(HostId(peer.host)) for peer in peers))

    def _choose_zone_peer(self) -> HostId | None:
        peers = self._context.directory.list_entry_hosts(self._context.settings.zone)
        if not peers:
            return None
        self._next_peer = (self._next_peer + 1) % len(peers)
        return HostId(peers[self._next_peer].host)

    async def _fetch(self, peer: HostId) -> None:
        """Take from `peer` whatever is later than what is held here."""
        query = ConfigQuery(self._whole.version)
        try:
            answer = await self._context.bus.ask(peer, GET_TOPIC, query, ConfigAnswer, PEER_SECONDS)
            if answer.whole is not None:
                self.take_whole(answer.whole, peer)
            for change in answer.changes:
                self.take_change(change, peer)
            self._known = self._known or answer.known
        except InvalidConfiguration as error:
            log_warning_event(Event.CONFIG_UNREADABLE, peer=peer, error=str(error))
        except LentilpathError:
            # The table or the next peer will tell.
            return

    async def _tell_zone(self, zone: ZoneId, change: ConfigChange) -> tuple[HostId, ...]:
        for peer in self._context.directory.list_entry_hosts(zone):
            hosts = await self._tell(HostId(peer.host), ConfigNews(change, relay=True))
            if hosts:
                return hosts
        return ()

    async def _tell_zone_peers(self, change: ConfigChange) -> tuple[HostId, ...]:
        peers = self._context.directory.list_entry_hosts(self._context.settings.zone)
        news = ConfigNews(change, relay=False)
        replies = await asyncio.gather(*(self._tell(HostId(peer.host), news) for peer in peers))
        return tuple(host for reply in replies for host in reply)

    async def _tell(self, host: HostId, news: ConfigNews) -> tuple[HostId, ...]:
        # A relay waits for the hosts of its own zone, so it needs more time than they do.
        timeout = PEER_SECONDS * (2 if news.relay else 1)
        try:
            reply = await self._context.bus.ask(host, NEWS_TOPIC, news, NewsReply, timeout)
        except LentilpathError:
            return ()
        return reply.hosts

    async def _ask_status(self, host: HostId) -> ConfigStatus | None:
        try:
            return await self._context.bus.ask(host, STATUS_TOPIC, None, ConfigStatus, PEER_SECONDS)
        except LentilpathError:
            return None

    async def _answer_news(self, request: PeerRequest) -> NewsReply:
        news = msgspec.convert(request.body, ConfigNews)
        hosts: tuple[HostId, ...] = ()
        try:
            if not self.take_change(news.change, request.sender):
                await self._fetch(request.sender)
        except PatchMismatch:
            await self._fetch(request.sender)
        except InvalidConfiguration as error:
            log_warning_event(Event.CONFIG_UNREADABLE, peer=request.sender, error=str(error))
        if self._whole.version >= news.change.version:
            hosts = (self._context.settings.host,)
        if news.relay:
            hosts = (*hosts, *await self._tell_zone_peers(news.change))
        return NewsReply(hosts)

    async def _answer_query(self, request: PeerRequest) -> ConfigAnswer:
        since = msgspec.convert(request.body, ConfigQuery).since
        if since >= self._whole.version:
            return ConfigAnswer(self._known)
        changes = tuple(change for change in self._changes if change.version > since)
        if changes and changes[0].version == since + 1:
            return ConfigAnswer(self._known, changes)
        return ConfigAnswer(self._known, whole=self._whole)

    async def _answer_status(self, request: PeerRequest) -> ConfigStatus:
        return self._get_status()

    def _get_status(self) -> ConfigStatus:
        now = read_instant()
        confirmed_at = self._confirmed_at
        return ConfigStatus(
            self._context.settings.host,
            self._context.settings.zone,
            self._whole.version,
            self._whole.digest,
            self._source,
            now - self._taken_at,
            -1 if confirmed_at is None else now - confirmed_at,
        )


def create_configuration(context: DaemonContext) -> ConfigurationKeeper:
    """Return the keeper of this host's configuration; its `run` is supervised by `Operators`."""
    return ConfigurationKeeper(context)


def make_empty_whole() -> WholeConfig:
    """Return version 0, which stands before the first accepted one."""
    digest = digest_document(EMPTY_DOCUMENT)
    return WholeConfig(ConfigVersion(0), digest, "", WallTime(0), "", EMPTY_DOCUMENT)


def encode_head(version: ConfigVersion, digest: str) -> str:
    """Return the value of the head row."""
    return msgspec.json.encode(ConfigHead(version, digest)).decode()


def encode_message(message: Any) -> str:
    """Return the row value of a message."""
    return msgspec.json.encode(message).decode()

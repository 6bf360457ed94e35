"""The state of one runner on this host: health, shares of its slots, and connections."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from lentilpath_core.ids import HostId, Instant, ZoneId
from lentilpath_core.requests.policy import RequestPolicy
from lentilpath_core.requests.routing import RunnerHealth, apply_slow_start, is_in_pool
from lentilpath_core.requests.shares import NO_SHARE, BorrowedShare, HomeLedger, Share
from lentilpathd._adapters.upstream import RunnerConnection, RunnerRefused, connect_runner
from lentilpathd._clock import read_instant
from lentilpathd._ports import ListedHost

CONNECT_TIMEOUT_SECONDS = 1.0
CONNECTION_HEADROOM_FACTOR = 2
"""Divides the connections of each slot.

A runner may keep a connection open for a while after this host has closed it. With 2, half of the
connections are used and the other half is reserved for such lingering ones.
"""


@dataclass(frozen=True, slots=True, eq=False)
class AcquiredSlot:
    """A slot acquired for one request; `lender` is `None` for a slot of this host's own share."""

    runner: Runner
    lender: HostId | None


@dataclass(slots=True, eq=False)
class Runner:
    """One listed runner with the slots and connections that this host uses."""

    listed: ListedHost
    health: RunnerHealth
    policy: RequestPolicy
    home: Share = NO_SHARE
    home_quarantine_ends_at: Instant = Instant(0)
    """Until then, requests of this host's previous incarnation may still use the home slots."""
    ledger: HomeLedger = field(default_factory=HomeLedger)
    home_in_use: int = 0
    borrowed: dict[HostId, BorrowedShare] = field(default_factory=dict)
    idle: list[RunnerConnection] = field(default_factory=list)
    open_connections: int = 0
    lingering_until: deque[Instant] = field(default_factory=deque)
    """For each connection that may linger, until when it counts against the limit; ascending."""

    @property
    def zone(self) -> ZoneId:
        """The runner's zone."""
        return self.listed.zone

    def count_in_use(self) -> int:
        """Return how many slots requests of this host use."""
        in_use = self.home_in_use
        for share in self.borrowed.values():
            in_use += share.in_use
        return in_use

    def count_home_slots(self, now: Instant) -> int:
        """Return how many home slots are not lent to other hosts."""
        if now < self.home_quarantine_ends_at:
            return 0
        return self.home.slots - self.ledger.count_lent(now, self.policy.max_run_ms)

    def count_slots(self, now: Instant) -> int:
        """Return how many slots this host may use at `now`, used or free."""
        slots = max(0, self.count_home_slots(now))
        for share in self.borrowed.values():
            slots += max(share.in_use, share.slots if now < share.lease_ends_at else 0)
        return slots

    def has_free_slot(self, now: Instant) -> bool:
        """Return whether a request may be sent to this runner at `now`."""
        if not is_in_pool(self.health, now):
            return False
        slots = self.count_slots(now)
        if self.count_in_use() >= apply_slow_start(self.health, slots, self.policy, now):
            return False
        if not self.idle and self.open_connections >= self._limit_connections(now):
            return False
        return self._find_free_share(now) is not None

    def acquire_slot(self, now: Instant) -> AcquiredSlot:
        """Acquire a free slot; call only if `has_free_slot` returned true."""
        free = self._find_free_share(now)
        assert free is not None
        if free.lender is None:
            self.home_in_use += 1
        else:
            self.borrowed[free.lender].in_use += 1
        return free

    def release_slot(self, slot: AcquiredSlot) -> None:
        """Release an acquired slot."""
        if slot.lender is None:
            self.home_in_use -= 1
        else:
            self.borrowed[slot.lender].in_use -= 1

    async def acquire_connection(self) -> RunnerConnection:
        """Return an idle connection or open a new one; raises `RunnerRefused`."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable():
                return connection
            self.discard_connection(connection, may_linger=False)
        if self.open_connections >= self._limit_connections(read_instant()):
            raise RunnerRefused(f"{self.listed.name}: no connection is left", reached=False)
        self.open_connections += 1
        try:
            return await connect_runner(
                self.listed.address, CONNECT_TIMEOUT_SECONDS, read_instant()
            )
        except BaseException:
            self.open_connections -= 1
            raise

    def release_connection(self, connection: RunnerConnection, now: Instant) -> None:
        """Keep a reusable connection idle for the next request, or close a surplus one."""
        if connection.is_usable() and len(self.idle) < self.count_slots(now):
            connection.verified_at = now
            self.idle.append(connection)
        else:
            self.discard_connection(connection, may_linger=False)

    def discard_connection(self, connection: RunnerConnection, *, may_linger: bool) -> None:
        """Close a connection.

        With `may_linger` it counts against the limit for another `connection_linger_ms`, because
        the runner may keep its end open.
        """
        connection.close()
        self.open_connections -= 1
        if may_linger:
            lingers_until = Instant(read_instant() + self.policy.connection_linger_ms)
            self.lingering_until.append(lingers_until)

    def close(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.discard_connection(self.idle.pop(), may_linger=False)

    def _limit_connections(self, now: Instant) -> int:
        while self.lingering_until and self.lingering_until[0] <= now:
            self.lingering_until.popleft()
        if self.listed.slots == 0:
            return 0
        connections_per_slot = (
            self.listed.connections // self.listed.slots // CONNECTION_HEADROOM_FACTOR
        )
        slots = self.home.slots + sum(share.slots for share in self.borrowed.values())
        return slots * max(1, connections_per_slot) - len(self.lingering_until)

    def _find_free_share(self, now: Instant) -> AcquiredSlot | None:
        if self.home_in_use < self.count_home_slots(now):
            return AcquiredSlot(self, None)
        for lender, share in self.borrowed.items():
            if share.count_free(now) > 0:
                return AcquiredSlot(self, lender)
        return None

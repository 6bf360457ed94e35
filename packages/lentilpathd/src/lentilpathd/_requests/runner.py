"""One runner as this host sees it: its health, this host's part of its slots, its connections."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from lentilpath_core.ids import HostId, Instant, ZoneId
from lentilpath_core.requests.policy import RequestPolicy
from lentilpath_core.requests.routing import RunnerHealth, is_in_pool, limit_new_runner
from lentilpath_core.requests.shares import NO_SHARE, BorrowedShare, HomeLedger, Share
from lentilpathd._adapters.upstream import RunnerConnection, RunnerRefused, connect_runner
from lentilpathd._clock import read_instant
from lentilpathd._ports import ListedHost

CONNECT_TIMEOUT_SECONDS = 1.0
LINGERING_PARTS = 2
"""One part of a slot's connections is used; the other is left for ones that linger."""


@dataclass(frozen=True, slots=True, eq=False)
class SlotHold:
    """A slot taken for one request; `lender` is `None` for a slot of this host's own."""

    runner: Runner
    lender: HostId | None


@dataclass(slots=True, eq=False)
class Runner:
    """One listed runner."""

    listed: ListedHost
    health: RunnerHealth
    policy: RequestPolicy
    home: Share = NO_SHARE
    home_opens_at: Instant = Instant(0)
    """Before this, a former process of this host may still use the share."""
    ledger: HomeLedger = field(default_factory=HomeLedger)
    home_in_use: int = 0
    borrowed: dict[HostId, BorrowedShare] = field(default_factory=dict)
    idle: list[RunnerConnection] = field(default_factory=list)
    open_connections: int = 0
    lingering: deque[Instant] = field(default_factory=deque)
    """When connections that this end closed are gone at the runner too."""

    @property
    def zone(self) -> ZoneId:
        """The runner's zone."""
        return self.listed.zone

    def count_in_use(self) -> int:
        """Return the slots that requests of this host hold."""
        in_use = self.home_in_use
        for share in self.borrowed.values():
            in_use += share.in_use
        return in_use

    def count_home_slots(self, now: Instant) -> int:
        """Return the home slots that are not lent."""
        if now < self.home_opens_at:
            return 0
        return self.home.slots - self.ledger.count_lent(now, self.policy.max_run_ms)

    def count_slots(self, now: Instant) -> int:
        """Return the slots that this host may use at `now`, used or free."""
        slots = max(0, self.count_home_slots(now))
        for share in self.borrowed.values():
            slots += max(share.in_use, share.slots if now < share.begin_until else 0)
        return slots

    def has_free_slot(self, now: Instant) -> bool:
        """Return whether a request may begin here at `now`."""
        if not is_in_pool(self.health, now):
            return False
        slots = self.count_slots(now)
        if self.count_in_use() >= limit_new_runner(self.health, slots, self.policy, now):
            return False
        if not self.idle and self.open_connections >= self._limit_connections(now):
            return False
        return self._find_free_share(now) is not None

    def take_slot(self, now: Instant) -> SlotHold:
        """Take a free slot; call only after `has_free_slot`."""
        free = self._find_free_share(now)
        assert free is not None
        if free.lender is None:
            self.home_in_use += 1
        else:
            self.borrowed[free.lender].in_use += 1
        return free

    def return_slot(self, hold: SlotHold) -> None:
        """Give a slot back."""
        if hold.lender is None:
            self.home_in_use -= 1
        else:
            self.borrowed[hold.lender].in_use -= 1

    async def take_connection(self) -> RunnerConnection:
        """Return a free connection, a new one if need be; raises `RunnerRefused`."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable():
                return connection
            self.drop_connection(connection, lingers=False)
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

    def return_connection(self, connection: RunnerConnection, now: Instant) -> None:
        """Keep a connection that carried a whole answer for the next request."""
        if connection.is_usable() and len(self.idle) < self.count_slots(now):
            connection.proved_at = now
            self.idle.append(connection)
        else:
            self.drop_connection(connection, lingers=False)

    def drop_connection(self, connection: RunnerConnection, *, lingers: bool) -> None:
        """Close a connection; one that `lingers` may stay open at the runner for a while."""
        connection.close()
        self.open_connections -= 1
        if lingers:
            gone_at = Instant(read_instant() + self.policy.connection_linger_ms)
            self.lingering.append(gone_at)

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.drop_connection(self.idle.pop(), lingers=False)

    def _limit_connections(self, now: Instant) -> int:
        while self.lingering and self.lingering[0] <= now:
            self.lingering.popleft()
        if self.listed.slots == 0:
            return 0
        for_each_slot = self.listed.connections // self.listed.slots // LINGERING_PARTS
        slots = self.home.slots + sum(share.slots for share in self.borrowed.values())
        return slots * max(1, for_each_slot) - len(self.lingering)

    def _find_free_share(self, now: Instant) -> SlotHold | None:
        if self.home_in_use < self.count_home_slots(now):
            return SlotHold(self, None)
        for lender, share in self.borrowed.items():
            if share.count_free(now) > 0:
                return SlotHold(self, lender)
        return None

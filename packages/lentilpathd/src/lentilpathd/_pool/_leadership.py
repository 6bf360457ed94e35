"""Leader election by a lease row in the platform's table, taken over once the lease has expired."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec

from lentilpath_core.errors import OutcomeUnknown, Unavailable
from lentilpath_core.ids import Epoch, HostId, Incarnation, Instant, RowVersion
from lentilpath_core.settings import Address
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._pool._lease_watch import POLL_INTERVAL_MS, LeaseWatch
from lentilpathd._pool._ports import Deposed, PartitionTransaction, SharedTable
from lentilpathd._pool._records import (
    EPOCH_KEY,
    LEADER_KEYS_END,
    LEASE_KEY,
    POOL_PARTITION,
    POOL_TABLE,
    EpochRow,
    LeaseRow,
    decode_record,
    encode_record,
)
from lentilpathd._pool._renewals import OpenRenewals, Renewal
from lentilpathd._pool._settling import RepeatedCommit, commit_repeatedly
from lentilpathd._pool._succession import (
    LeaderProcess,
    LeadershipSnapshot,
    decode_snapshot,
    find_sole_leader,
    has_sole_leader_ended,
    may_take_over,
)
from lentilpathd._pool._table_clock import TableClock

LEASE_MS = 1_500
"""A leader that does not renew its lease for this long may be replaced. Three renewals fit in it,
or the answers to two while the table is becoming 80 times slower."""
SLOW_LEASE_MS = 2_000
"""The same while the table is slow: two renewals while it is 100 times slower than usual."""
RENEW_INTERVAL_MS = 450
"""Three renewals fit in a lease."""
SLOW_RENEW_INTERVAL_MS = 1_000
"""The same while the table is slow, or has not yet answered a transaction that renews the lease
beside its records. Each renewal delays the records that wait in the same partition."""
SLOW_RENEWAL_MS = 200
"""A table is slow if it takes this long for a renewal, 20 times as long as usual."""
SLOW_HOST_WAIT_MS = 800
"""Extra delay before a slow host takes over if it knows of much faster hosts: two of their polling
intervals and a transaction."""
ROW_TIMEOUT_SECONDS = 1.5
"""Enough for a transaction while the table is 100 times slower than usual."""


class PoolLeadership:
    """Polls the leadership rows, takes over a free leadership and renews its lease."""

    def __init__(
        self,
        table: SharedTable,
        host: HostId,
        incarnation: Incarnation,
        address: Address,
        knows_faster_host: Callable[[HostId | None], bool] = lambda leader: False,
    ) -> None:
        self._table = table
        self._knows_faster_host = knows_faster_host
        self._host = host
        self._incarnation = incarnation
        self._address = address
        self._clock = TableClock()
        self.epoch_version = RowVersion(0)
        self._confirmed_until = Instant(0)
        self._renewed_at = Instant(0)
        self._renewal_ms = 0
        """Duration of the last renewal."""
        self._is_renewal_carried = False
        """Whether a transaction is in flight that renews the lease beside its records."""
        self.is_sole = False
        """Whether no leader before this one can act any more; stored with each renewal."""
        self.succeeds_sole_leader = False
        """Whether no leader before the last takeover can act any more."""
        self.suspends_since = 0
        """What the lease of the leader before the last takeover says of this."""
        self.identifies_since = 0
        """The same."""
        self.holds_since = 0
        """The same."""
        self.former_leader: LeaderProcess | None = None
        """The process that led before the last takeover, if none before it can act any more."""
        self._renewals = OpenRenewals()
        self._watch = LeaseWatch()
        self._next_log_at = Instant(0)
        """When the next confirmation of the lease is logged."""

    @property
    def snapshot(self) -> LeadershipSnapshot | None:
        """The leadership rows as they were last read."""
        return self._watch.snapshot

    def is_confirmed(self, now: Instant) -> bool:
        """Return whether the lease is certainly still held, so that nobody else has taken over."""
        return now < self._confirmed_until

    def get_unconfirmed_ms(self, now: Instant) -> int:
        """Return for how long, in ms, the lease has not been confirmed; 0 if it is."""
        return max(0, now - self._confirmed_until)

    def get_confirmed_ms(self, now: Instant) -> int:
        """Return for how long, in ms, the lease is confirmed; below 0 if it was until before."""
        return self._confirmed_until - now

    def _confirm(self, renewal: Renewal, version: RowVersion, now: Instant) -> None:
        until = Instant(renewal.sent_at + renewal.counted_ms)
        self._confirmed_until = max(self._confirmed_until, until)
        if now >= self._next_log_at:
            self._next_log_at = Instant(now + RENEW_INTERVAL_MS)
            log_event(
                Event.LEASE_CONFIRMED,
                version=version,
                until_ms=renewal.until_ms,
                confirmed_ms=self._confirmed_until - now,
            )

    def convert_to_table_clock(self, at: Instant, now: Instant) -> int:
        """Return a time in ms that the table service's clock does not reach before `at`."""
        return self._clock.convert(at, now)

    async def acquire(self) -> Epoch:
        """Wait until this process has become the leader; return its epoch."""
        while True:
            snapshot = await self._read_snapshot()
            if snapshot is None or not self._may_take_over_now(snapshot, read_instant()):
                await asyncio.sleep(self._watch.find_delay(read_instant()) / MS_PER_SECOND)
            # A takeover depends on the version that was read, so it needs no further read.
            if snapshot is not None and self._may_take_over_now(snapshot, read_instant()):
                epoch = await self._take_over(snapshot)
                if epoch is not None:
                    return epoch
                await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_SECOND)

    def _may_take_over_now(self, snapshot: LeadershipSnapshot, now: Instant) -> bool:
        leader = snapshot.lease.host if snapshot.lease is not None else None
        wait_ms = SLOW_HOST_WAIT_MS if self._knows_faster_host(leader) else 0
        return may_take_over(
            snapshot,
            self._host,
            self._address,
            self._watch.get_unchanged_ms(now),
            self._watch.get_watched_ms(now),
            wait_ms,
        )

    async def _read_snapshot(self) -> LeadershipSnapshot | None:
        sent_at = read_instant()
        try:
            read = await self._table.read_partition(
                POOL_TABLE, POOL_PARTITION, EPOCH_KEY[0], LEADER_KEYS_END, ROW_TIMEOUT_SECONDS
            )
            snapshot = decode_snapshot(read)
        except (Unavailable, OutcomeUnknown) as error:
            log_event(Event.LEADER_NOT_READ, error=str(error))
            # While the table is away the leader cannot renew either. Once it is back, the leader
            # needs time to do so.
            self._watch.note_failure()
            return None
        now = read_instant()
        self._clock.observe(read.clock_ms, sent_at, now)
        self._watch.observe(snapshot, sent_at, now)
        return snapshot

    async def _take_over(self, snapshot: LeadershipSnapshot) -> Epoch | None:
        self.is_sole = False
        self.succeeds_sole_leader = has_sole_leader_ended(snapshot, self._host, self._address)
        self.former_leader = find_sole_leader(snapshot)
        lease = snapshot.lease
        self.suspends_since = lease.suspends_since if lease is not None else 0
        self.identifies_since = lease.identifies_since if lease is not None else 0
        self.holds_since = lease.holds_since if lease is not None else 0
        epoch = Epoch(snapshot.epoch + 1)
        log_event(
            Event.TAKEOVER_TRIED,
            epoch=epoch,
            leader=lease.host if lease is not None else None,
            version=snapshot.lease_version,
            until_ms=lease.until_ms if lease is not None else None,
            clock_ms=snapshot.clock_ms,
            unchanged_ms=self._watch.get_unchanged_ms(read_instant()),
        )
        # Whatever an earlier term of this process has sent depends on an earlier epoch.
        self._renewals = OpenRenewals()
        renewal = self.make_renewal(epoch)
        row = EpochRow(epoch, self._host, self._incarnation)
        transaction = PartitionTransaction(
            POOL_TABLE,
            POOL_PARTITION,
            # A renewal that was on its way when the lease was read keeps the leader in place.
            checks=(
                (EPOCH_KEY, snapshot.epoch_version),
                (LEASE_KEY, snapshot.lease_version),
            ),
            puts=((EPOCH_KEY, encode_record(row)), renewal.put),
        )
        try:
            commit = await self._table.commit(transaction, ROW_TIMEOUT_SECONDS)
        except Unavailable as error:
            log_event(Event.LEADER_NOT_READ, error=str(error))
            return None
        except OutcomeUnknown:
            # Once it is done it cannot be done again, since it has changed the epoch.
            self._renewals.close(renewal, may_be_done_later=False)
            return await self._verify_takeover(epoch)
        if not commit.applied:
            return None
        self.epoch_version = commit.version
        self.record_renewal(renewal, RepeatedCommit(commit, may_be_done_later=False))
        return epoch

    async def _verify_takeover(self, epoch: Epoch) -> Epoch | None:
        """Find out whether a takeover of unknown outcome was applied.

        If it is applied later, it looks like a leader that never renews and is replaced.
        """
        try:
            read = await self._table.read_partition(
                POOL_TABLE, POOL_PARTITION, EPOCH_KEY[0], LEADER_KEYS_END, ROW_TIMEOUT_SECONDS
            )
        except (Unavailable, OutcomeUnknown) as error:
            log_event(Event.TAKEOVER_UNCLEAR, epoch=epoch, error=str(error))
            return None
        for row in read.rows:
            if row.key == EPOCH_KEY:
                try:
                    found = decode_record(row.value, EpochRow)
                except msgspec.DecodeError as error:
                    log_warning_event(Event.ROW_UNREADABLE, key=row.key, error=error)
                    continue
                if found.epoch == epoch and found.incarnation == self._incarnation:
                    self.epoch_version = row.version
                    return epoch
        log_event(
            Event.TAKEOVER_UNCLEAR,
            epoch=epoch,
            error="the takeover is not in the table, or not yet",
        )
        return None

    def _find_since(self, epoch: Epoch, inherited: int) -> int:
        """Return since when all leaders that may act are of releases that keep to a rule.

        `inherited` is what the leader before this one knew of it.
        """
        return inherited or (epoch if self.is_sole else 0)

    def _make_lease(
        self, epoch: Epoch, until_ms: int, successor: str = "", lease_ms: int = 0
    ) -> LeaseRow:
        return LeaseRow(
            epoch,
            self._host,
            self._address,
            until_ms,
            successor,
            self.is_sole,
            self._find_since(epoch, self.suspends_since),
            self._find_since(epoch, self.identifies_since),
            self._find_since(epoch, self.holds_since),
            lease_ms,
        )

    def make_renewal(self, epoch: Epoch) -> Renewal:
        """Return a renewed lease, for a transaction that is sent at once."""
        now = self._renewed_at = read_instant()
        lease_ms = SLOW_LEASE_MS if self.is_table_slow() else LEASE_MS
        until_ms = self._clock.estimate(now) + lease_ms
        lease = self._make_lease(epoch, until_ms, lease_ms=lease_ms)
        renewal = Renewal((LEASE_KEY, encode_record(lease)), now, lease_ms, until_ms)
        self._renewals.open(renewal)
        self._confirmed_until = min(self._confirmed_until, Instant(now + lease_ms))
        return renewal

    @contextmanager
    def carry_renewal(self, epoch: Epoch) -> Iterator[Renewal]:
        """Return a renewed lease for a transaction that ends within the context.

        Its answer is recorded there too. No renewal is sent beside it meanwhile, which would wait
        in the same partition.
        """
        self._is_renewal_carried = True
        try:
            with self._open_renewal(epoch) as renewal:
                yield renewal
        finally:
            self._is_renewal_carried = False

    @contextmanager
    def _open_renewal(self, epoch: Epoch) -> Iterator[Renewal]:
        renewal = self.make_renewal(epoch)
        try:
            yield renewal
        except Unavailable:
            self._renewals.close(renewal, may_be_done_later=False)
            raise
        except BaseException:
            self._renewals.close(renewal, may_be_done_later=True)
            raise

    def record_renewal(self, renewal: Renewal, commit: RepeatedCommit) -> None:
        """Record the answer to a transaction with a renewal."""
        now = read_instant()
        self._renewals.close(renewal, commit.may_be_done_later)
        self._renewal_ms = now - renewal.sent_at
        self._clock.observe(commit.result.clock_ms, renewal.sent_at, now)
        if commit.result.applied:
            self._confirm(renewal, commit.result.version, now)

    async def renew_forever(self, epoch: Epoch) -> None:
        """Renew the lease until another leader is found; raises `Deposed`.

        Transactions of records renew it as well, so this only renews between them. While the table
        is unreachable the process goes on leading, as far as the workers that it reaches allow.
        """
        while True:
            due_ms = self._find_renewal_due() - read_instant()
            if due_ms > 0:
                await asyncio.sleep(min(due_ms, RENEW_INTERVAL_MS) / MS_PER_SECOND)
                continue
            await self._write_lease(epoch)

    def _find_renewal_due(self) -> Instant:
        is_slow = self._is_renewal_carried or self.is_table_slow()
        interval_ms = SLOW_RENEW_INTERVAL_MS if is_slow else RENEW_INTERVAL_MS
        return Instant(self._renewed_at + interval_ms)

    def is_table_slow(self) -> bool:
        """Return whether the table was slow to answer this leader's last renewal."""
        return self._renewal_ms >= SLOW_RENEWAL_MS

    async def release(self, epoch: Epoch, successor: HostId | None = None) -> None:
        """Release the lease for an immediate takeover, by `successor` first if it is given."""
        self._confirmed_until = min(self._confirmed_until, read_instant())
        row = EpochRow(epoch, self._host, self._incarnation)
        lease = self._make_lease(epoch, 0, successor or "")
        # The new version of the epoch's row keeps late renewals from taking the release back.
        puts = ((EPOCH_KEY, encode_record(row)), (LEASE_KEY, encode_record(lease)))
        try:
            commit = await self._commit(puts)
        except (Unavailable, OutcomeUnknown) as error:
            log_warning_event(Event.LEASE_NOT_RENEWED, epoch=epoch, error=str(error))
            return
        # A copy of the release that got no answer makes a later copy fail.
        if not commit.result.applied and not commit.may_be_done_later:
            raise Deposed(f"epoch {epoch} was superseded by another leader")

    async def _write_lease(self, epoch: Epoch) -> None:
        try:
            with self._open_renewal(epoch) as renewal:
                commit = await self._commit((renewal.put,))
                self.record_renewal(renewal, commit)
        except (Unavailable, OutcomeUnknown) as error:
            log_warning_event(Event.LEASE_NOT_RENEWED, epoch=epoch, error=str(error))
            return
        if not commit.result.applied:
            raise Deposed(f"epoch {epoch} was superseded by another leader")

    async def _commit(self, puts: tuple[tuple[str, bytes], ...]) -> RepeatedCommit:
        transaction = PartitionTransaction(
            POOL_TABLE, POOL_PARTITION, checks=((EPOCH_KEY, self.epoch_version),), puts=puts
        )
        # While the direct path is silent, a relay may still renew the lease before it expires.
        return await commit_repeatedly(self._table, transaction, ROW_TIMEOUT_SECONDS)

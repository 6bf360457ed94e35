"""Access to the table service: directly, or through a relay host whose direct path works.

Handles outages in which the table serves only some hosts, or none, while callers keep sending
requests. A call that cannot be served fails fast, without being sent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from lentilpath_core.errors import (
    LentilpathError,
    OutcomeUnknown,
    PeerNotReached,
    TableBusy,
    TableUnavailable,
    WriteRejected,
)
from lentilpath_core.ids import HostId, Instant, RowVersion
from lentilpath_core.peers import PeerRequest
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._metrics import Metric
from lentilpathd._peers import PeerBus
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._ports import (
    HistoryLost,
    PartitionCommitResult,
    PartitionedTable,
    PartitionRows,
    PartitionTransaction,
)
from lentilpathd._pool._records import EPOCH_KEY, LEADER_KEYS_END, POOL_PARTITION, POOL_TABLE
from lentilpathd._pool._relay_messages import (
    RelayCommit,
    RelayedRow,
    RelayRead,
    RelayReply,
    RelayRequest,
    make_rows,
)

T = TypeVar("T")

RELAY_TOPIC = "pool.table"
PROBE_INTERVAL_SECONDS = 0.25
"""Limits each host to four probes a second, of the 2,000 calls a second that all hosts may make."""
PROBE_TIMEOUT_SECONDS = 0.8
"""Enough for a read while the table is 100 times slower than its usual 4 ms. Probes overlap, so one
that was sent into an outage does not delay the next."""
FAILURE_THRESHOLD = 2.0
"""A single call may get lost; the direct path counts as down when a second call in a row fails."""
RECENT_RESPONSE_MS = 1_000
"""A table that has answered any call within this time is slow rather than unreachable: followers
read the leadership rows three times in it, and a read may be 100 times slower than its usual
4 ms."""
BUSY_FAILURE_WEIGHT = 0.5
"""A rejection for too many calls is still a response, so it counts less than a failure."""
RELAY_BACKOFF_MS = 400
"""No relaying for this long after no relay could serve a call; about two probes."""
RELAY_SILENCE_MS = 2_000
"""A relay that did not answer is left out for this long. A write sent to a dead host has an unknown
outcome until the membership notices that the host is dead, which takes three heartbeats."""
MAX_RELAY_ATTEMPTS = 2
"""Each attempt takes up to the whole timeout; more would exceed a caller's 3 s."""
MIN_COMMIT_TIMEOUT_SECONDS = 0.6
"""Several times the longest round trip to the table, including a transaction."""
MAX_COMMIT_TIMEOUT_SECONDS = 1.5
"""Half of a caller's deadline."""
COMMIT_TIMEOUT_FACTOR = 3.0
"""Response times of a slow table reach this multiple of their mean."""
LATENCY_SMOOTHING = 0.1
"""Weight of a new sample in the exponential moving average of commit times."""


class LateAnswerLost(OutcomeUnknown):
    """A write was late and never answered; it was counted as a failure when it became late."""


class TablePath:
    """Implements `SharedTable` over this host's direct path or a relay host's.

    A circuit breaker switches to relays while the direct path is down.
    """

    def __init__(
        self,
        direct: PartitionedTable,
        bus: PeerBus,
        list_relay_hosts: Callable[[Instant], tuple[HostId, ...]],
        metrics: PoolMetrics,
    ) -> None:
        self._direct = direct
        self._bus = bus
        self._list_relay_hosts = list_relay_hosts
        self._metrics = metrics
        self._failures = 0.0
        self._direct_down = asyncio.Event()
        self._relay_allowed_at = Instant(0)
        self._mean_commit_seconds = 0.0
        self._answered_at = Instant(0)
        self._failed_call_sent_at = Instant(0)
        self._answered_call_sent_at = Instant(0)
        self._returned_at = Instant(0)
        self._rotation = 0
        self._relay_silent_until: dict[HostId, Instant] = {}
        bus.handle(RELAY_TOPIC, self._handle_relay)

    def is_open(self, now: Instant) -> bool:
        """Return whether the direct path is up, or a relay may be tried."""
        if not self._direct_down.is_set():
            return True
        return now >= self._relay_allowed_at and bool(self._list_relays(now))

    def is_direct_path_up(self) -> bool:
        """Return whether the direct path to the table is up."""
        return not self._direct_down.is_set()

    def get_commit_timeout(self) -> float:
        """Return the timeout for a caller's write in seconds, longer while responses are slow."""
        scaled_seconds = COMMIT_TIMEOUT_FACTOR * self._mean_commit_seconds
        return min(MAX_COMMIT_TIMEOUT_SECONDS, max(MIN_COMMIT_TIMEOUT_SECONDS, scaled_seconds))

    def get_returned_at(self) -> Instant:
        """Return when the direct path last began to work again; 0 if it was never down."""
        return self._returned_at

    async def run(self) -> None:
        """Probe a direct path that is down until it works again, until cancelled."""
        probes: set[asyncio.Task[None]] = set()
        try:
            while True:
                await self._direct_down.wait()
                probe = asyncio.ensure_future(self._probe())
                probes.add(probe)
                probe.add_done_callback(probes.discard)
                await asyncio.wait((probe,), timeout=PROBE_INTERVAL_SECONDS)
                if self._direct_down.is_set() and probe.done():
                    await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        finally:
            for each in probes:
                each.cancel()

    async def _probe(self) -> None:
        sent_at = read_instant()
        try:
            await self._direct.read_partition(
                POOL_TABLE, POOL_PARTITION, EPOCH_KEY, LEADER_KEYS_END, PROBE_TIMEOUT_SECONDS
            )
        except LentilpathError:
            # The outage was logged when it was detected; failed probes are not logged.
            return
        self._record_success(sent_at)

    def _record_success(self, sent_at: Instant) -> None:
        self._answered_at = read_instant()
        if sent_at < self._failed_call_sent_at:
            # A response to a call sent before one that failed does not show that the path works.
            return
        self._answered_call_sent_at = max(self._answered_call_sent_at, sent_at)
        self._failures = 0.0
        if self._direct_down.is_set():
            self._direct_down.clear()
            self._returned_at = self._answered_at
            log_event(Event.TABLE_REACHABLE)

    def _has_answered_recently(self) -> bool:
        return read_instant() < self._answered_at + RECENT_RESPONSE_MS

    def _record_failure(self, error: LentilpathError, sent_at: Instant) -> None:
        if isinstance(error, OutcomeUnknown) and self._has_answered_recently():
            return
        if sent_at < self._answered_call_sent_at:
            # A call that was sent into an outage may fail long after the path has returned.
            return
        if isinstance(error, TableBusy):
            self._failures += BUSY_FAILURE_WEIGHT
        else:
            self._failed_call_sent_at = max(self._failed_call_sent_at, sent_at)
            self._failures += 1.0
        self._metrics.count(Metric.DEPENDENCY_FAILED, "table")
        if self._failures >= FAILURE_THRESHOLD and not self._direct_down.is_set():
            self._direct_down.set()
            log_event(Event.TABLE_UNREACHABLE, error=str(error))

    async def commit(
        self, transaction: PartitionTransaction, timeout: float, prefer_relay: bool = False
    ) -> PartitionCommitResult:
        """Apply all of the transaction or nothing; see `SharedTable`.

        With `prefer_relay` a relay is tried first, even while the direct path counts as up.
        """
        if not self._direct_down.is_set() and not (prefer_relay and self._can_relay()):
            try:
                return await self._commit_directly(transaction, timeout)
            except TableBusy:
                raise
            except TableUnavailable:
                # The transaction had no effect, so a relay may apply it at once.
                if not self._can_relay():
                    raise
        relay_request = RelayRequest(
            commit=RelayCommit(
                transaction.table,
                transaction.part,
                transaction.checks,
                transaction.puts,
                transaction.deletes,
                int(timeout * MS_PER_SECOND),
            )
        )
        reply = await self._relay(relay_request, timeout)
        return PartitionCommitResult(
            reply.outcome == "done", RowVersion(reply.version), reply.clock_ms
        )

    async def _commit_directly(
        self, transaction: PartitionTransaction, timeout: float
    ) -> PartitionCommitResult:
        started_at = read_instant()
        call = self._await_suspiciously(self._direct.commit(transaction, timeout))
        commit = await self._track(call, timeout)
        self._record_commit_time((read_instant() - started_at) / MS_PER_SECOND)
        return commit

    def _can_relay(self) -> bool:
        now = read_instant()
        return now >= self._relay_allowed_at and bool(self._list_relays(now))

    async def read_partition(
        self, table: str, partition: str, first: str, end: str, timeout: float
    ) -> PartitionRows:
        """Return the rows of a partition; see `PartitionedTable`."""
        if not self._direct_down.is_set():
            return await self._track(
                self._direct.read_partition(table, partition, first, end, timeout)
            )
        read = RelayRead(table, partition, first, end, -1, 0, int(timeout * MS_PER_SECOND))
        return make_rows(await self._relay(RelayRequest(read=read), timeout))

    async def follow(
        self, table: str, after: RowVersion, wait_seconds: float, timeout: float
    ) -> PartitionRows:
        """Return changes of a table; see `PartitionedTable`."""
        if not self._direct_down.is_set():
            return await self._track(self._direct.follow(table, after, wait_seconds, timeout))
        wait_ms = int(wait_seconds * MS_PER_SECOND)
        read = RelayRead(table, "", "", "", after, wait_ms, int(timeout * MS_PER_SECOND))
        return make_rows(await self._relay(RelayRequest(read=read), timeout))

    def _record_commit_time(self, seconds: float) -> None:
        self._mean_commit_seconds += LATENCY_SMOOTHING * (seconds - self._mean_commit_seconds)

    async def _await_suspiciously(self, call: Awaitable[T]) -> T:
        """Await a write, and count it as a failure of the path once its answer is late.

        Raises `LateAnswerLost` if it never comes, since the failure has been counted by then.
        """
        late_seconds = self.get_commit_timeout()
        sent_at = read_instant()
        pending = asyncio.ensure_future(call)
        try:
            done, _ = await asyncio.wait((pending,), timeout=late_seconds)
            if done:
                return pending.result()
            if self._has_answered_recently():
                self._mean_commit_seconds = max(self._mean_commit_seconds, late_seconds)
            else:
                self._record_failure(OutcomeUnknown("an answer of the table is late"), sent_at)
            return await pending
        except OutcomeUnknown as error:
            raise (error if pending in done else LateAnswerLost(str(error))) from error
        finally:
            pending.cancel()

    async def _track(self, call: Awaitable[T], commit_timeout: float = 0.0) -> T:
        sent_at = read_instant()
        try:
            result = await call
        except (HistoryLost, WriteRejected):
            self._record_success(sent_at)
            raise
        except LentilpathError as error:
            if not isinstance(error, LateAnswerLost):
                self._record_failure(error, sent_at)
            if isinstance(error, OutcomeUnknown):
                self._mean_commit_seconds = max(self._mean_commit_seconds, commit_timeout)
            raise
        self._record_success(sent_at)
        return result

    def _list_relays(self, now: Instant) -> tuple[HostId, ...]:
        relays = [
            host
            for host in self._list_relay_hosts(now)
            if host != self._bus.host and now >= self._relay_silent_until.get(host, Instant(0))
        ]
        self._rotation += 1
        start = self._rotation % len(relays) if relays else 0
        return (*relays[start:], *relays[:start])

    async def _relay(self, request: RelayRequest, timeout: float) -> RelayReply:
        now = read_instant()
        if now < self._relay_allowed_at:
            raise TableUnavailable("the table is unreachable directly and through relay hosts")
        for host in self._list_relays(now)[:MAX_RELAY_ATTEMPTS]:
            try:
                reply = await self._bus.ask(host, RELAY_TOPIC, request, RelayReply, timeout)
            except LentilpathError as error:
                self._relay_silent_until[host] = Instant(read_instant() + RELAY_SILENCE_MS)
                log_event(Event.RELAY_FAILED, host=host, error=str(error))
                if request.commit is not None and not isinstance(error, PeerNotReached):
                    raise OutcomeUnknown(f"{host} did not answer as a relay: {error}") from error
                continue
            if reply.outcome == "unknown":
                raise OutcomeUnknown(f"{host} got no response from the table")
            if reply.outcome == "invalid":
                raise WriteRejected(f"the table found a write through {host} invalid")
            if reply.outcome == "history-lost":
                raise HistoryLost("the table no longer has the requested changes")
            if reply.outcome != "unavailable":
                return reply
        self._relay_allowed_at = Instant(now + RELAY_BACKOFF_MS)
        raise TableUnavailable("the table is unreachable directly and through relay hosts")

    async def _handle_relay(self, request: PeerRequest) -> RelayReply:
        if self._direct_down.is_set():
            return RelayReply("unavailable")
        relay_request = msgspec.convert(request.body, RelayRequest)
        try:
            if relay_request.commit is not None:
                return await self._serve_commit(relay_request.commit)
            if relay_request.read is not None:
                return await self._serve_read(relay_request.read)
        # Failures are logged by the requesting host, with the id of the request.
        except HistoryLost:
            return RelayReply("history-lost")
        except WriteRejected:
            return RelayReply("invalid")
        except OutcomeUnknown:
            return RelayReply("unknown")
        except LentilpathError:
            return RelayReply("unavailable")
        return RelayReply("unavailable")

    async def _serve_commit(self, request: RelayCommit) -> RelayReply:
        transaction = PartitionTransaction(
            request.table,
            request.part,
            tuple((key, RowVersion(version)) for key, version in request.checks),
            request.puts,
            request.deletes,
        )
        commit = await self._track(
            self._direct.commit(transaction, request.timeout_ms / MS_PER_SECOND)
        )
        outcome = "done" if commit.applied else "rejected"
        return RelayReply(outcome, (), commit.version, commit.clock_ms)

    async def _serve_read(self, request: RelayRead) -> RelayReply:
        timeout = request.timeout_ms / MS_PER_SECOND
        if request.after < 0:
            call = self._direct.read_partition(
                request.table, request.part, request.first, request.end, timeout
            )
        else:
            call = self._direct.follow(
                request.table, RowVersion(request.after), request.wait_ms / MS_PER_SECOND, timeout
            )
        found = await self._track(call)
        rows = tuple(
            RelayedRow(each.part, each.key, each.value, each.version, each.is_deleted)
            for each in found.rows
        )
        return RelayReply("done", rows, found.version, found.clock_ms)

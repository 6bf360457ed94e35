"""Access to the table service: directly, or through a relay host whose direct path works.

Handles outages in which the table serves only some hosts, or none, while callers keep sending
requests. A call that cannot be served fails fast, without being sent.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
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
from lentilpathd._cancellation import start_member
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._metrics import Metric
from lentilpathd._peers import PeerBus
from lentilpathd._pool._breaker import PartitionBreakers, TableRoute
from lentilpathd._pool._direct_path import DirectPath
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._ports import (
    AnswerProgress,
    HistoryLost,
    PartitionCommitResult,
    PartitionedTable,
    PartitionRows,
    PartitionTransaction,
)
from lentilpathd._pool._relay_messages import (
    RelayCommit,
    RelayedRow,
    RelayRead,
    RelayReply,
    RelayRequest,
    make_rows,
)
from lentilpathd._pool._relayed_reads import ReadKey, RelayedReads

T = TypeVar("T")

RELAY_TOPIC = "pool.table"
RELAY_BACKOFF_MS = 400
"""No relaying for this long after no relay could serve a call; about two probes."""
RELAY_SILENCE_MS = 2_000
"""A relay that did not answer is left out for this long. A write sent to a dead host has an unknown
outcome until the membership notices that the host is dead, which takes three heartbeats."""
MAX_RELAY_ATTEMPTS = 2
"""Each attempt takes up to the whole timeout; more would exceed a caller's 3 s."""
REPORT_INTERVAL_SECONDS = 0.25
"""The interval of the direct path's probes, which change the breakers."""


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
        progress: AnswerProgress | None = None,
    ) -> None:
        self._direct = DirectPath(direct, metrics, progress or AnswerProgress())
        self._bus = bus
        self._list_relay_hosts = list_relay_hosts
        self._metrics = metrics
        self._breakers = PartitionBreakers()
        self._relay_allowed_at = Instant(0)
        self._rotation = 0
        self._numbers = itertools.count()
        self._relayed_reads = RelayedReads(self._read_for_peer)
        self._relay_silent_until: dict[HostId, Instant] = {}
        bus.handle(RELAY_TOPIC, self._handle_relay)

    def is_open(self, now: Instant) -> bool:
        """Return whether the direct path is up, or a relay may be tried."""
        return self._direct.is_up() or self._can_relay(now)

    def is_direct_path_up(self) -> bool:
        """Return whether the direct path to the table is up."""
        return self._direct.is_up()

    def get_commit_timeout(self) -> float:
        """Return the timeout for a caller's write in seconds, longer while responses are slow."""
        return self._direct.get_commit_timeout()

    def get_silence_seconds(self) -> float:
        """Return after how long a missing answer shows that the direct path is silent."""
        return self._direct.get_silence_seconds()

    def get_returned_at(self) -> Instant:
        """Return when the direct path last began to work again; 0 if it was never down."""
        return self._direct.get_returned_at()

    def can_write(self, partitions: tuple[str, ...]) -> bool:
        """Return whether a write to any of the partitions may be sent on some path now."""
        now = read_instant()
        return any(self._find_routes(partition, now) for partition in partitions)

    def _find_routes(self, partition: str, now: Instant) -> tuple[TableRoute, ...]:
        is_usable = {
            TableRoute.DIRECT: self._direct.is_up(),
            TableRoute.RELAY: self._can_relay(now),
        }
        return tuple(
            route
            for route, usable in is_usable.items()
            if usable and self._breakers.get(partition, route).may_send(now)
        )

    async def run(self) -> None:
        """Probe a direct path that is down, and report the breakers, until cancelled."""
        async with asyncio.TaskGroup() as group:
            start_member(group, self._direct.run, "direct path")
            start_member(group, self._report_breakers, "breaker report")

    async def _report_breakers(self) -> None:
        while True:
            for partition, route, is_responsive in self._breakers.list_changes(read_instant()):
                event = Event.WRITES_ANSWERED if is_responsive else Event.WRITES_UNANSWERED
                log_event(event, partition=partition, path=route.value)
                labels = (partition, route.value)
                self._metrics.set_gauge(Metric.BREAKER_OPEN, float(not is_responsive), *labels)
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    async def commit(
        self, transaction: PartitionTransaction, timeout: float, prefer_relay: bool = False
    ) -> PartitionCommitResult:
        """Apply all of the transaction or nothing; see `SharedTable`.

        With `prefer_relay` a relay is tried first, even while the direct path counts as up. Raises
        `TableUnavailable` without sending it while all paths to the partition are unresponsive.
        """
        routes = self._find_routes(transaction.part, read_instant())
        if TableRoute.DIRECT in routes and not (prefer_relay and TableRoute.RELAY in routes):
            try:
                call = self._direct.commit(transaction, timeout)
                return await self._watch(transaction.part, TableRoute.DIRECT, call)
            except TableBusy:
                raise
            except TableUnavailable:
                # The transaction had no effect, so a relay may apply it at once.
                if not self._can_relay(read_instant()):
                    raise
        elif TableRoute.RELAY not in routes:
            raise TableUnavailable("the table does not answer, directly or through relay hosts")
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
        relayed = self._relay(relay_request, timeout)
        reply = await self._watch(transaction.part, TableRoute.RELAY, relayed)
        return PartitionCommitResult(
            reply.outcome == "done", RowVersion(reply.version), reply.clock_ms
        )

    async def _watch(self, partition: str, route: TableRoute, awaitable: Awaitable[T]) -> T:
        """Await a write and tell the partition's breaker about its answer."""
        breaker = self._breakers.get(partition, route)
        call = breaker.begin(read_instant())
        is_answered = False
        try:
            result = await awaitable
            is_answered = True
            return result
        except (WriteRejected, TableBusy):
            is_answered = True
            raise
        finally:
            breaker.finish(call, is_answered, read_instant())

    def _can_relay(self, now: Instant) -> bool:
        return now >= self._relay_allowed_at and bool(self._list_relays(now))

    async def read_partition(
        self, table: str, partition: str, first: str, end: str, timeout: float
    ) -> PartitionRows:
        """Return the rows of a partition; see `PartitionedTable`."""
        timeout_ms = int(timeout * MS_PER_SECOND)
        read = RelayRead(table, partition, first, end, -1, 0, timeout_ms, next(self._numbers))
        call = partial(self._direct.read_partition, table, partition, first, end, timeout)
        return await self._read(call, read, timeout)

    async def follow(
        self, table: str, after: RowVersion, wait_seconds: float, timeout: float
    ) -> PartitionRows:
        """Return changes of a table; see `PartitionedTable`."""
        wait_ms, timeout_ms = int(wait_seconds * MS_PER_SECOND), int(timeout * MS_PER_SECOND)
        read = RelayRead(table, "", "", "", after, wait_ms, timeout_ms, next(self._numbers))
        call = partial(self._direct.follow, table, after, wait_seconds, timeout)
        return await self._read(call, read, timeout)

    async def _read(
        self,
        read_directly: Callable[[], Coroutine[None, None, PartitionRows]],
        read: RelayRead,
        timeout: float,
    ) -> PartitionRows:
        """Read directly, or through a relay if the direct path is down or goes down meanwhile."""
        if self._direct.is_up():
            reading = asyncio.ensure_future(read_directly())
            going_down = asyncio.ensure_future(self._direct.wait_down())
            try:
                await asyncio.wait((reading, going_down), return_when=asyncio.FIRST_COMPLETED)
                if reading.done() or not self._can_relay(read_instant()):
                    return await reading
            finally:
                going_down.cancel()
                reading.cancel()
        return make_rows(await self._relay(RelayRequest(read=read), timeout))

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
                reply = await self._ask_relay(host, request, timeout)
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

    async def _ask_relay(self, host: HostId, request: RelayRequest, timeout: float) -> RelayReply:
        while True:
            reply = await self._bus.ask(host, RELAY_TOPIC, request, RelayReply, timeout)
            if reply.outcome != "reading":
                return reply

    async def _handle_relay(self, request: PeerRequest) -> RelayReply:
        if not self._direct.is_up():
            return RelayReply("unavailable")
        relay_request = msgspec.convert(request.body, RelayRequest)
        try:
            if relay_request.commit is not None:
                return await self._serve_commit(relay_request.commit)
            if relay_request.read is not None:
                key = (request.sender, request.incarnation, relay_request.read.number)
                return await self._serve_read(key, relay_request.read)
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
        breaker = self._breakers.get(request.part, TableRoute.DIRECT)
        if not breaker.may_send(read_instant()):
            return RelayReply("unavailable")
        call = self._direct.commit_for_peer(transaction, request.timeout_ms / MS_PER_SECOND)
        commit = await self._watch(request.part, TableRoute.DIRECT, call)
        outcome = "done" if commit.applied else "rejected"
        return RelayReply(outcome, (), commit.version, commit.clock_ms)

    async def _serve_read(self, key: ReadKey, request: RelayRead) -> RelayReply:
        found = await self._relayed_reads.get(key, request)
        if found is None:
            return RelayReply("reading")
        rows = tuple(
            RelayedRow(each.part, each.key, each.value, each.version, each.is_deleted)
            for each in found.rows
        )
        return RelayReply("done", rows, found.version, found.clock_ms)

    async def _read_for_peer(self, request: RelayRead) -> PartitionRows:
        timeout = request.timeout_ms / MS_PER_SECOND
        if request.after < 0:
            return await self._direct.read_partition(
                request.table, request.part, request.first, request.end, timeout
            )
        return await self._direct.follow(
            request.table, RowVersion(request.after), request.wait_ms / MS_PER_SECOND, timeout
        )

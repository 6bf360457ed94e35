"""Queries to zone leaders, and the answers of this host while it leads its zone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from lentilpath_core.errors import LentilpathError, NoLeader, PeerUnavailable
from lentilpath_core.ids import CustomerId, HostId, ZoneId
from lentilpath_core.language import (
    Cell,
    ExplainTask,
    ListRows,
    ShowHistory,
    Table,
    count_open_tasks,
    list_history,
    list_zone_rows,
)
from lentilpath_core.peers import PeerRequest
from lentilpath_core.placement import explain_task
from lentilpath_core.usage import UsageLine
from lentilpath_core.zone.state import ZoneState
from lentilpath_core.zone_choice import ZoneDigest, make_zone_digest
from lentilpathd._authority import Leadership
from lentilpathd._clock import read_instant
from lentilpathd._context import DaemonContext
from lentilpathd._operators._accountant import Accountant
from lentilpathd._operators._messages import (
    DigestQuery,
    OpenLinesQuery,
    OpenLinesReply,
    ZoneQuery,
    ZoneReply,
    ZoneWake,
    ZoneWakeReply,
)
from lentilpathd._operators._zone import ZoneAccess

QUERY_TOPIC = "operators.query"
WAKE_TOPIC = "operators.wake"
USAGE_TOPIC = "operators.usage"
DIGEST_TOPIC = "operators.digest"
QUERY_TIMEOUT_SECONDS = 2.0
ANSWER_POLL_INTERVAL_SECONDS = 0.02
MAX_WAIT_MS = 30_000
COUNT_JOB_TASKS = "count_job_tasks"
COUNT_WORKER_TASKS = "count_worker_tasks"
EXPLAIN_COLUMNS = ("task", "state", "rule", "reason", "worker", "attempt", "zone")

T = TypeVar("T")
QueryHandler = Callable[[ZoneState, Any], ZoneReply]


class ZoneQueryService:
    """Queries the leader of each zone, and answers such queries while this host is the leader."""

    def __init__(
        self,
        context: DaemonContext,
        leadership: Leadership,
        zone: ZoneAccess | None,
        accountant: Accountant,
    ) -> None:
        self._context = context
        self._leadership = leadership
        self._zone = zone
        self._query_handlers: dict[str, QueryHandler] = {
            "ListRows": _answer_list,
            "ShowHistory": _answer_history,
            "ExplainTask": self._answer_explain,
            COUNT_JOB_TASKS: _answer_job_count,
            COUNT_WORKER_TASKS: _answer_worker_count,
        }
        self._accountant = accountant
        context.bus.handle(QUERY_TOPIC, self._handle_query)
        context.bus.handle(USAGE_TOPIC, self._handle_usage)
        context.bus.handle(DIGEST_TOPIC, self._handle_digest)
        context.bus.handle(WAKE_TOPIC, self._handle_wake)

    def list_zones(self) -> tuple[ZoneId, ...]:
        """Return all zones, sorted."""
        return self._context.directory.list_zones()

    async def ask(self, zone: ZoneId, kind: str, command: Any) -> ZoneReply:
        """Query the leader of `zone`; raises `NoLeader` if no leader answers."""
        query = ZoneQuery(zone, kind, msgspec.to_builtins(command))
        return await self._ask_leader(zone, QUERY_TOPIC, query, ZoneReply, QUERY_TIMEOUT_SECONDS)

    async def ask_all(
        self, kind: str, command: Any
    ) -> tuple[dict[ZoneId, ZoneReply], tuple[ZoneId, ...]]:
        """Query all zones concurrently; return the answers and the zones that did not answer."""
        zones = self.list_zones()
        replies = await asyncio.gather(
            *(self.ask(zone, kind, command) for zone in zones), return_exceptions=True
        )
        answered: dict[ZoneId, ZoneReply] = {}
        silent: list[ZoneId] = []
        for zone, reply in zip(zones, replies, strict=True):
            if isinstance(reply, ZoneReply):
                answered[zone] = reply
            elif isinstance(reply, NoLeader):
                silent.append(zone)
            else:
                raise reply
        return answered, tuple(silent)

    async def wake(self, zone: ZoneId, command: str, wait_ms: int) -> ZoneWakeReply:
        """Make the zone's leader read its inbox and wait up to `wait_ms` for its answer.

        `command` is the id of a durable command. The reply is empty if no answer arrives in time
        or no leader can be reached; `wait_ms` is limited to `MAX_WAIT_MS`.
        """
        wait_ms = max(0, min(wait_ms, MAX_WAIT_MS))
        message = ZoneWake(zone, command, wait_ms)
        timeout = QUERY_TIMEOUT_SECONDS + wait_ms / 1_000
        try:
            return await self._ask_leader(zone, WAKE_TOPIC, message, ZoneWakeReply, timeout)
        except NoLeader:
            # The command is durable; the next leader of the zone reads it from the inbox.
            return ZoneWakeReply()

    async def _ask_leader(
        self, zone: ZoneId, topic: str, message: object, reply_type: type[T], timeout: float
    ) -> T:
        for host in self._list_candidates(zone):
            try:
                if host == self._context.settings.host:
                    return await self._answer_locally(topic, message)  # type: ignore[return-value]
                return await self._context.bus.ask(host, topic, message, reply_type, timeout)
            except (NoLeader, PeerUnavailable):
                continue
            except LentilpathError as error:
                if error.code in (NoLeader.code, "unknown-topic"):
                    continue
                raise
        raise NoLeader(f"no entry host leads zone {zone} now; its rows are missing, try again")

    def _list_candidates(self, zone: ZoneId) -> tuple[HostId, ...]:
        # Try the last known leader first, then the zone's other hosts in case the leader changed.
        settings = self._context.settings
        leader = self._leadership.get_leader(zone)
        others = [HostId(peer.host) for peer in self._context.directory.list_entry_hosts(zone)]
        if zone == settings.zone:
            others.insert(0, settings.host)
        first = [leader] if leader is not None else []
        return tuple(dict.fromkeys([*first, *others]))

    async def list_open_lines(
        self, customer: CustomerId | None
    ) -> tuple[list[UsageLine], tuple[ZoneId, ...]]:
        """Return the unsealed usage lines, and the zones that did not answer."""
        zones = self.list_zones()
        replies = await asyncio.gather(
            *(
                self._ask_leader(
                    zone,
                    USAGE_TOPIC,
                    OpenLinesQuery(zone, customer),
                    OpenLinesReply,
                    QUERY_TIMEOUT_SECONDS,
                )
                for zone in zones
            ),
            return_exceptions=True,
        )
        lines: list[UsageLine] = []
        unanswered: list[ZoneId] = []
        for zone, reply in zip(zones, replies, strict=True):
            if isinstance(reply, OpenLinesReply):
                lines.extend(reply.lines)
            elif isinstance(reply, LentilpathError):
                unanswered.append(zone)
            else:
                raise reply
        return lines, tuple(unanswered)

    async def ask_digest(self, zone: ZoneId) -> ZoneDigest:
        """Return a summary of the zone's free resources and queue.

        Raises `NoLeader` if `zone` has no leader that answers.
        """
        query = DigestQuery(zone)
        return await self._ask_leader(zone, DIGEST_TOPIC, query, ZoneDigest, QUERY_TIMEOUT_SECONDS)

    async def _handle_digest(self, request: PeerRequest) -> ZoneDigest:
        return self._answer_digest(msgspec.convert(request.body, DigestQuery))

    def _answer_digest(self, query: DigestQuery) -> ZoneDigest:
        self._get_led_state(query.zone)
        placement = self._zone.get_placement() if self._zone is not None else None
        if placement is None:
            raise NoLeader(f"{self._context.settings.host} has not rebuilt zone {query.zone} yet")
        region = self._context.settings.region
        return make_zone_digest(placement, query.zone, region, read_instant())

    async def _answer_locally(self, topic: str, message: object) -> object:
        if isinstance(message, DigestQuery):
            return self._answer_digest(message)
        if isinstance(message, ZoneQuery):
            return await self._answer_query(message)
        if isinstance(message, OpenLinesQuery):
            return await self._answer_usage(message)
        assert isinstance(message, ZoneWake)
        return await self._answer_wake(message)

    async def _handle_usage(self, request: PeerRequest) -> OpenLinesReply:
        return await self._answer_usage(msgspec.convert(request.body, OpenLinesQuery))

    async def _answer_usage(self, query: OpenLinesQuery) -> OpenLinesReply:
        self._get_led_state(query.zone)
        return OpenLinesReply(await self._accountant.list_open_lines(query.customer))

    async def _handle_query(self, request: PeerRequest) -> ZoneReply:
        return await self._answer_query(msgspec.convert(request.body, ZoneQuery))

    async def _answer_query(self, query: ZoneQuery) -> ZoneReply:
        return self._query_handlers[query.kind](self._get_led_state(query.zone), query.command)

    async def _handle_wake(self, request: PeerRequest) -> ZoneWakeReply:
        return await self._answer_wake(msgspec.convert(request.body, ZoneWake))

    async def _answer_wake(self, message: ZoneWake) -> ZoneWakeReply:
        self._get_led_state(message.zone)
        assert self._zone is not None
        self._zone.wake()
        deadline = read_instant() + message.wait_ms
        while True:
            self._get_led_state(message.zone)
            answer = self._zone.get_answer(message.command)
            if answer is not None:
                return ZoneWakeReply(answer.code, answer.text)
            if read_instant() >= deadline:
                return ZoneWakeReply()
            await asyncio.sleep(ANSWER_POLL_INTERVAL_SECONDS)

    def _get_led_state(self, zone: ZoneId) -> ZoneState:
        state = self._zone.get_state() if self._zone is not None else None
        if state is None or state.zone != zone:
            raise NoLeader(f"{self._context.settings.host} does not lead zone {zone}")
        return state

    def _answer_explain(self, state: ZoneState, body: Any) -> ZoneReply:
        command = msgspec.convert(body, ExplainTask)
        record = state.find_task(command.task)
        if record is None:
            return ZoneReply(Table(EXPLAIN_COLUMNS), found=False)
        last_attempt = record.attempts[-1] if record.attempts else None
        rule = "-"
        reason = (
            last_attempt.reason if last_attempt is not None else "accepted; no attempt was made yet"
        )
        placement = self._zone.get_placement() if self._zone is not None else None
        if placement is not None:
            explanation = explain_task(placement, command.task, read_instant())
            if explanation is not None:
                rule = explanation.rule.value
                reason = explanation.text
        row: tuple[Cell, ...] = (
            record.task,
            record.state.value,
            rule,
            reason,
            last_attempt.worker if last_attempt is not None else "-",
            last_attempt.attempt if last_attempt is not None else 0,
            state.zone,
        )
        return ZoneReply(Table(EXPLAIN_COLUMNS, (row,)))


def _answer_list(state: ZoneState, body: Any) -> ZoneReply:
    return ZoneReply(list_zone_rows(state, msgspec.convert(body, ListRows)))


def _answer_history(state: ZoneState, body: Any) -> ZoneReply:
    command = msgspec.convert(body, ShowHistory)
    return ZoneReply(list_history(state, command), command.job in state.jobs)


def _answer_job_count(state: ZoneState, body: Any) -> ZoneReply:
    count = count_open_tasks(state, body)
    return ZoneReply(Table(("tasks",), ((count or 0,),)), found=count is not None)


def _answer_worker_count(state: ZoneState, body: Any) -> ZoneReply:
    table = list_zone_rows(state, ListRows("workers"))
    index = table.columns.index("tasks")
    counts = [row[index] for row in table.rows if row[0] == body]
    return ZoneReply(Table(("tasks",), ((counts[0] if counts else 0,),)), found=bool(counts))

"""Runs the leadership state machine with table requests, messages of peers and the clock."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec

from lentilpath_core.errors import LentilpathError, OutcomeUnknown, Unavailable
from lentilpath_core.ids import HostId, Instant, ZoneId
from lentilpath_core.leadership import (
    AnswerPromise,
    AskPromises,
    ClockAdvanced,
    EpochRow,
    HelloReceived,
    LeadershipEffect,
    LeadershipEvent,
    ListenerBound,
    Member,
    PromiseAsked,
    PromiseGiven,
    ReadFailed,
    ReadRows,
    ReadZone,
    ReleaseAnnounced,
    ReleaseRequested,
    WriteAnswered,
    WriteOutcome,
    WriteRows,
    ZoneWasRead,
    create_state,
    decide,
    decode_zone_row,
    encode_row,
    get_epoch_key,
    get_zone_key,
    is_released,
    list_release_effects,
)
from lentilpath_core.peers import PeerRequest
from lentilpathd._authority import NO_UNCONFIRMED_START, Authority, Leadership
from lentilpathd._cancellation import start_member
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._context import DaemonContext
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._leadership_messages import (
    HELLO_TOPIC,
    PROMISE_TOPIC,
    RELEASED_TOPIC,
    Empty,
    HelloAnswer,
    PromiseReply,
    PromiseRequest,
)
from lentilpathd._ports import Transaction

TICK_SECONDS = 0.05
HELLO_INTERVAL_SECONDS = 1.0
OTHER_ZONES_POLL_SECONDS = 5.0
TABLE_TIMEOUT_SECONDS = 0.5
MAX_TABLE_TIMEOUT_SECONDS = 4.0
"""Upper bound of the adaptive table timeout, which doubles after each unanswered request.

A short fixed timeout would treat a slow table like one that is down.
"""
PEER_TIMEOUT_SECONDS = 0.5
RELEASE_TIMEOUT_SECONDS = 5.0


class TableLeadership:
    """Leader election of one zone by rows of the table.

    While the table is unreachable, promises of peers not to take over extend the leadership.
    """

    def __init__(self, context: DaemonContext) -> None:
        settings = context.settings
        self._context = context
        self._zone = settings.zone
        self._member = Member(settings.host, context.incarnation)
        self._state = create_state(self._member, settings.leadership)
        self._table_effects: asyncio.Queue[ReadRows | WriteRows] = asyncio.Queue()
        self._promise_effects: asyncio.Queue[AskPromises] = asyncio.Queue()
        self._released = asyncio.Event()
        self._expiry_logged = False
        self._table_timeout = TABLE_TIMEOUT_SECONDS
        self._reported_leader: HostId | None = None
        self._other_leaders: dict[ZoneId, HostId] = {}
        context.bus.handle(HELLO_TOPIC, self._answer_hello)
        context.bus.handle(PROMISE_TOPIC, self._answer_promise)
        context.bus.handle(RELEASED_TOPIC, self._answer_released)

    def get_authority(self) -> Authority | None:
        """Return the authority of this process, or `None`; the caller compares `until` to now."""
        lead = self._state.lead
        if lead is None:
            return None
        return Authority(lead.epoch, lead.until, lead.backed_by_table, lead.epoch_version)

    def get_leader(self, zone: ZoneId) -> HostId | None:
        """Return the host that was last seen to lead `zone`, or `None`."""
        if zone != self._zone:
            return self._other_leaders.get(zone)
        if self._state.lead is not None:
            return self._member.host
        seen = self._state.seen
        if seen is None or seen.row is None:
            return self._reported_leader
        return None if seen.row.released else seen.row.holder.host

    async def run(self) -> None:
        """Acquire and renew the authority until cancelled."""
        self._resolve_interrupted_request()
        async with asyncio.TaskGroup() as group:
            start_member(group, self._tick, "tick")
            start_member(group, self._process_table_effects, "table")
            start_member(group, self._process_promise_effects, "promises")
            start_member(group, self._send_hellos, "hellos")
            start_member(group, self._watch_other_zones, "zone watch")

    async def release(self, commands_end: Instant = NO_UNCONFIRMED_START) -> None:
        """Release the zone once `commands_end` has passed; `run` must be running.

        Gives up after `RELEASE_TIMEOUT_SECONDS` if the table does not answer; peers then take over
        when the lease expires.
        """
        await asyncio.sleep(max(0, commands_end - read_instant()) / MS_PER_SECOND)
        self._apply(ReleaseRequested())
        if is_released(self._state):
            return
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_SECONDS):
                await self._released.wait()
                await self._announce_release()
        except TimeoutError:
            log_warning_event(Event.LEADERSHIP_LOST, zone=self._zone, released=False)

    def _apply(self, event: LeadershipEvent) -> tuple[LeadershipEffect, ...]:
        before = self._state
        self._state, effects = decide(event, before, read_instant())
        for effect in effects:
            if isinstance(effect, ReadRows | WriteRows):
                self._table_effects.put_nowait(effect)
            elif isinstance(effect, AskPromises):
                self._promise_effects.put_nowait(effect)
        if is_released(self._state):
            self._released.set()
        self._log_change(
            before.lead is not None, before.lead is None or before.lead.backed_by_table
        )
        return effects

    def _log_change(self, led: bool, backed_by_table: bool) -> None:
        lead = self._state.lead
        if lead is not None and not led:
            log_event(Event.LEADERSHIP_GAINED, zone=self._zone, epoch=lead.epoch)
        if lead is None and led:
            log_warning_event(Event.LEADERSHIP_LOST, zone=self._zone)
        if lead is not None and backed_by_table and not lead.backed_by_table:
            log_warning_event(Event.LEADERSHIP_ON_PROMISES, zone=self._zone, epoch=lead.epoch)
        expired = lead is not None and read_instant() >= lead.until
        if expired and not self._expiry_logged:
            log_warning_event(Event.LEADERSHIP_EXPIRED, zone=self._zone)
        self._expiry_logged = expired

    def _resolve_interrupted_request(self) -> None:
        # The supervisor restarts `run` after a failure. A table request of the previous `run` may
        # have been cancelled, so a pending write has an unknown outcome.
        while not self._table_effects.empty():
            self._table_effects.get_nowait()
        if not self._state.table_busy:
            return
        pending = self._state.pending
        if pending is not None:
            self._apply(WriteAnswered(pending.write.row.write_id, WriteOutcome.UNKNOWN))
        self._state = replace(self._state, table_busy=False)

    async def _tick(self) -> None:
        while True:
            if self._context.bus.listening and self._state.listening_since is None:
                self._apply(ListenerBound())
            self._apply(ClockAdvanced())
            await asyncio.sleep(TICK_SECONDS)

    async def _process_table_effects(self) -> None:
        while True:
            effect = await self._table_effects.get()
            if isinstance(effect, ReadRows):
                self._apply(await self._read_rows())
            else:
                outcome = await self._write_rows(effect)
                self._apply(WriteAnswered(effect.row.write_id, outcome))

    def _double_table_timeout(self) -> None:
        self._table_timeout = min(2 * self._table_timeout, MAX_TABLE_TIMEOUT_SECONDS)

    def _adapt_table_timeout(self, asked_at: Instant) -> None:
        seconds = 2 * (read_instant() - asked_at) / MS_PER_SECOND
        self._table_timeout = min(max(seconds, TABLE_TIMEOUT_SECONDS), MAX_TABLE_TIMEOUT_SECONDS)

    async def _read_rows(self) -> ZoneWasRead | ReadFailed:
        keys = (get_zone_key(self._zone), get_epoch_key(self._zone))
        asked_at = read_instant()
        try:
            zone_row, epoch_row = await self._context.table.read(keys, self._table_timeout)
        except (Unavailable, OutcomeUnknown):
            self._double_table_timeout()
            return ReadFailed()
        self._adapt_table_timeout(asked_at)
        row = decode_zone_row(zone_row.value)
        return ZoneWasRead(ReadZone(row, zone_row.version, epoch_row.version))

    async def _write_rows(self, effect: WriteRows) -> WriteOutcome:
        checks = [(get_zone_key(self._zone), effect.version)]
        puts = [(get_zone_key(self._zone), encode_row(effect.row))]
        if effect.takes_over:
            checks.append((get_epoch_key(self._zone), effect.epoch_version))
            puts.append((get_epoch_key(self._zone), encode_row(EpochRow(effect.row.epoch))))
        asked_at = read_instant()
        transaction = Transaction(effect.row.write_id, tuple(checks), tuple(puts))
        try:
            result = await self._context.table.commit(transaction, self._table_timeout)
        except OutcomeUnknown:
            self._double_table_timeout()
            return WriteOutcome.UNKNOWN
        except Unavailable:
            return WriteOutcome.NOT_REACHED
        self._adapt_table_timeout(asked_at)
        return WriteOutcome.APPLIED if result.applied else WriteOutcome.REJECTED

    async def _process_promise_effects(self) -> None:
        while True:
            effect = await self._promise_effects.get()
            async with asyncio.TaskGroup() as group:
                for member in effect.members:
                    group.create_task(self._ask_promise(member, effect))

    async def _ask_promise(self, member: Member, effect: AskPromises) -> None:
        request = PromiseRequest(effect.epoch, member.incarnation, effect.round, effect.duration_ms)
        try:
            reply = await self._context.bus.ask(
                member.host, PROMISE_TOPIC, request, PromiseReply, PEER_TIMEOUT_SECONDS
            )
        except LentilpathError:
            return
        if reply.given:
            self._apply(PromiseGiven(member, effect.round))

    async def _send_hellos(self) -> None:
        while True:
            async with asyncio.TaskGroup() as group:
                for host in self._list_hello_recipients():
                    group.create_task(self._send_hello(host))
            await asyncio.sleep(HELLO_INTERVAL_SECONDS)

    def _list_hello_recipients(self) -> tuple[HostId, ...]:
        peers = self._context.directory.list_entry_hosts(self._zone)
        hosts = tuple(peer.host for peer in peers if peer.host != self._member.host)
        leader = self.get_leader(self._zone)
        if leader == self._member.host:
            return ()
        return (leader,) if leader in hosts else hosts

    async def _send_hello(self, host: HostId) -> None:
        try:
            answer = await self._context.bus.ask(
                host, HELLO_TOPIC, Empty(), HelloAnswer, PEER_TIMEOUT_SECONDS
            )
        except LentilpathError:
            return
        if answer.leader is not None:
            self._reported_leader = answer.leader

    async def _watch_other_zones(self) -> None:
        while True:
            await self._read_other_zones()
            await asyncio.sleep(OTHER_ZONES_POLL_SECONDS)

    async def _read_other_zones(self) -> None:
        zones = tuple(zone for zone in self._context.directory.list_zones() if zone != self._zone)
        if not zones:
            return
        keys = tuple(get_zone_key(zone) for zone in zones)
        try:
            rows = await self._context.table.read(keys, TABLE_TIMEOUT_SECONDS)
        except (Unavailable, OutcomeUnknown):
            return
        for zone, row in zip(zones, rows, strict=True):
            zone_row = decode_zone_row(row.value)
            if zone_row is None or zone_row.released:
                self._other_leaders.pop(zone, None)
            else:
                self._other_leaders[zone] = zone_row.holder.host

    async def _announce_release(self) -> None:
        log_event(Event.LEADERSHIP_RELEASED, zone=self._zone)
        async with asyncio.TaskGroup() as group:
            for effect in list_release_effects(self._state):
                for member in effect.members:
                    group.create_task(self._send_released(member))

    async def _send_released(self, member: Member) -> None:
        try:
            await self._context.bus.ask(
                member.host, RELEASED_TOPIC, Empty(), Empty, PEER_TIMEOUT_SECONDS
            )
        except LentilpathError:
            return

    async def _answer_hello(self, request: PeerRequest) -> HelloAnswer:
        if request.zone == self._zone:
            self._apply(HelloReceived(Member(request.sender, request.incarnation)))
        return HelloAnswer(self.get_leader(self._zone))

    async def _answer_promise(self, request: PeerRequest) -> PromiseReply:
        body = msgspec.convert(request.body, PromiseRequest)
        event = PromiseAsked(
            holder=Member(request.sender, request.incarnation),
            epoch=body.epoch,
            asked=Member(self._member.host, body.asked),
            round=body.round,
            duration_ms=body.duration_ms,
        )
        for effect in self._apply(event):
            if isinstance(effect, AnswerPromise):
                return PromiseReply(effect.given, effect.reason)
        raise LentilpathError("no answer was decided for a promise; report this as a bug")

    async def _answer_released(self, request: PeerRequest) -> Empty:
        self._apply(ReleaseAnnounced())
        return Empty()


def create_leadership(context: DaemonContext) -> Leadership:
    """Return the leadership of the zone of `context`; it is inactive until `run` is called."""
    return TableLeadership(context)

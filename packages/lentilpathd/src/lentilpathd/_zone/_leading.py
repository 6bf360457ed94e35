"""Runs one leadership term: passes events to the controller and executes its effects."""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from collections.abc import Callable
from functools import singledispatchmethod

import msgspec

from lentilpath_core.errors import OutcomeUnknown, Unavailable
from lentilpath_core.ids import Instant, WorkerId, get_job_of_task
from lentilpath_core.placement import QuotaSet
from lentilpath_core.zone.control import (
    AuthorityBackingChanged,
    BatchApplied,
    ControlEffect,
    ControlEvent,
    ControllerState,
    ForgetAttempt,
    InboxRead,
    ListedWorker,
    QuotasSet,
    RequestFullReport,
    SendStart,
    SendStop,
    StartAnswered,
    TimePassed,
    WorkersListed,
    begin_journal_write,
    create_controller,
    decide_zone,
)
from lentilpath_core.zone.inbox import InboxEntry, decode_entry, get_inbox_prefix
from lentilpath_core.zone.journal import JournalBatch
from lentilpath_core.zone.reports import StartAnswer
from lentilpath_core.zone.state import ZoneState
from lentilpathd._adapters.worker import create_worker
from lentilpathd._authority import NO_UNCONFIRMED_START
from lentilpathd._cancellation import start_member
from lentilpathd._clock import read_instant, read_wall_time
from lentilpathd._context import DaemonContext
from lentilpathd._events import Event, log_warning_event
from lentilpathd._ports import ListedHost
from lentilpathd._zone._errors import TermEnded
from lentilpathd._zone._recovery import RecoveredZone
from lentilpathd._zone._snapshots import encode_snapshot, store_snapshot
from lentilpathd._zone._term import COMMAND_VALIDITY_MS, Term
from lentilpathd._zone._worker_link import WorkerLink
from lentilpathd._zone._writer import write_batch

TICK_SECONDS = 0.05
BATCH_DELAY_SECONDS = 0.05
"""How long journal events are collected before they are written in one transaction."""
INBOX_POLL_INTERVAL_SECONDS = 1.0
INBOX_SCAN_ROWS = 200
INBOX_TIMEOUT_SECONDS = 2.0
BATCHES_PER_SNAPSHOT = 200
DRAIN_TIMEOUT_SECONDS = 2.0


QuotaSource = Callable[[], tuple[QuotaSet, ...]]


class ZoneLeader:
    """Leads the zone for one term.

    Reads the inbox, writes the journal and snapshots, and keeps a `WorkerLink` to each worker.
    """

    def __init__(
        self, context: DaemonContext, term: Term, zone: RecoveredZone, quotas: QuotaSource
    ) -> None:
        self._context = context
        self._quotas = quotas
        self._term = term
        self._links: dict[WorkerId, WorkerLink] = {}
        self._link_tasks: dict[WorkerId, asyncio.Task[None]] = {}
        self._link_hosts: dict[WorkerId, ListedHost] = {}
        self._write_needed = asyncio.Event()
        self._batch_applied = asyncio.Event()
        self._inbox_read_needed = asyncio.Event()
        self._unarchived_batches = list(zone.batches)
        self._listed_workers: tuple[ListedHost, ...] = ()
        self._draining = False
        self.controller = self._create_controller(zone.state)

    async def run(self) -> None:
        """Lead until the term ends; raises `TermEnded` or `Deposed` in an exception group."""
        self.update_quotas()
        async with asyncio.TaskGroup() as group:
            self._group = group
            self._update_links()
            start_member(group, self._tick, "tick")
            start_member(group, self._write_journal, "journal")
            start_member(group, self._read_inbox, "inbox")

    def wake(self) -> None:
        """Read the inbox without waiting for the next poll."""
        self._inbox_read_needed.set()

    def update_quotas(self) -> None:
        """Apply the quotas of the current configuration."""
        self._handle_event(QuotasSet(self._quotas()))

    async def drain(self) -> None:
        """Make no more decisions, wait for commands in progress and write the pending events.

        Raises `TimeoutError` after `DRAIN_TIMEOUT_SECONDS`.
        """
        self._draining = True
        async with asyncio.timeout(DRAIN_TIMEOUT_SECONDS):
            await asyncio.gather(*(link.wait_for_commands() for link in self._links.values()))
            while self.controller.writing or self.controller.pending_events:
                self._batch_applied.clear()
                await self._batch_applied.wait()

    def get_commands_end(self) -> Instant:
        """Return the latest time at which an unconfirmed start may take effect; 0 for none."""
        ends = (link.get_commands_end() for link in self._links.values())
        return max(ends, default=NO_UNCONFIRMED_START)

    def _create_controller(self, zone: ZoneState) -> ControllerState:
        return create_controller(
            zone,
            self._term.epoch,
            self._context.settings.worker_leases,
            self._list_workers(),
            read_instant(),
            COMMAND_VALIDITY_MS,
        )

    def _list_workers(self) -> WorkersListed:
        hosts = self._context.directory.list_workers(self._context.settings.zone)
        return WorkersListed(
            tuple(
                ListedWorker(host.get_worker(), host.rack, host.capacity, host.leaving)
                for host in hosts
            )
        )

    def _update_links(self) -> None:
        for host in self._context.directory.list_workers(self._context.settings.zone):
            worker = host.get_worker()
            known = self._link_hosts.get(worker)
            if known is not None and known.address == host.address:
                continue
            if known is not None:
                self._link_tasks[worker].cancel()
            link = WorkerLink(
                worker,
                create_worker(host.address),
                self._term,
                self._context.settings.worker_leases,
                self._handle_event,
            )
            self._links[worker] = link
            self._link_hosts[worker] = host
            self._link_tasks[worker] = start_member(self._group, link.run, "worker link")

    def _handle_event(self, event: ControlEvent) -> None:
        now = read_instant()
        for effect in decide_zone(self.controller, event, now, read_wall_time()):
            self._apply_effect(effect)
        if self.controller.pending_events:
            self._write_needed.set()

    @singledispatchmethod
    def _apply_effect(self, effect: ControlEffect) -> None:
        raise TypeError(f"unknown effect type: {effect!r}")

    @_apply_effect.register
    def _(self, effect: SendStart) -> None:
        job = self.controller.zone.jobs[get_job_of_task(effect.task)]
        link = self._links.get(effect.worker)
        if link is not None:
            link.send_start(effect, job.spec)
            return
        now = read_instant()
        refused = StartAnswer.REFUSED
        self._handle_event(StartAnswered(effect.worker, effect.task, effect.attempt, refused, now))

    @_apply_effect.register
    def _(self, effect: SendStop) -> None:
        link = self._links.get(effect.worker)
        if link is not None:
            link.send_stop(effect)

    @_apply_effect.register
    def _(self, effect: ForgetAttempt) -> None:
        link = self._links.get(effect.worker)
        if link is not None:
            link.forget(effect.task, effect.attempt)

    @_apply_effect.register
    def _(self, effect: RequestFullReport) -> None:
        link = self._links.get(effect.worker)
        if link is not None:
            link.ask_for_all_tasks()

    async def _tick(self) -> None:
        while True:
            if not self._term.is_current():
                raise TermEnded(f"epoch {self._term.epoch} is over")
            self._handle_event(AuthorityBackingChanged(self._term.is_backed_by_table()))
            hosts = self._context.directory.list_workers(self._context.settings.zone)
            if hosts != self._listed_workers:
                self._listed_workers = hosts
                self._handle_event(self._list_workers())
                self._update_links()
            if self._term.get_command_deadline(read_instant()) is not None and not self._draining:
                self._handle_event(TimePassed())
            await asyncio.sleep(TICK_SECONDS)

    async def _write_journal(self) -> None:
        while True:
            await self._write_needed.wait()
            self._write_needed.clear()
            await asyncio.sleep(BATCH_DELAY_SECONDS)
            write = begin_journal_write(self.controller, uuid.uuid4().hex)
            if write is None:
                continue
            snapshot = None
            if write.batch.sequence % BATCHES_PER_SNAPSHOT == 0:
                # The state reflects the journal up to this batch only until the next event, so it
                # is encoded before the write is awaited.
                snapshot = encode_snapshot(self.controller.zone)
            await write_batch(self._context.table, self._term, write)
            self._unarchived_batches.append(write.batch)
            self._handle_event(BatchApplied())
            self._batch_applied.set()
            if snapshot is not None:
                await self._store_snapshot(write.batch, snapshot)
            if self.controller.pending_events or self.controller.pending_commands:
                self._write_needed.set()

    async def _store_snapshot(self, batch: JournalBatch, snapshot: bytes) -> None:
        try:
            await store_snapshot(
                self._context.table,
                self._context.objects,
                self._term,
                batch.sequence,
                snapshot,
                self._unarchived_batches,
            )
        except (Unavailable, OutcomeUnknown) as error:
            log_warning_event(Event.SNAPSHOT_FAILED, zone=self._term.zone, error=str(error))
            return
        self._unarchived_batches = []

    async def _read_inbox(self) -> None:
        while True:
            with contextlib.suppress(Unavailable):
                await self._scan_inbox()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(INBOX_POLL_INTERVAL_SECONDS):
                    await self._inbox_read_needed.wait()
            self._inbox_read_needed.clear()

    async def _scan_inbox(self) -> None:
        prefix = get_inbox_prefix(self._term.zone)
        rows = await self._context.table.scan(prefix, "", INBOX_SCAN_ROWS, INBOX_TIMEOUT_SECONDS)
        entries: list[tuple[str, InboxEntry]] = []
        for row in rows:
            try:
                entries.append((row.key, decode_entry(row.value)))
            except msgspec.DecodeError as error:
                log_warning_event(Event.COMMAND_REFUSED, key=row.key, error=str(error))
        if not entries or self._draining:
            return
        entries.sort(key=lambda item: (item[1].accepted_at, item[0]))
        self._handle_event(InboxRead(tuple(entries)))
        self._write_needed.set()
        if len(rows) == INBOX_SCAN_ROWS:
            self._inbox_read_needed.set()

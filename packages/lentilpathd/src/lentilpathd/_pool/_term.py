"""One term of a leader: feeds events to the pool's decision core and executes its effects."""

from __future__ import annotations

import asyncio
from collections.abc import Container
from dataclasses import replace

import msgspec

from lentilpath_core.errors import UnknownName
from lentilpath_core.ids import CustomerId, Epoch, Instant, JobId, RowVersion
from lentilpath_core.peers import PeerRequest
from lentilpath_core.pool import (
    ConfigurationSet,
    FormerLeaderEnded,
    JobAccepted,
    JobCancelled,
    JobExplanation,
    JobRecord,
    JobState,
    ListedUsage,
    PoolConfiguration,
    PoolEffect,
    PoolEvent,
    StartAnswer,
    StartAnswered,
    StartRun,
    TimePassed,
    WorkersListed,
    create_pool,
    decide_pool,
    explain_job,
    get_job_customer,
    get_job_state,
    is_former_leader_contained,
    is_placement_due,
    list_usages,
    place_pool,
    restore_former_workers,
)
from lentilpathd._cancellation import start_member
from lentilpathd._clock import MS_PER_SECOND, read_instant, read_wall_time
from lentilpathd._events import Event, log_event
from lentilpathd._metrics import Metric
from lentilpathd._pool._adapter_log import log_internal_error
from lentilpathd._pool._advice import AdviceDispatcher
from lentilpathd._pool._context import PoolContext
from lentilpathd._pool._digests import Digests
from lentilpathd._pool._effects import EffectExecutor
from lentilpathd._pool._guard import run_guarded
from lentilpathd._pool._hold_log import HoldLog
from lentilpathd._pool._job_feed import JobFeed
from lentilpathd._pool._leadership import PoolLeadership
from lentilpathd._pool._lease_extension import LeaseExtension
from lentilpathd._pool._leases import bound_lease_ms
from lentilpathd._pool._members import decode_heartbeat
from lentilpathd._pool._messages import Digest, JobNotice
from lentilpathd._pool._ports import PartitionRow
from lentilpathd._pool._recovery import (
    EndedJobs,
    RepeatedReads,
    read_pool,
    read_repeatedly,
)
from lentilpathd._pool._removal import JobRemover
from lentilpathd._pool._settings import MAX_LEASE_MS
from lentilpathd._pool._succession import LeaderProcess, find_end_of_leader
from lentilpathd._pool._term_authority import TermAuthority
from lentilpathd._pool._worker_links import WorkerLinks
from lentilpathd._pool._worker_watch import WorkerWatch, read_list
from lentilpathd._pool._writer import RecordWriter

TICK_SECONDS = 0.25
"""Timers fire at most 250 ms late."""
PLACEMENT_DELAY_SECONDS = 0.01
"""Events that arrive within this time share one placement pass over the pending tasks."""


class Term:
    """Runs the pool as leader, from winning an epoch until it is lost or released."""

    def __init__(self, context: PoolContext, epoch: Epoch, leadership: PoolLeadership) -> None:
        self._context = context
        self._epoch = epoch
        self._leadership = leadership
        now = read_instant()
        # Earlier leaders may have granted longer leases than this one, from other settings.
        former_lease_ms = bound_lease_ms(MAX_LEASE_MS)
        if not leadership.holds_since:
            # A leader of an earlier release does not say which workers may hold their runs longer.
            longest_lease_ms = bound_lease_ms(context.settings.longest_lease_ms)
            former_lease_ms = max(former_lease_ms, longest_lease_ms)
        self._state = create_pool(
            epoch,
            Instant(now + former_lease_ms),
            former_lease_ms,
            leadership.succeeds_sole_leader,
            leadership.suspends_since > 0,
            leadership.identifies_since > 0,
        )
        self._authority = TermAuthority(context, epoch, leadership, self._state, now)
        self._hold_log = HoldLog(epoch, now)
        self._writer = RecordWriter(
            context.table,
            epoch,
            leadership,
            self.handle_event,
            lambda wait_ms: context.metrics.record_time(Metric.RECORD_WAIT, wait_ms),
        )
        self._remover = JobRemover(context.table, epoch, leadership.epoch_version)
        self._advice = AdviceDispatcher(
            context.advice_agent, context.bus, context.members, context.metrics, self.handle_event
        )
        self._links = WorkerLinks(
            context,
            epoch,
            self._state,
            self._writer,
            self.handle_event,
            self._authority.may_command,
            self._authority.get_lease_ms,
            lambda: self._watch.may_start(read_instant()),
        )
        self._effects = EffectExecutor(
            context, epoch, self._state, self._links, self._writer, self._remover, self._advice
        )
        self._placement_due = asyncio.Event()
        self._ready = False
        self._extension = LeaseExtension(
            context, epoch, leadership, self._authority.may_command, self.handle_event
        )
        self._digests = Digests(epoch, context.members, self._state)
        self._jobs_version = RowVersion(0)
        self._watch = WorkerWatch(context.registry, self._state, self._handle_list)
        self._ended: Container[JobId] = self._state.finals
        self._feed = JobFeed(context.table, leadership.is_confirmed, self._handle_job)

    def is_ready(self) -> bool:
        """Return whether the stored state is recovered, and no pause makes it doubtful."""
        return self._ready and self._authority.may_command()

    async def run(self) -> None:
        """Recover and lead until cancelled; raises `Deposed` in an exception group."""
        async with asyncio.TaskGroup() as recovery:
            extension = start_member(recovery, self._extension.run, "lease extension")
            await self._recover()
            # The links go on with workers that have not answered yet.
            extension.cancel()
        async with asyncio.TaskGroup() as group:
            self._ready = True
            self._links.start(group)
            # What the writer fails to store is known to the next term only.
            start_member(group, self._writer.run, "record writer")
            for part, run in (
                ("advice", self._advice.run),
                ("removal", self._remover.run),
                ("tick", self._tick),
                ("placement", self._run_placement),
                ("worker list", self._watch.run),
                ("job feed", lambda: self._feed.run(self._jobs_version, self._ended)),
            ):
                group.create_task(run_guarded(part, run))

    async def _recover(self) -> None:
        table, registry = self._context.table, self._context.registry
        since = self._leadership.suspends_since
        recovered, (listed, listed_at) = await asyncio.gather(
            read_pool(RepeatedReads(table, self._epoch), since),
            read_repeatedly(lambda: read_list(registry), self._epoch),
        )
        self._jobs_version = recovered.jobs_version
        self._writer.add_stored_ends(recovered.end_keys, recovered.ended_jobs)
        holds = recovered.held_workers
        self._writer.add_stored_workers(
            recovered.worker_keys,
            recovered.suspended_workers,
            {worker: hold for worker, hold in holds.items() if hold is not None},
        )
        self.apply_settings()
        configuration = self._context.get_configuration()
        if configuration is not None:
            self.handle_event(ConfigurationSet(configuration))
        self._state.wall_now = read_wall_time()
        restore_former_workers(
            self._state,
            recovered.former_workers,
            recovered.unreadable_workers,
            {worker: ends_at for worker, (ends_at, _) in recovered.suspended_workers.items()},
            {worker: hold[0] if hold is not None else None for worker, hold in holds.items()},
        )
        is_confirmed = self._leadership.is_confirmed(read_instant())
        self.handle_event(WorkersListed(listed, listed_at, is_confirmed=is_confirmed))
        for event in (*self._extension.sent, *recovered.events):
            self.handle_event(event)
        unreadable = recovered.ended_jobs - self._state.finals.keys()
        self._ended = EndedJobs(self._state.finals, unreadable)
        log_event(
            Event.POOL_RECOVERED,
            epoch=self._epoch,
            jobs=len(self._state.jobs),
            ended=len(self._state.finals),
            workers=len(listed),
            unsettled=sorted(self._state.unconfirmed_workers),
        )

    def apply_configuration(self, configuration: PoolConfiguration) -> None:
        """Use this configuration for decisions from now on."""
        self.handle_event(ConfigurationSet(configuration))

    def apply_settings(self) -> None:
        """Use the current settings for decisions from now on."""
        settings = self._context.settings
        self._state.job_memory_ms = settings.job_memory_ms
        self._state.expects_contention = settings.expects_contention
        self._state.longest_lease_ms = bound_lease_ms(settings.longest_lease_ms)
        self._links.bound_runs()

    def handle_event(self, event: PoolEvent) -> None:
        """Handle an event; an unexpected error loses the event, or an effect, and not the term."""
        try:
            effects = decide_pool(self._state, event, read_instant())
        except Exception as error:
            log_internal_error(type(event).__name__, error)
            return
        self._execute_all(effects)
        if is_placement_due(self._state):
            self._placement_due.set()

    def _execute_all(self, effects: tuple[PoolEffect, ...]) -> None:
        for effect in effects:
            try:
                self._effects.execute(effect)
            except Exception as error:
                log_internal_error(type(effect).__name__, error)
                if isinstance(effect, StartRun):
                    # It was not sent, which is the last step of its execution.
                    run = (effect.worker, effect.life, effect.task, effect.run)
                    self.handle_event(StartAnswered(*run, StartAnswer.UNHEALTHY))

    def _handle_job(self, event: JobAccepted | JobCancelled, version: RowVersion) -> None:
        if isinstance(event, JobAccepted) and event.record.job not in self._state.jobs:
            log_event(
                Event.JOB_SEEN_BY_LEADER,
                job=event.record.job,
                queue=event.record.queue,
                steps=len(event.record.steps),
                epoch=self._epoch,
                version=version,
            )
        self.handle_event(event)

    def get_state(self, job: JobId) -> JobState | None:
        """Return the state of a job as shown to callers, or `None` if it is not known."""
        return get_job_state(self._state, job)

    def get_customer(self, job: JobId) -> CustomerId:
        """Return the customer of a job; empty if it has none or is not known."""
        return get_job_customer(self._state, job)

    def explain(self, record: JobRecord, now: Instant) -> JobExplanation:
        """Return where a job would be placed; raises `UnknownName` if its queue is not known."""
        policy = self._state.configuration.queues.get(record.queue)
        if policy is None:
            raise UnknownName(f"no queue {record.queue!r} in the configuration in force")
        return explain_job(self._state, record, policy, now)

    def make_digest(self) -> Digest:
        """Return the digest for heartbeats; see `Digests`."""
        return self._digests.get(read_instant())

    def list_usages(self) -> list[ListedUsage]:
        """Return what the customers have running and waiting, for the metrics."""
        return list_usages(self._state)

    def handle_notice(self, notice: JobNotice) -> None:
        """Handle a host's notice of a row that it has stored for a job."""
        row = PartitionRow(notice.part, notice.key, notice.value, RowVersion(notice.version))
        self._feed.handle_notice(row, self._ended)

    def handle_heartbeat(self, request: PeerRequest) -> Digest:
        """Record a host's heartbeat and answer with the digest."""
        heartbeat = decode_heartbeat(request)
        self._context.members.record_heartbeat(request.sender, heartbeat, read_instant())
        if heartbeat.heard_epoch == self._epoch:
            sender = LeaderProcess(request.sender, request.incarnation)
            self.note_follower(sender, heartbeat.up_ms)
        digest = self.make_digest()
        is_known = heartbeat.hosts_mark == digest.hosts_mark
        return msgspec.structs.replace(digest, hosts=()) if is_known else digest

    def note_follower(self, sender: LeaderProcess, up_ms: int) -> None:
        """Note that a process, started `up_ms` ago, follows this leader and does not lead."""
        former, now = self._leadership.former_leader, read_instant()
        ended_at = None if former is None else find_end_of_leader(former, sender, up_ms, now)
        if ended_at is not None:
            self._leadership.former_leader = None
            self.handle_event(FormerLeaderEnded(ended_at))

    async def _tick(self) -> None:
        while True:
            self._authority.may_command()
            now = read_instant()
            is_confirmed = self._leadership.is_confirmed(now)
            self._leadership.is_sole = is_former_leader_contained(self._state, now)
            self.handle_event(TimePassed(read_wall_time(), is_confirmed))
            self._hold_log.observe(self._state, now)
            await asyncio.sleep(TICK_SECONDS)
            delay_ms = read_instant() - now - int(TICK_SECONDS * MS_PER_SECOND)
            self._watch.note_loop_delay(delay_ms, read_instant())

    async def _run_placement(self) -> None:
        while True:
            await self._placement_due.wait()
            await asyncio.sleep(PLACEMENT_DELAY_SECONDS)
            self._placement_due.clear()
            self._state.advice_hosts = len(self._context.members.list_hosts(read_instant()))
            self._state.advice_backlog_ms = self._advice.measure_backlog()
            self._execute_all(place_pool(self._state, read_instant()))
            if is_placement_due(self._state):
                self._placement_due.set()

    def _handle_list(self, event: WorkersListed) -> None:
        is_confirmed = self._leadership.is_confirmed(read_instant())
        self.handle_event(replace(event, is_confirmed=is_confirmed))
        self._links.open_missing()
        self._links.withdraw_starts()

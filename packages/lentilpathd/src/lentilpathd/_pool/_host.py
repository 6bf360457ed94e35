"""Builds the components of a pool host, runs them under supervision and shuts them down."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import msgspec

from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import CustomerId, Epoch, Incarnation, Instant, JobId
from lentilpath_core.peers import PeerRequest
from lentilpath_core.pool import NO_CUSTOMER, JobState, PoolConfiguration, QueueId
from lentilpathd._cancellation import run_in_own_task, start_member
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._loop_delay import LoopDelay, monitor_loop
from lentilpathd._metrics import Metric
from lentilpathd._peers import PeerBus
from lentilpathd._pool._advice import AdviceAgent
from lentilpathd._pool._configuration import ConfigurationFollower
from lentilpathd._pool._context import PoolContext
from lentilpathd._pool._explain import Explainer
from lentilpathd._pool._handover import find_last_handover, wait_for_handover
from lentilpathd._pool._jobs import Jobs
from lentilpathd._pool._leadership import PoolLeadership
from lentilpathd._pool._members import HeartbeatSender, Members, UnclearJobs
from lentilpathd._pool._messages import (
    HEARTBEAT_TOPIC,
    NOTICE_TOPIC,
    STATE_TOPIC,
    UNCLEAR_TOPIC,
    Digest,
    Empty,
    JobNotice,
    StateReply,
    StateRequest,
    UnclearNotice,
)
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._ports import (
    AdviceService,
    AnswerProgress,
    Deposed,
    PartitionedTable,
    Registry,
    WorkerFactory,
)
from lentilpathd._pool._records import parse_job_id
from lentilpathd._pool._settings import PoolHostSettings
from lentilpathd._pool._settings_watch import LoadSettings, SettingsWatcher
from lentilpathd._pool._table_path import TablePath
from lentilpathd._pool._term import Term
from lentilpathd._supervisor import Part, supervise_parts

INCARNATION_DIGITS = 8
"""32 bits: a collision between two processes of one host is practically impossible."""
HANDOVER_CHECK_SECONDS = 1.0
"""Two heartbeat intervals, so that all hosts have reported their speed."""
HANDOVER_COOLDOWN_MS = 10_000
"""Five leases. A host that leads again because the faster host did not take over waits for this
long before the next handover."""
MAX_REQUEST_BYTES = 1_048_576
"""Longest request of another host. A relayed transaction is the longest one, and the table takes at
most 1 MB as text. A request takes up to 70 times its length while it is decoded."""
DIGEST_INTERVAL_SECONDS = 0.5
"""A quarter of the maximum age of the pending job count, 2 s."""


@dataclass(frozen=True, slots=True)
class PlatformPorts:
    """The platform's services, opened by its adapter."""

    table: PartitionedTable
    open_registry: Callable[[PartitionedTable], Registry]
    create_worker: WorkerFactory
    advice: AdviceService
    load_settings: LoadSettings = lambda: None
    progress: AnswerProgress = field(default_factory=AnswerProgress)
    """Reported to by `table`."""


class NotLeading(LentilpathError):
    """The process that received the request is not the leader."""

    code = "not-leading"


class PoolHost:
    """All components of one entry host. All durable state is in the platform's table service."""

    def __init__(self, settings: PoolHostSettings, ports: PlatformPorts) -> None:
        self.settings = settings
        self.metrics = PoolMetrics()
        self.unclear_jobs = UnclearJobs()
        incarnation = Incarnation(f"{settings.host}.{uuid.uuid4().hex[:INCARNATION_DIGITS]}")
        self.bus = PeerBus(settings.host, incarnation, settings.zone, MAX_REQUEST_BYTES)
        self.members = Members(settings, self.bus, self._can_lead)
        self.heartbeat_sender = HeartbeatSender(settings, self.bus, self.members)
        self.table = TablePath(
            ports.table,
            self.bus,
            self.members.list_relay_hosts,
            self.metrics,
            ports.progress,
        )
        registry = ports.open_registry(self.table)
        self.configuration = ConfigurationFollower(registry, self._apply_configuration)
        self.leadership = PoolLeadership(
            self.table, settings.host, incarnation, settings.peers, self.members.knows_faster_host
        )
        self.context = PoolContext(
            settings,
            incarnation,
            self.bus,
            self.table,
            registry,
            ports.create_worker,
            AdviceAgent(ports.advice, self.bus),
            self.members,
            self.heartbeat_sender,
            self.metrics,
            self.configuration.get_current,
            self._get_local_job_state,
            self._handle_local_notice,
            self.unclear_jobs,
            self.is_leading,
            self._get_local_job_customer,
        )
        self.jobs = Jobs(self.context)
        self.explainer = Explainer(self.bus, self._get_ready_term, self.heartbeat_sender.get_leader)
        self.settings_watcher = SettingsWatcher(
            ports.load_settings, lambda: self.settings, self._apply_settings
        )
        self.stopping = asyncio.Event()
        self._last_handover_at: Instant | None = None
        """Until when a stopping host may lead on; `None` if it is not stopping."""
        self._term: Term | None = None
        self._not_leading = asyncio.Event()
        self._not_leading.set()
        self._handover_requested = False
        self._next_handover_at = Instant(0)
        self.bus.handle(HEARTBEAT_TOPIC, self._handle_heartbeat)
        self.bus.handle(STATE_TOPIC, self._handle_state_request)
        self.bus.handle(NOTICE_TOPIC, self._handle_notice)
        self.bus.handle(UNCLEAR_TOPIC, self._handle_unclear_notice)

    def is_ready(self) -> bool:
        """Return whether the load balancer may route callers to this host.

        While the table is unresponsive it may, if the leader answers: calls are held, and those
        that cannot be written in time are refused truthfully.
        """
        if self.configuration.get_current() is None or self.stopping.is_set():
            return False
        now = read_instant()
        is_leader_known = self.is_leading() or self.heartbeat_sender.has_recent_digest(now)
        return is_leader_known or self.table.is_open(now)

    def may_check_keys(self, configuration: PoolConfiguration) -> bool:
        """Return whether the configuration is recent enough to accept or refuse a key by it."""
        if not configuration.requires_keys:
            return True
        now = read_instant()
        max_age_ms = self.settings.max_configuration_age_ms
        return self.configuration.is_settled(now) and self.configuration.is_current(max_age_ms, now)

    def report_unknown_key(self, queue: QueueId, method: str) -> None:
        """Log and count a call without a key that is in force; the key itself is never logged."""
        configuration = self.configuration.get_current()
        version = configuration.version if configuration is not None else None
        self.metrics.count(Metric.KEY_REFUSED, queue)
        log_event(Event.KEY_REFUSED, queue=queue, method=method, config=version)

    def _can_lead(self) -> bool:
        return self.table.is_direct_path_up() and not self.stopping.is_set()

    def is_leading(self) -> bool:
        """Return whether this process leads and has recovered the stored state."""
        return self._get_ready_term() is not None

    def _get_ready_term(self) -> Term | None:
        """Return the current term once it has recovered the stored state, else `None`."""
        return self._term if self._term is not None and self._term.is_ready() else None

    async def run(self) -> None:
        """Run all components until cancelled."""
        await supervise_parts(
            (
                Part("peers", lambda: self.bus.serve(self.settings.peers)),
                Part("configuration", self.configuration.run),
                Part("greeter", self.heartbeat_sender.run),
                Part("table path", self.table.run),
                Part("leadership", self._run_leadership),
                Part("leader watch", self._watch_leader),
                Part("settings", self.settings_watcher.run),
                Part("loop delay", partial(monitor_loop, self._report_loop_delay)),
            )
        )

    def _report_loop_delay(self, delay: LoopDelay) -> None:
        self.metrics.record_time(Metric.LOOP_DELAY, delay.delay_ms, delay.cause.value)

    def _apply_settings(self, settings: PoolHostSettings) -> None:
        self.settings = settings
        self.context.settings = settings
        if self._term is not None:
            self._term.apply_settings()

    def _apply_configuration(self, configuration: PoolConfiguration) -> None:
        if self._term is not None:
            self._term.apply_configuration(configuration)

    def _get_local_job_state(self, job: JobId) -> JobState | None:
        term = self._get_ready_term()
        return term.get_state(job) if term is not None else None

    def _get_local_job_customer(self, job: JobId) -> CustomerId:
        term = self._get_ready_term()
        return term.get_customer(job) if term is not None else NO_CUSTOMER

    def _handle_local_notice(self, notice: JobNotice) -> bool:
        term = self._get_ready_term()
        if term is None:
            return False
        term.handle_notice(notice)
        return True

    async def _handle_notice(self, request: PeerRequest) -> Empty:
        self._require_term().handle_notice(msgspec.convert(request.body, JobNotice))
        return Empty()

    def _require_term(self) -> Term:
        term = self._get_ready_term()
        if term is None:
            raise NotLeading(f"{self.settings.host} does not lead")
        return term

    async def _handle_heartbeat(self, request: PeerRequest) -> Digest:
        return self._require_term().handle_heartbeat(request)

    async def _handle_state_request(self, request: PeerRequest) -> StateReply:
        state_request = msgspec.convert(request.body, StateRequest)
        term = self._require_term()
        state = term.get_state(state_request.job)
        is_unclear = self.unclear_jobs.has(state_request.job, read_instant())
        customer = term.get_customer(state_request.job)
        return StateReply(state.value if state is not None else "", is_unclear, customer)

    async def _handle_unclear_notice(self, request: PeerRequest) -> Empty:
        # Recorded whether or not this host leads: it may lead by the time the job is asked about.
        job = parse_job_id(msgspec.convert(request.body, UnclearNotice).job)
        self.unclear_jobs.add(job, read_instant())
        return Empty()

    async def _watch_leader(self) -> None:
        while True:
            snapshot = self.leadership.snapshot
            if snapshot is not None and snapshot.lease is not None:
                self.members.set_leader(snapshot.lease.host, snapshot.lease.address)
                is_new = self.heartbeat_sender.get_leader() != snapshot.lease.host
                self.heartbeat_sender.set_leader(snapshot.lease.host)
                if is_new:
                    self.jobs.notify_new_leader()
            term = self._get_ready_term()
            self.metrics.set_gauge(Metric.IS_LEADER, 0.0 if term is None else 1.0)
            if term is not None:
                digest = term.make_digest()
                self.heartbeat_sender.set_leader(self.settings.host)
                self.heartbeat_sender.set_digest(digest, read_instant())
                self.metrics.set_customers(term.list_usages())
                self.metrics.set_pending(digest.loads.pending)
            await asyncio.sleep(DIGEST_INTERVAL_SECONDS)

    async def _run_leadership(self) -> None:
        await self.configuration.wait_for_first()
        while not self.stopping.is_set():
            epoch = await self.leadership.acquire()
            await run_in_own_task(partial(self._lead, epoch), "leadership term")
        await asyncio.Event().wait()

    async def _lead(self, epoch: Epoch) -> None:
        self._not_leading.clear()
        try:
            await self._run_term(epoch)
            if self.stopping.is_set() or self._handover_requested:
                self._handover_requested = False
                await self._release_leadership(epoch)
        finally:
            self._not_leading.set()

    async def _run_term(self, epoch: Epoch) -> None:
        log_event(Event.POOL_LEADERSHIP_GAINED, epoch=epoch, host=self.settings.host)
        term = Term(self.context, epoch, self.leadership)
        self._term = term
        try:
            async with asyncio.TaskGroup() as group:
                start_member(group, partial(self.leadership.renew_forever, epoch), "renewals")
                start_member(group, term.run, "term")
                start_member(group, self._end_term_at_stop, "planned stop")
                start_member(group, self._end_term_for_faster_host, "handover")
        except* (Deposed, NotLeading) as errors:
            log_event(
                Event.POOL_LEADERSHIP_LOST,
                epoch=epoch,
                error=str(errors.exceptions[0]),
                confirmed_ms=self.leadership.get_confirmed_ms(read_instant()),
            )
        finally:
            self._term = None

    async def _release_leadership(self, epoch: Epoch) -> None:
        successor = self.members.choose_successor(read_instant())
        log_event(Event.POOL_HANDED_OVER, epoch=epoch, successor=successor)
        try:
            await self.leadership.release(epoch, successor)
        except Deposed as error:
            # Another host already leads, so there is nothing left to release.
            log_event(Event.POOL_LEADERSHIP_LOST, epoch=epoch, error=str(error))

    def request_stop(self, now: Instant) -> None:
        """Stop accepting work, and hand the leadership over within the grace period."""
        self._last_handover_at = find_last_handover(now, self.settings.stop_grace_ms)
        self.stopping.set()

    async def wait_handed_over(self) -> None:
        """Wait until this host does not lead."""
        await self._not_leading.wait()

    async def _end_term_at_stop(self) -> None:
        """End the term of a stopping host, once the next leader can take over quickly."""
        await self.stopping.wait()
        assert self._last_handover_at is not None
        await wait_for_handover(self.leadership.is_table_slow, self._last_handover_at)
        raise NotLeading("this host is stopping")

    async def _end_term_for_faster_host(self) -> None:
        """End the term once a much faster host can lead."""
        while True:
            await asyncio.sleep(HANDOVER_CHECK_SECONDS)
            now = read_instant()
            is_stable = self.leadership.is_confirmed(now) and self.table.is_direct_path_up()
            faster = self.members.find_faster_host(now)
            if is_stable and faster is not None and now >= self._next_handover_at:
                self._handover_requested = True
                self._next_handover_at = Instant(now + HANDOVER_COOLDOWN_MS)
                raise NotLeading(f"{faster} has a faster processor")

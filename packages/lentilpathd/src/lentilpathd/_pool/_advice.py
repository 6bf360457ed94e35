"""Spreads calls to the advice service over all entry hosts, in order of priority.

The service handles one call at a time for each calling host, so a single host that made all calls
would fall behind. The leader assigns each call to a host that has no call in flight.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable

import msgspec

from lentilpath_core.ids import HostId, Instant, JobId, WorkerId
from lentilpath_core.peers import PeerRequest
from lentilpath_core.pool import AdviceAnswered, AskAdvice, Permission, PoolEvent, StepKey
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._metrics import Metric
from lentilpathd._peers import PeerBus
from lentilpathd._pool._guard import report_unexpected
from lentilpathd._pool._members import Members
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._ports import Advice, AdviceService

ADVICE_TOPIC = "pool.advice"
RANK_CLASS_FIELDS = 4
"""Fields of a rank before those that differ from step to step; see `Rank.get_class`."""
CALL_MARGIN_SECONDS = 1.0
"""Added to the expected duration of a call, for the network and an earlier call on that host."""
MAX_OVERLAPPING_CALL_MS = 60.0
"""A host gets a second call while both are at most this long, to hide the network latency to it."""


class AdviceRequest(msgspec.Struct, frozen=True):
    """Asks another entry host to call the advice service."""

    step: tuple[str, int, int]
    workers: tuple[WorkerId, ...]
    timeout_ms: int


class AdviceReply(msgspec.Struct, frozen=True):
    """Answer of the advice service: pairs of worker and ticket."""

    allowed: tuple[tuple[WorkerId, str], ...]
    valid_ms: int


class AdviceAgent:
    """Calls the advice service from this host, on behalf of the leader."""

    def __init__(self, service: AdviceService, bus: PeerBus) -> None:
        self._service = service
        bus.handle(ADVICE_TOPIC, self._handle_request)

    async def ask(self, step: StepKey, workers: tuple[WorkerId, ...], timeout: float) -> Advice:
        """Call the service from this host; `timeout` is in seconds."""
        return await self._service.ask(step, workers, timeout)

    async def _handle_request(self, request: PeerRequest) -> AdviceReply:
        body = msgspec.convert(request.body, AdviceRequest)
        job, occurrence, number = body.step
        advice = await self.ask(
            StepKey(JobId(job), occurrence, number),
            body.workers,
            body.timeout_ms / MS_PER_SECOND,
        )
        allowed = tuple((each.worker, each.ticket) for each in advice.allowed)
        return AdviceReply(allowed, advice.valid_ms)


class AdviceDispatcher:
    """Priority queue of the leader's calls to the advice service."""

    def __init__(
        self,
        agent: AdviceAgent,
        bus: PeerBus,
        members: Members,
        metrics: PoolMetrics,
        handle_event: Callable[[PoolEvent], None],
    ) -> None:
        self._agent = agent
        self._bus = bus
        self._members = members
        self._metrics = metrics
        self._handle_event = handle_event
        self._queue: list[tuple[tuple[float, ...], int, AskAdvice]] = []
        self._sequence = itertools.count()
        self._calls_in_flight: dict[HostId, list[float]] = {}
        self._wakeup = asyncio.Event()

    def queue(self, effect: AskAdvice) -> None:
        """Queue a call; it is sent as soon as a host is free."""
        heapq.heappush(self._queue, (effect.rank, next(self._sequence), effect))
        self._wakeup.set()

    def measure_backlog(self) -> dict[tuple[float, ...], float]:
        """Return the expected duration in ms of the calls that wait for a host, by their rank.

        Only the class of the rank counts, so that there are few entries.
        """
        backlog: dict[tuple[float, ...], float] = {}
        for rank, _, effect in self._queue:
            key = rank[:RANK_CLASS_FIELDS]
            backlog[key] = backlog.get(key, 0.0) + effect.cost_ms
        return backlog

    async def run(self) -> None:
        """Dispatch queued calls until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                await self._wakeup.wait()
                self._wakeup.clear()
                while self._queue:
                    host = self._choose_host(self._queue[0][2].cost_ms)
                    if host is None:
                        break
                    _, _, effect = heapq.heappop(self._queue)
                    self._calls_in_flight.setdefault(host, []).append(effect.cost_ms)
                    group.create_task(self._ask(host, effect))

    def _choose_host(self, cost_ms: float) -> HostId | None:
        """Return the host with the least work in flight that may get a call of this duration.

        `None` if no host is free.
        """
        best: tuple[float, int, HostId] | None = None
        for position, host in enumerate(self._members.list_hosts(read_instant())):
            in_flight = self._calls_in_flight.get(host, [])
            if in_flight and (
                len(in_flight) > 1 or max(*in_flight, cost_ms) > MAX_OVERLAPPING_CALL_MS
            ):
                continue
            candidate = (sum(in_flight), position, host)
            if best is None or candidate < best:
                best = candidate
        return best[2] if best is not None else None

    async def _ask(self, host: HostId, effect: AskAdvice) -> None:
        sent_at = read_instant()
        timeout = effect.cost_ms / MS_PER_SECOND + CALL_MARGIN_SECONDS
        try:
            reply = await self._call(host, effect, timeout)
        except Exception as error:
            report_unexpected("advice", error)
            self._metrics.count(Metric.DEPENDENCY_FAILED, "advice")
            log_event(Event.ADVICE_MISSING, step=effect.step, host=host, error=str(error))
            self._handle_event(AdviceAnswered(effect.step, effect.workers, None, sent_at))
            return
        finally:
            self._calls_in_flight[host].remove(effect.cost_ms)
            self._wakeup.set()
        self._metrics.record_time(Metric.ADVICE_TIME, read_instant() - sent_at)
        log_event(
            Event.ADVICE_ANSWERED,
            job=effect.step.job,
            step=effect.step.step,
            asked=len(effect.workers),
            allowed=len(reply.allowed),
            host=host,
            ms=read_instant() - sent_at,
        )
        # The service takes at least the expected duration, so validity starts no earlier than that.
        valid_until = Instant(int(sent_at + effect.cost_ms + reply.valid_ms))
        self._handle_event(AdviceAnswered(effect.step, effect.workers, reply.allowed, valid_until))

    async def _call(self, host: HostId, effect: AskAdvice, timeout: float) -> Advice:
        if host == self._bus.host:
            return await self._agent.ask(effect.step, effect.workers, timeout)
        advice_request = AdviceRequest(
            (effect.step.job, effect.step.occurrence, effect.step.step),
            effect.workers,
            int(timeout * MS_PER_SECOND),
        )
        reply = await self._bus.ask(host, ADVICE_TOPIC, advice_request, AdviceReply, timeout)
        return Advice(tuple(Permission(*each) for each in reply.allowed), reply.valid_ms)

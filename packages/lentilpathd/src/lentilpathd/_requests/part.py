"""The supervised part that serves callers' requests."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable

from lentilpath_core.ids import Instant, RequestId, ServiceId
from lentilpath_core.requests.messages import (
    CallerRequest,
    FailureReason,
    Outcome,
    RequestFailed,
    ServiceAnswer,
)
from lentilpath_core.requests.policy import RequestPolicy
from lentilpath_http import HttpLimits, HttpRequest, HttpResponse, HttpServer, serve_http
from lentilpathd._adapters.callers import (
    read_deferred_query,
    read_request,
    write_acceptance,
    write_answer,
    write_deferred,
    write_failure,
)
from lentilpathd._authority import Leadership
from lentilpathd._cancellation import start_member
from lentilpathd._clock import read_instant
from lentilpathd._context import DaemonContext
from lentilpathd._events import Event, log_event
from lentilpathd._metrics import Metric, create_metrics
from lentilpathd._requests.connections import ConnectionMaintainer
from lentilpathd._requests.deferred import DeferredRequests
from lentilpathd._requests.keys import IdempotencyHandler
from lentilpathd._requests.loans import SlotLoans
from lentilpathd._requests.roster import ServiceRegistry
from lentilpathd._requests.rows import TableCircuitBreaker
from lentilpathd._requests.service import PolicySource, Service
from lentilpathd._requests.sweep import Sweeper
from lentilpathd._tls import create_server_tls

DISPATCH_INTERVAL_SECONDS = 0.1
UNKNOWN_SERVICE_RETRY_MS = 1_000
MS_PER_SECOND = 1_000

RequestObserver = Callable[[ServiceId, bool, int, str], None]
"""Called when a request that was passed to a service has ended; replayed answers do not count.

Arguments: the service, whether the request was answered, its duration in ms, and the code of the
failure or an empty string.
"""


class Requests:
    """Serves callers on the address `settings.callers`."""

    def __init__(
        self,
        context: DaemonContext,
        leadership: Leadership,
        policy: RequestPolicy,
        find_policy: PolicySource,
        observe: RequestObserver,
    ) -> None:
        self._context = context
        self._observe = observe
        self._policy = policy
        self._find_policy = find_policy
        self._metrics = create_metrics(context.settings.statsd)
        self._server: HttpServer | None = None
        self.registry = ServiceRegistry(
            context.settings, policy, context.directory, self._create_service, read_instant()
        )
        breaker = TableCircuitBreaker()
        self._keys = IdempotencyHandler(
            context.table, context.objects, breaker, context.incarnation, policy
        )
        self._deferred = DeferredRequests(
            context.table,
            context.objects,
            breaker,
            context.settings.zone,
            context.incarnation,
            leadership,
            policy,
            self._send,
        )
        self._sweeper = Sweeper(context.table, context.directory, context.settings.zone, leadership)
        self._loans = SlotLoans(self.registry, policy, context.bus, self._metrics)
        self._connections = ConnectionMaintainer(self.registry, policy, self._metrics)
        context.directory.add_listener(self.registry.refresh)

    async def run(self) -> None:
        """Serve callers until cancelled."""
        settings = self._context.settings
        for service in self.registry.services.values():
            service.resume()
        self.registry.refresh()
        self._server = await serve_http(
            self._answer_caller,
            settings.callers.host,
            settings.callers.port,
            limits=HttpLimits(),
            tls=create_server_tls(settings.tls),
        )
        try:
            async with asyncio.TaskGroup() as group:
                start_member(group, self._connections.run, "connections")
                start_member(group, self._loans.run, "loans")
                start_member(group, self._deferred.run, "deferred requests")
                start_member(group, self._sweeper.run, "sweeper")
                start_member(group, self._dispatch_periodically, "dispatch")
        finally:
            self._abort()
            server, self._server = self._server, None
            await server.close(0.0)
            for runner in self.registry.list_runners():
                runner.close()

    async def drain(self, grace_seconds: float) -> None:
        """Accept no new connections and wait up to `grace_seconds` for all requests to end."""
        log_event(Event.REQUESTS_DRAINING)
        deadline = Instant(read_instant() + int(grace_seconds * MS_PER_SECOND))
        if self._server is not None:
            await self._server.close(grace_seconds)
        await self._deferred.stop(_compute_remaining_seconds(deadline))
        await self._keys.wait_until_idle(_compute_remaining_seconds(deadline))
        for service in self.registry.services.values():
            await service.wait_until_idle(_compute_remaining_seconds(deadline))
        await self._loans.return_unused_slots()
        log_event(Event.REQUESTS_DRAINED, left=self._count_in_flight())

    def is_listening(self) -> bool:
        """Return whether callers can connect."""
        return self._server is not None

    def get_port(self) -> int:
        """Return the port that callers reach."""
        assert self._server is not None
        return self._server.get_port()

    def _abort(self) -> None:
        self._deferred.abort()
        self._keys.abort()
        for service in self.registry.services.values():
            service.abort()

    def _count_in_flight(self) -> int:
        return sum(service.count_in_flight() for service in self.registry.services.values())

    def _create_service(self, service: ServiceId) -> Service:
        return Service(service, self._find_policy, self._metrics, self._wake_loans)

    def _wake_loans(self) -> None:
        self._loans.wake()

    async def _dispatch_periodically(self) -> None:
        # Slots also become free as time passes, when an ejection, a slow start or a loan ends.
        while True:
            await asyncio.sleep(DISPATCH_INTERVAL_SECONDS)
            for service in self.registry.services.values():
                service.dispatch_waiting()

    async def _answer_caller(self, message: HttpRequest) -> HttpResponse:
        request_id = RequestId(uuid.uuid4().hex)
        started = read_instant()
        try:
            response = await self._answer(message, request_id, started)
        except RequestFailed as failure:
            unknown = failure.reason.outcome is Outcome.UNKNOWN
            self._metrics.count(Metric.REQUEST_UNKNOWN if unknown else Metric.REQUEST_REFUSED)
            return write_failure(request_id, failure)
        self._metrics.count(Metric.REQUEST_ANSWERED)
        self._metrics.record_time(Metric.REQUEST_TIME, read_instant() - started)
        return response

    async def _answer(
        self, message: HttpRequest, request_id: RequestId, now: Instant
    ) -> HttpResponse:
        query = read_deferred_query(message)
        if query is not None:
            return write_deferred(request_id, query, await self._deferred.find(query.deferred))
        request = read_request(message, request_id, self._policy, now)
        self._find_service(request)
        if request.deferred:
            return write_acceptance(request_id, await self._deferred.accept(request))
        if request.idempotency_key is not None:
            return write_answer(request_id, await self._keys.handle(request, self._send))
        return write_answer(request_id, await self._send(request))

    async def _send(self, request: CallerRequest) -> ServiceAnswer:
        started = read_instant()
        try:
            answer = await self._find_service(request).handle(request)
        except RequestFailed as failure:
            waited_ms = read_instant() - started
            self._observe(request.service, False, waited_ms, failure.reason.code)
            raise
        self._observe(request.service, True, read_instant() - started, "")
        return answer

    def _find_service(self, request: CallerRequest) -> Service:
        service = self.registry.services.get(request.service)
        if service is None:
            raise RequestFailed(
                FailureReason.UNKNOWN_SERVICE,
                f"no runner of a service {request.service!r} is listed",
                UNKNOWN_SERVICE_RETRY_MS,
            )
        return service


def create_requests(
    context: DaemonContext,
    leadership: Leadership,
    policy: RequestPolicy | None = None,
    find_policy: PolicySource | None = None,
    observe: RequestObserver | None = None,
) -> Requests:
    """Return the part that serves callers' requests.

    `policy` applies to the whole process. `find_policy` returns the current configured limits of
    one service and customer; by default they are those of `policy`. `observe` is called with the
    result of each request that was passed to a service.
    """
    process_policy = policy or RequestPolicy()
    policy_source = find_policy or (lambda service, customer: process_policy)
    return Requests(context, leadership, process_policy, policy_source, observe or _ignore_outcome)


def _ignore_outcome(service: ServiceId, answered: bool, ms: int, cause: str) -> None:
    return


def _compute_remaining_seconds(deadline: Instant) -> float:
    return max(0, deadline - read_instant()) / MS_PER_SECOND

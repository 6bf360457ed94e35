"""Queues, sends and retries the requests of one service on this host."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lentilpath_core.errors import OutcomeUnknown
from lentilpath_core.ids import CustomerId, Instant, RequestId, ServiceId, UpstreamId
from lentilpath_core.requests.admission import (
    ServiceQueue,
    admit_request,
    count_reserved_slots,
    enqueue_request,
    estimate_wait,
    peek_next_request,
    pop_next_request,
    record_run_time,
    release_request,
    withdraw_request,
)
from lentilpath_core.requests.messages import (
    CallerRequest,
    FailureReason,
    Outcome,
    Priority,
    RequestFailed,
    ServiceAnswer,
)
from lentilpath_core.requests.policy import RequestPolicy
from lentilpath_core.requests.retries import add_retry_credit, create_retry_budget, try_spend_retry
from lentilpath_core.requests.routing import (
    Candidate,
    Distance,
    RunnerHealth,
    choose_runner,
    is_in_pool,
    may_leave_region,
    record_failure,
    record_success,
)
from lentilpathd._adapters.upstream import MalformedAnswer, RunnerRefused
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._metrics import Metric, Metrics
from lentilpathd._requests.runner import AcquiredSlot, Runner

MS_PER_SECOND = 1_000
NO_RUNNER_RETRY_MS = 1_000


@dataclass(frozen=True, slots=True)
class _Attempt:
    """The result of one attempt to send a request: an answer, or the known outcome."""

    answer: ServiceAnswer | None
    outcome: Outcome
    message: str


PolicySource = Callable[[ServiceId, CustomerId | None], RequestPolicy]
"""Returns the current policy of a service, with the limits of the customer if one is given."""


class Service:
    """Sends the requests of one service to its runners."""

    def __init__(
        self,
        service: ServiceId,
        find_policy: PolicySource,
        metrics: Metrics,
        on_waiting: Callable[[], None],
    ) -> None:
        self.service = service
        self.runners: dict[UpstreamId, Runner] = {}
        self.queue = ServiceQueue()
        self.bytes_by_distance = dict.fromkeys(Distance, 0)
        """Bytes sent to and received from runners, by their distance."""
        self._find_policy = find_policy
        self._metrics = metrics
        self._on_waiting = on_waiting
        self._budget = create_retry_budget(self._policy)
        self._waiters: dict[RequestId, asyncio.Future[AcquiredSlot]] = {}
        self._aborted = False
        self._attempts: set[asyncio.Task[_Attempt]] = set()

    @property
    def _policy(self) -> RequestPolicy:
        return self._find_policy(self.service, None)

    async def handle(self, request: CallerRequest) -> ServiceAnswer:
        """Return the complete answer to `request`; raises `RequestFailed`.

        Cancellation removes a waiting request from the queue. A request that was sent is not
        interrupted, because the runner would continue it anyway.
        """
        policy = self._find_policy(self.service, request.customer)
        admit_request(self.queue, request, policy, read_instant())
        add_retry_credit(self._budget, self._policy)
        try:
            return await self._send_until_answered(request)
        finally:
            release_request(self.queue, request)

    def count_slots(self, now: Instant) -> int:
        """Return how many slots of healthy runners this host may use at `now`."""
        return sum(
            runner.count_slots(now)
            for runner in self.runners.values()
            if is_in_pool(runner.health, now)
        )

    def count_in_flight(self) -> int:
        """Return how many requests runners may be executing."""
        return len(self._attempts)

    async def wait_until_idle(self, timeout: float) -> None:
        """Wait up to `timeout` seconds until no request is in flight."""
        if self._attempts:
            await asyncio.wait(tuple(self._attempts), timeout=timeout)

    def resume(self) -> None:
        """Allow requests to be sent again after `abort`."""
        self._aborted = False

    def abort(self) -> None:
        """Cancel all attempts in flight and start no more until `resume`."""
        self._aborted = True
        for attempt in self._attempts:
            attempt.cancel()

    def estimate_next_wait(self, now: Instant) -> float:
        """Return the estimated remaining wait of the last queued request, in ms."""
        waiting = self.queue.count_waiting()
        return estimate_wait(self.queue, waiting, self.count_slots(now)) if waiting else 0.0

    def dispatch_waiting(self) -> None:
        """Assign free slots to waiting requests."""
        if self._aborted:
            return
        now = read_instant()
        while (request := peek_next_request(self.queue)) is not None:
            if request.priority is Priority.NORMAL and not self._has_slot_for_normal(now):
                return
            runner = self._choose_runner(request, now)
            if runner is None:
                return
            pop_next_request(self.queue)
            self._waiters.pop(request.request_id).set_result(runner.acquire_slot(now))

    async def _send_until_answered(self, request: CallerRequest) -> ServiceAnswer:
        while True:
            slot = await self._acquire_slot(request)
            attempt = await self._send_attempt(slot, request)
            if attempt.answer is not None:
                return attempt.answer
            if read_instant() >= request.deadline or not try_spend_retry(
                self._budget, request, attempt.outcome
            ):
                raise self._make_failure(request, attempt)
            self._metrics.count(Metric.REQUEST_RETRIED)

    def _make_failure(self, request: CallerRequest, attempt: _Attempt) -> RequestFailed:
        if attempt.outcome is Outcome.UNKNOWN:
            log_event(
                Event.REQUEST_OUTCOME_UNKNOWN, request=request.request_id, error=attempt.message
            )
            return RequestFailed(FailureReason.OUTCOME_UNKNOWN, attempt.message)
        return RequestFailed(FailureReason.NO_RUNNER, attempt.message, NO_RUNNER_RETRY_MS)

    async def _acquire_slot(self, request: CallerRequest) -> AcquiredSlot:
        now = read_instant()
        if now >= request.deadline:
            raise RequestFailed(FailureReason.DEADLINE_PASSED, "its deadline passed before it ran")
        if not any(not runner.health.leaving for runner in self.runners.values()):
            raise RequestFailed(
                FailureReason.NO_RUNNER, f"{self.service} has no runner", NO_RUNNER_RETRY_MS
            )
        slots = self.count_slots(now) if self.queue.count_waiting() else 0
        displaced = enqueue_request(self.queue, request, slots, self._policy, now)
        for waiting in displaced:
            self._waiters.pop(waiting.request_id).set_exception(
                RequestFailed(
                    FailureReason.OVERLOADED,
                    "urgent requests took its place",
                    max(1, int(self.queue.average_run_ms)),
                )
            )
        waiter: asyncio.Future[AcquiredSlot] = asyncio.get_running_loop().create_future()
        self._waiters[request.request_id] = waiter
        self.dispatch_waiting()
        if not waiter.done():
            self._on_waiting()
        return await self._await_slot(request, waiter)

    async def _await_slot(
        self, request: CallerRequest, waiter: asyncio.Future[AcquiredSlot]
    ) -> AcquiredSlot:
        if waiter.done():
            return waiter.result()
        queued_at = read_instant()
        wait_ms = min(self._policy.queue_wait_ms, request.deadline - queued_at)
        try:
            async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                slot = await asyncio.shield(waiter)
        except BaseException as error:
            self._stop_waiting(request, waiter)
            if not isinstance(error, TimeoutError):
                raise
            if read_instant() >= request.deadline:
                raise RequestFailed(
                    FailureReason.DEADLINE_PASSED, "its deadline passed while it waited"
                ) from error
            raise RequestFailed(
                FailureReason.OVERLOADED,
                f"no runner of {self.service} was free for {wait_ms} ms",
                max(1, int(self.estimate_next_wait(read_instant()))),
            ) from error
        self._metrics.record_time(Metric.QUEUE_WAIT_TIME, read_instant() - queued_at)
        return slot

    def _stop_waiting(self, request: CallerRequest, waiter: asyncio.Future[AcquiredSlot]) -> None:
        if withdraw_request(self.queue, request):
            del self._waiters[request.request_id]
        elif waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            slot = waiter.result()
            slot.runner.release_slot(slot)
            self.dispatch_waiting()

    async def _send_attempt(self, slot: AcquiredSlot, request: CallerRequest) -> _Attempt:
        # The attempt outlives its caller, because the slot is in use until the runner has finished.
        attempt = asyncio.create_task(self._send(slot, request))
        self._attempts.add(attempt)
        attempt.add_done_callback(self._attempts.discard)
        remaining_ms = max(0, request.deadline - read_instant())
        try:
            async with asyncio.timeout(remaining_ms / MS_PER_SECOND):
                return await asyncio.shield(attempt)
        except TimeoutError:
            record_failure(self._list_health(), slot.runner.health, self._policy, read_instant())
            return _Attempt(None, Outcome.UNKNOWN, "no answer came before its deadline")

    async def _send(self, slot: AcquiredSlot, request: CallerRequest) -> _Attempt:
        runner = slot.runner
        try:
            connection = await runner.acquire_connection()
        except RunnerRefused as error:
            self._record_failure(runner)
            self._release_slot(slot)
            return _Attempt(None, Outcome.NOT_RUN, str(error))
        except BaseException:
            self._release_slot(slot)
            raise
        started = read_instant()
        bytes_before = connection.bytes_transferred
        reusable = False
        try:
            if started >= request.deadline:
                reusable = True
                return _Attempt(None, Outcome.NOT_RUN, "its deadline passed before it was sent")
            answer = await connection.send(
                request, request.deadline - started, self._policy.max_run_ms / MS_PER_SECOND
            )
            reusable = True
            run_ms = read_instant() - started
            record_success(runner.health, run_ms)
            record_run_time(self.queue, run_ms)
            return _Attempt(answer, Outcome.UNKNOWN, "")
        except RunnerRefused as error:
            reusable = error.reached
            self._record_refusal(runner, error)
            return _Attempt(None, Outcome.NOT_RUN, str(error))
        except OutcomeUnknown as error:
            if isinstance(error, MalformedAnswer):
                log_warning_event(
                    Event.ANSWER_MALFORMED, runner=runner.listed.name, error=str(error)
                )
            self._record_failure(runner)
            return _Attempt(None, Outcome.UNKNOWN, str(error))
        finally:
            self._count_bytes(runner, connection.bytes_transferred - bytes_before)
            if reusable:
                runner.release_connection(connection, read_instant())
            else:
                runner.discard_connection(connection, may_linger=True)
            self._release_slot(slot)

    def _count_bytes(self, runner: Runner, amount: int) -> None:
        distance = runner.health.distance
        self.bytes_by_distance[distance] += amount
        if distance is Distance.OTHER_REGION:
            self._metrics.count(Metric.REGION_BYTES, amount)

    def _release_slot(self, slot: AcquiredSlot) -> None:
        slot.runner.release_slot(slot)
        self.dispatch_waiting()

    def _record_refusal(self, runner: Runner, refusal: RunnerRefused) -> None:
        self._metrics.count(Metric.RUNNER_REFUSED)
        if refusal.leaving and not runner.health.leaving:
            runner.health.leaving = True
            log_event(Event.RUNNER_LEAVING, runner=runner.listed.name)
        self._record_failure(runner)

    def _record_failure(self, runner: Runner) -> None:
        now = read_instant()
        if record_failure(self._list_health(), runner.health, self._policy, now):
            self._metrics.count(Metric.RUNNER_EJECTED)
            log_warning_event(
                Event.RUNNER_EJECTED,
                runner=runner.listed.name,
                until_ms=runner.health.ejected_until - now,
            )

    def _list_health(self) -> tuple[RunnerHealth, ...]:
        return tuple(runner.health for runner in self.runners.values())

    def _choose_runner(self, request: CallerRequest, now: Instant) -> Runner | None:
        # A nearer runner is preferred whatever its load; farther ones are considered only if no
        # nearer one has a free slot.
        for distance in Distance:
            if distance is Distance.OTHER_REGION and not self._may_leave_region(request, now):
                return None
            candidates = tuple(
                Candidate(runner.health, runner.count_in_use(), runner.count_slots(now))
                for runner in self.runners.values()
                if runner.health.distance is distance and runner.has_free_slot(now)
            )
            chosen = choose_runner(candidates)
            if chosen is not None:
                return self.runners[chosen.health.runner]
        return None

    def _has_slot_for_normal(self, now: Instant) -> bool:
        if self.queue.last_urgent_at is None:
            return True
        slots = self.count_slots(now)
        reserved = count_reserved_slots(self.queue, slots, self._policy, now)
        in_use = sum(runner.count_in_use() for runner in self.runners.values())
        return reserved == 0 or slots - in_use > reserved

    def _may_leave_region(self, request: CallerRequest, now: Instant) -> bool:
        waited_ms = now - self.queue.queued_at.get(request.request_id, now)
        expected_ms = waited_ms + self.estimate_next_wait(now)
        return may_leave_region(self._policy, request.count_bytes(), expected_ms)

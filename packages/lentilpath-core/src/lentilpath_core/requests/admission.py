"""Admission of requests: rate, concurrency, and a queue bounded by bytes and by age."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from lentilpath_core.ids import CustomerId, Instant, RequestId
from lentilpath_core.requests.messages import (
    CallerRequest,
    FailureReason,
    Priority,
    RequestFailed,
)
from lentilpath_core.requests.policy import RequestPolicy

MS_PER_SECOND = 1_000
MAX_KNOWN_CUSTOMERS = 10_000
"""Names of customers come from callers, so what is kept of them is bounded."""
RUN_TIME_WEIGHT = 0.1
"""Weight of the newest run time in the moving average."""
FIRST_RUN_MS = 20.0
"""Run time that is assumed before any was seen."""


@dataclass(slots=True)
class CustomerUsage:
    """What one customer does with one service through this host."""

    tokens: float
    refilled_at: Instant
    in_flight: int = 0


@dataclass(slots=True)
class ServiceQueue:
    """The waiting requests of one service, urgent ones first."""

    urgent: deque[CallerRequest] = field(default_factory=deque)
    normal: deque[CallerRequest] = field(default_factory=deque)
    queued_at: dict[RequestId, Instant] = field(default_factory=dict)
    """Holds exactly the requests that still wait; others in the deques were withdrawn."""
    bytes: int = 0
    customers: dict[CustomerId, CustomerUsage] = field(default_factory=dict)
    run_ms: float = FIRST_RUN_MS
    """Moving average of run times."""
    urgent_at: Instant | None = None
    """When the last urgent request came."""

    def count_waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self.queued_at)


def admit_request(
    queue: ServiceQueue, request: CallerRequest, policy: RequestPolicy, now: Instant
) -> None:
    """Count `request` for its customer; raises `RequestFailed` if it is over a limit."""
    usage = _refill_tokens(queue, request.customer, policy, now)
    if usage.tokens < 1.0:
        wait_ms = (1.0 - usage.tokens) / policy.customer_requests_per_second * MS_PER_SECOND
        raise RequestFailed(
            FailureReason.LIMIT_REACHED,
            f"{request.customer} sends over {policy.customer_requests_per_second:g} requests a "
            f"second to {request.service}; slow down",
            max(1, int(wait_ms)),
        )
    if usage.in_flight >= policy.customer_in_flight:
        raise RequestFailed(
            FailureReason.LIMIT_REACHED,
            f"{request.customer} has {usage.in_flight} requests for {request.service} open here; "
            "wait for some answers",
            max(1, int(queue.run_ms)),
        )
    usage.tokens -= 1.0
    usage.in_flight += 1


def release_request(queue: ServiceQueue, request: CallerRequest) -> None:
    """Take an admitted request, which has its final answer, off its customer's count."""
    usage = queue.customers.get(request.customer)
    if usage is not None:
        usage.in_flight -= 1


def enqueue_request(
    queue: ServiceQueue, request: CallerRequest, slots: int, policy: RequestPolicy, now: Instant
) -> tuple[CallerRequest, ...]:
    """Let `request` wait and return the requests that must give way to it.

    `slots` is the number of slots that serve the queue. Raises `RequestFailed` if it would wait
    too long to be of use, or if there is no room that it may take.
    """
    ahead = len(queue.urgent)
    if request.priority is Priority.NORMAL:
        ahead = queue.count_waiting()
    wait_ms = estimate_wait(queue, ahead, slots)
    limit_ms = min(policy.queue_wait_ms, request.deadline - now - queue.run_ms)
    if wait_ms > limit_ms:
        raise RequestFailed(
            FailureReason.OVERLOADED,
            f"{request.service} would begin this in {wait_ms:.0f} ms, and it can wait for "
            f"{max(0.0, limit_ms):.0f} ms",
            max(1, int(wait_ms)),
        )
    if request.priority is Priority.URGENT:
        queue.urgent_at = now
    displaced = _make_room(queue, request, policy)
    line = queue.urgent if request.priority is Priority.URGENT else queue.normal
    line.append(request)
    queue.queued_at[request.request] = now
    queue.bytes += request.count_bytes()
    return displaced


def estimate_wait(queue: ServiceQueue, ahead: int, slots: int) -> float:
    """Return how many ms pass until a request with `ahead` others before it begins."""
    if ahead == 0:
        return 0.0
    return ahead * queue.run_ms / max(1, slots)


def withdraw_request(queue: ServiceQueue, request: CallerRequest) -> bool:
    """Take `request` out of the queue; return whether it was waiting."""
    if queue.queued_at.pop(request.request, None) is None:
        return False
    queue.bytes -= request.count_bytes()
    return True


def take_next_request(queue: ServiceQueue) -> CallerRequest | None:
    """Return the request that goes next and take it out, or `None` if none waits."""
    for line in (queue.urgent, queue.normal):
        while line:
            request = line.popleft()
            if withdraw_request(queue, request):
                return request
    return None


def peek_next_request(queue: ServiceQueue) -> CallerRequest | None:
    """Return the request that goes next and leave it in, or `None` if none waits."""
    for line in (queue.urgent, queue.normal):
        while line:
            if line[0].request in queue.queued_at:
                return line[0]
            line.popleft()
    return None


def take_expired_requests(
    queue: ServiceQueue, policy: RequestPolicy, now: Instant
) -> tuple[CallerRequest, ...]:
    """Take out and return the requests that waited too long or whose callers gave up."""
    expired = [
        request
        for line in (queue.urgent, queue.normal)
        for request in line
        if _is_expired(queue, request, policy, now)
    ]
    for request in expired:
        withdraw_request(queue, request)
    return tuple(expired)


def count_reserved_slots(
    queue: ServiceQueue, slots: int, policy: RequestPolicy, now: Instant
) -> int:
    """Return how many of `slots` are kept free of normal requests at `now`.

    In overload each freed slot is taken at once, so an urgent request would wait for the next one.
    """
    if queue.urgent_at is None or now - queue.urgent_at > policy.urgent_reserve_ms:
        return 0
    return int(slots * policy.urgent_reserve_fraction)


def record_run_time(queue: ServiceQueue, run_ms: float) -> None:
    """Take the run time of an answered request into the average."""
    queue.run_ms += (run_ms - queue.run_ms) * RUN_TIME_WEIGHT


def _is_expired(
    queue: ServiceQueue, request: CallerRequest, policy: RequestPolicy, now: Instant
) -> bool:
    queued_at = queue.queued_at.get(request.request)
    if queued_at is None:
        return False
    return now >= request.deadline or now - queued_at > policy.queue_wait_ms


def _make_room(
    queue: ServiceQueue, request: CallerRequest, policy: RequestPolicy
) -> tuple[CallerRequest, ...]:
    excess = queue.bytes + request.count_bytes() - policy.queue_bytes
    displaced: list[CallerRequest] = []
    if excess > 0 and request.priority is Priority.URGENT:
        for waiting in reversed(queue.normal):
            if excess <= 0:
                break
            if waiting.request in queue.queued_at:
                displaced.append(waiting)
                excess -= waiting.count_bytes()
    if excess > 0:
        raise RequestFailed(
            FailureReason.OVERLOADED,
            f"requests for {request.service} that wait hold {queue.bytes} of "
            f"{policy.queue_bytes} bytes",
            max(1, int(queue.run_ms)),
        )
    for waiting in displaced:
        withdraw_request(queue, waiting)
    return tuple(displaced)


def _forget_idle_customers(queue: ServiceQueue, policy: RequestPolicy, now: Instant) -> None:
    """Make room for a customer: one whose bucket is full again needs no memory."""
    if len(queue.customers) < MAX_KNOWN_CUSTOMERS:
        return
    full_after_ms = policy.customer_burst / policy.customer_requests_per_second * MS_PER_SECOND
    for customer, usage in tuple(queue.customers.items()):
        if usage.in_flight == 0 and now - usage.refilled_at >= full_after_ms:
            del queue.customers[customer]
    if len(queue.customers) >= MAX_KNOWN_CUSTOMERS:
        raise RequestFailed(
            FailureReason.LIMIT_REACHED,
            f"{MAX_KNOWN_CUSTOMERS} customers are known here; come back later",
            max(1, int(full_after_ms)),
        )


def _refill_tokens(
    queue: ServiceQueue, customer: CustomerId, policy: RequestPolicy, now: Instant
) -> CustomerUsage:
    usage = queue.customers.get(customer)
    if usage is None:
        _forget_idle_customers(queue, policy, now)
        usage = CustomerUsage(policy.customer_burst, now)
        queue.customers[customer] = usage
    seconds = (now - usage.refilled_at) / MS_PER_SECOND
    earned = seconds * policy.customer_requests_per_second
    usage.tokens = min(policy.customer_burst, usage.tokens + earned)
    usage.refilled_at = now
    return usage

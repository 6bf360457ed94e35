"""Admission control: rate and concurrency limits, and a queue bounded by bytes and wait time."""

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
MAX_TRACKED_CUSTOMERS = 10_000
"""Limit on customers tracked per service; callers choose the names, so memory must be bounded."""
RUN_TIME_WEIGHT = 0.1
"""Weight of the newest run time in the moving average."""
INITIAL_RUN_MS = 20.0
"""Run time assumed before any request has completed."""


@dataclass(slots=True)
class CustomerUsage:
    """Token bucket and open requests of one customer for one service on this host."""

    tokens: float
    refilled_at: Instant
    in_flight: int = 0


@dataclass(slots=True)
class ServiceQueue:
    """The waiting requests of one service, urgent ones first."""

    urgent: deque[CallerRequest] = field(default_factory=deque)
    normal: deque[CallerRequest] = field(default_factory=deque)
    queued_at: dict[RequestId, Instant] = field(default_factory=dict)
    """Holds exactly the waiting requests; others in the deques were withdrawn and are skipped."""
    queued_bytes: int = 0
    customers: dict[CustomerId, CustomerUsage] = field(default_factory=dict)
    average_run_ms: float = INITIAL_RUN_MS
    """Moving average of run times."""
    last_urgent_at: Instant | None = None
    """When an urgent request last entered the queue."""

    def count_waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self.queued_at)


def admit_request(
    queue: ServiceQueue, request: CallerRequest, policy: RequestPolicy, now: Instant
) -> None:
    """Charge `request` to its customer's limits; raises `RequestFailed` if it exceeds one."""
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
            max(1, int(queue.average_run_ms)),
        )
    usage.tokens -= 1.0
    usage.in_flight += 1


def release_request(queue: ServiceQueue, request: CallerRequest) -> None:
    """Release the concurrency of an admitted request that has its final answer."""
    usage = queue.customers.get(request.customer)
    if usage is not None:
        usage.in_flight -= 1


def enqueue_request(
    queue: ServiceQueue, request: CallerRequest, slots: int, policy: RequestPolicy, now: Instant
) -> tuple[CallerRequest, ...]:
    """Queue `request` and return the normal requests displaced to make space for it.

    `slots` is the number of slots that serve the queue. Raises `RequestFailed` if the estimated
    wait exceeds the queue's limit or the request's deadline, or if the queue is full.
    """
    ahead = len(queue.urgent)
    if request.priority is Priority.NORMAL:
        ahead = queue.count_waiting()
    wait_ms = estimate_wait(queue, ahead, slots)
    limit_ms = min(policy.queue_wait_ms, request.deadline - now - queue.average_run_ms)
    if wait_ms > limit_ms:
        raise RequestFailed(
            FailureReason.OVERLOADED,
            f"{request.service} would begin this in {wait_ms:.0f} ms, and it can wait for "
            f"{max(0.0, limit_ms):.0f} ms",
            max(1, int(wait_ms)),
        )
    displaced = _displace_normal_requests(queue, request, policy)
    if request.priority is Priority.URGENT:
        queue.last_urgent_at = now
    requests = queue.urgent if request.priority is Priority.URGENT else queue.normal
    requests.append(request)
    queue.queued_at[request.request_id] = now
    queue.queued_bytes += request.count_bytes()
    return displaced


def estimate_wait(queue: ServiceQueue, ahead: int, slots: int) -> float:
    """Return the expected wait, in ms, of a request with `ahead` others before it."""
    if ahead == 0:
        return 0.0
    return ahead * queue.average_run_ms / max(1, slots)


def withdraw_request(queue: ServiceQueue, request: CallerRequest) -> bool:
    """Remove `request` from the queue; return whether it was waiting."""
    if queue.queued_at.pop(request.request_id, None) is None:
        return False
    queue.queued_bytes -= request.count_bytes()
    return True


def pop_next_request(queue: ServiceQueue) -> CallerRequest | None:
    """Remove and return the next request to send, or `None` if none waits."""
    for requests in (queue.urgent, queue.normal):
        while requests:
            request = requests.popleft()
            if withdraw_request(queue, request):
                return request
    return None


def peek_next_request(queue: ServiceQueue) -> CallerRequest | None:
    """Return the next request to send without removing it, or `None` if none waits."""
    for requests in (queue.urgent, queue.normal):
        while requests:
            if requests[0].request_id in queue.queued_at:
                return requests[0]
            requests.popleft()
    return None


def count_reserved_slots(
    queue: ServiceQueue, slots: int, policy: RequestPolicy, now: Instant
) -> int:
    """Return how many of `slots` are reserved for urgent requests at `now`.

    Without a reservation, normal requests take every freed slot at once under overload, and an
    urgent request has to wait for the next one.
    """
    if queue.last_urgent_at is None or now - queue.last_urgent_at > policy.urgent_reserve_ms:
        return 0
    return int(slots * policy.urgent_reserve_fraction)


def record_run_time(queue: ServiceQueue, run_ms: float) -> None:
    """Update the moving average with the run time of an answered request."""
    queue.average_run_ms += (run_ms - queue.average_run_ms) * RUN_TIME_WEIGHT


def _displace_normal_requests(
    queue: ServiceQueue, request: CallerRequest, policy: RequestPolicy
) -> tuple[CallerRequest, ...]:
    excess = queue.queued_bytes + request.count_bytes() - policy.queue_bytes
    displaced: list[CallerRequest] = []
    if excess > 0 and request.priority is Priority.URGENT:
        for waiting in reversed(queue.normal):
            if excess <= 0:
                break
            if waiting.request_id in queue.queued_at:
                displaced.append(waiting)
                excess -= waiting.count_bytes()
    if excess > 0:
        raise RequestFailed(
            FailureReason.OVERLOADED,
            f"requests for {request.service} that wait hold {queue.queued_bytes} of "
            f"{policy.queue_bytes} bytes",
            max(1, int(queue.average_run_ms)),
        )
    for waiting in displaced:
        withdraw_request(queue, waiting)
    return tuple(displaced)


def _evict_idle_customers(queue: ServiceQueue, policy: RequestPolicy, now: Instant) -> None:
    """Evict idle customers with full buckets, whose state equals that of a new customer."""
    if len(queue.customers) < MAX_TRACKED_CUSTOMERS:
        return
    full_after_ms = policy.customer_burst / policy.customer_requests_per_second * MS_PER_SECOND
    for customer, usage in tuple(queue.customers.items()):
        if usage.in_flight == 0 and now - usage.refilled_at >= full_after_ms:
            del queue.customers[customer]
    if len(queue.customers) >= MAX_TRACKED_CUSTOMERS:
        raise RequestFailed(
            FailureReason.LIMIT_REACHED,
            f"{MAX_TRACKED_CUSTOMERS} customers are known here; come back later",
            max(1, int(full_after_ms)),
        )


def _refill_tokens(
    queue: ServiceQueue, customer: CustomerId, policy: RequestPolicy, now: Instant
) -> CustomerUsage:
    usage = queue.customers.get(customer)
    if usage is None:
        _evict_idle_customers(queue, policy, now)
        usage = CustomerUsage(policy.customer_burst, now)
        queue.customers[customer] = usage
    seconds = (now - usage.refilled_at) / MS_PER_SECOND
    refilled = seconds * policy.customer_requests_per_second
    usage.tokens = min(policy.customer_burst, usage.tokens + refilled)
    usage.refilled_at = now
    return usage

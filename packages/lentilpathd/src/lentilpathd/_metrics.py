"""Counters, gauges and timers for statsd; without a statsd address nothing is sent."""

from __future__ import annotations

from enum import Enum

import statsd

from lentilpath_core.settings import Address

PREFIX = "lentilpath"


class Metric(Enum):
    """All metrics, described in docs/METRICS.md. Times are in ms."""

    REQUEST_ANSWERED = "requests.answered"
    REQUEST_REFUSED = "requests.refused"
    REQUEST_UNKNOWN = "requests.unknown"
    REQUEST_RETRIED = "requests.retried"
    REQUEST_TIME = "requests.time"
    QUEUE_WAIT_TIME = "requests.queue_wait"
    RUNNER_REFUSED = "requests.runner_refused"
    RUNNER_EJECTED = "requests.runner_ejected"
    CONNECTION_OPENED = "requests.connection_opened"
    CONNECTION_DEAD = "requests.connection_dead"
    SLOTS_BORROWED = "requests.slots_borrowed"
    OBJECTIVE_GOOD = "objectives.good"
    OBJECTIVE_BAD = "objectives.bad"
    REGION_BYTES = "requests.other_region_bytes"
    JOB_ANSWERED = "jobs.answered"
    JOB_ANSWER_TIME = "jobs.answer_time"
    JOB_ENDED = "jobs.ended"
    JOBS_PENDING = "jobs.pending"
    KEY_REFUSED = "jobs.key_refused"
    CUSTOMER_REFUSED = "customers.refused"
    CUSTOMER_RUNNING = "customers.running_millicores"
    CUSTOMER_WAITING = "customers.waiting_tasks"
    RUN_STARTED = "runs.started"
    RUN_ENDED = "runs.ended"
    RUN_STOPPED = "runs.stopped"
    RUN_GIVEN_UP = "runs.given_up"
    START_WAIT = "runs.start_wait"
    RECORD_WAIT = "runs.record_wait"
    COMMAND_WAIT = "commands.wait"
    COMMAND_TIME = "commands.time"
    ADVICE_TIME = "advice.time"
    DEPENDENCY_FAILED = "dependencies.failed"
    IS_LEADER = "leadership.is_leader"
    BREAKER_OPEN = "table.breaker_open"
    CALLS_HELD = "table.calls_held"
    LOOP_DELAY = "loop.delay"
    CALLER_EVICTED = "callers.evicted"


class Metrics:
    """Sends metrics over UDP without retries."""

    def __init__(self, client: statsd.StatsClient | None) -> None:
        self._client = client

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        if self._client is not None:
            self._client.incr(metric.value, amount)

    def set_gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(metric.value, value)

    def record_time(self, metric: Metric, ms: float) -> None:
        """Record one duration in a timer."""
        if self._client is not None:
            self._client.timing(metric.value, ms)


def create_metrics(address: Address | None) -> Metrics:
    """Return metrics that are sent to `address`, or discarded if it is `None`."""
    if address is None:
        return Metrics(None)
    return Metrics(statsd.StatsClient(address.host, address.port, prefix=PREFIX))

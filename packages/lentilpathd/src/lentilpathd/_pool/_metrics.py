"""Metrics of a pool host, served in the Prometheus text format and optionally sent to statsd."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from lentilpath_core.ids import CustomerId, Instant
from lentilpath_core.pool import MAX_LISTED_CUSTOMERS, OTHER_CUSTOMERS, ListedUsage
from lentilpath_http import ConnectionBudget, HttpRequest, HttpResponse, HttpServer, serve_http
from lentilpathd._clock import read_instant
from lentilpathd._metrics import Metric, Metrics
from lentilpathd._pool._settings import PoolHostSettings

CONTENT_TYPE = "text/plain; version=0.0.4"
TIME_BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
HTTP_OK = 200
HTTP_NOT_FOUND = 404
METRICS_PATH = "/metrics"

_COUNTERS: dict[Metric, tuple[str, ...]] = {
    Metric.JOB_ANSWERED: ("queue", "outcome"),
    Metric.KEY_REFUSED: ("queue",),
    Metric.CUSTOMER_REFUSED: ("customer",),
    Metric.RUN_STARTED: ("queue", "tier"),
    Metric.RUN_ENDED: ("end",),
    Metric.RUN_STOPPED: ("reason",),
    Metric.RUN_GIVEN_UP: ("reason",),
    Metric.JOB_ENDED: ("state",),
    Metric.DEPENDENCY_FAILED: ("dependency",),
    Metric.CALLER_EVICTED: ("reason",),
}
"""Label values are enum values or queues of the configuration, so their number is bounded."""
_TIMES: dict[Metric, tuple[str, ...]] = {
    Metric.JOB_ANSWER_TIME: ("queue", "outcome"),
    Metric.START_WAIT: ("queue",),
    Metric.RECORD_WAIT: (),
    Metric.COMMAND_WAIT: ("command",),
    Metric.COMMAND_TIME: ("command",),
    Metric.ADVICE_TIME: (),
    Metric.LOOP_DELAY: ("cause",),
}
_GAUGES: dict[Metric, tuple[str, ...]] = {
    Metric.JOBS_PENDING: ("queue",),
    Metric.IS_LEADER: (),
    Metric.CUSTOMER_RUNNING: ("customer",),
    Metric.CUSTOMER_WAITING: ("customer",),
    Metric.BREAKER_OPEN: ("partition", "path"),
    Metric.CALLS_HELD: (),
}
TEXT_AGE_MS = 1_000
"""The text of 40 queues' metrics takes 34 ms of the event loop, and readers come every 5 s."""
_MS_PER_SECOND = 1_000


class PoolMetrics:
    """All metrics of one process."""

    def __init__(self, statsd: Metrics | None = None) -> None:
        self._statsd = statsd or Metrics(None)
        self._counted_customers: set[CustomerId] = set()
        self._pending_queues: set[str] = set()
        self._registry = CollectorRegistry()
        self._text: tuple[Instant, bytes] | None = None
        """The last text, and when it was written."""
        self._counters = {
            metric: Counter(_make_name(metric), metric.value, labels, registry=self._registry)
            for metric, labels in _COUNTERS.items()
        }
        self._times = {
            metric: Histogram(
                _make_name(metric) + "_seconds",
                metric.value,
                labels,
                buckets=TIME_BUCKETS_SECONDS,
                registry=self._registry,
            )
            for metric, labels in _TIMES.items()
        }
        self._gauges = {
            metric: Gauge(_make_name(metric), metric.value, labels, registry=self._registry)
            for metric, labels in _GAUGES.items()
        }

    def count(self, metric: Metric, *labels: str) -> None:
        """Increment a counter."""
        counter = self._counters[metric]
        (counter.labels(*labels) if labels else counter).inc()
        self._statsd.count(metric)

    def count_customer(self, metric: Metric, customer: CustomerId) -> None:
        """Increment a counter by customer; beyond `MAX_LISTED_CUSTOMERS` they count as one."""
        if customer not in self._counted_customers:
            if len(self._counted_customers) >= MAX_LISTED_CUSTOMERS:
                customer = OTHER_CUSTOMERS
            self._counted_customers.add(customer)
        self.count(metric, customer)

    def set_pending(self, pending: Mapping[str, int]) -> None:
        """Set the pending jobs by queue. A queue that never had any has no gauge."""
        self._pending_queues |= pending.keys()
        for queue in self._pending_queues:
            self.set_gauge(Metric.JOBS_PENDING, pending.get(queue, 0), queue)

    def set_customers(self, usages: Iterable[ListedUsage]) -> None:
        """Replace the gauges by customer with these."""
        for metric in (Metric.CUSTOMER_RUNNING, Metric.CUSTOMER_WAITING):
            self._gauges[metric].clear()
        for usage in usages:
            self.set_gauge(Metric.CUSTOMER_RUNNING, usage.millicores, usage.customer)
            self.set_gauge(Metric.CUSTOMER_WAITING, usage.waiting_tasks, usage.customer)

    def record_time(self, metric: Metric, ms: float, *labels: str) -> None:
        """Record a duration, in ms, in a histogram."""
        histogram = self._times[metric]
        (histogram.labels(*labels) if labels else histogram).observe(ms / _MS_PER_SECOND)
        self._statsd.record_time(metric, ms)

    def set_gauge(self, metric: Metric, value: float, *labels: str) -> None:
        """Set a gauge."""
        gauge = self._gauges[metric]
        (gauge.labels(*labels) if labels else gauge).set(value)
        self._statsd.set_gauge(metric, value)

    def write_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def get_text(self, now: Instant) -> bytes:
        """Return all metrics like `write_text`, at most `TEXT_AGE_MS` old."""
        if self._text is None or now >= self._text[0] + TEXT_AGE_MS:
            self._text = (now, self.write_text())
        return self._text[1]


def _make_name(metric: Metric) -> str:
    return "lentilpath_" + metric.value.replace(".", "_")


async def serve_metrics(
    metrics: PoolMetrics,
    settings: PoolHostSettings,
    pages: Mapping[str, Callable[[HttpRequest], Awaitable[HttpResponse]]],
    budget: ConnectionBudget | None = None,
) -> HttpServer:
    """Serve the metrics, and other `pages` by their paths, on the address of the settings.

    The connections count against `budget`, by default one of their own.
    """

    async def answer(request: HttpRequest) -> HttpResponse:
        if request.target in pages:
            return await pages[request.target](request)
        if request.target != METRICS_PATH:
            return HttpResponse(HTTP_NOT_FOUND, (), b"")
        return HttpResponse(
            HTTP_OK, (("content-type", CONTENT_TYPE),), metrics.get_text(read_instant())
        )

    address = settings.metrics
    return await serve_http(answer, address.host, address.port, budget=budget)

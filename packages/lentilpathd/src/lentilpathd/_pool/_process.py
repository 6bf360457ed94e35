"""Runs a pool host as a process: its servers, its signals and its planned stop."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from lentilpath_http import HttpRequest, HttpResponse, HttpServer, create_budget, serve_http
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._metrics import Metric
from lentilpathd._pool._explain import EXPLAIN_PATH
from lentilpathd._pool._host import PlatformPorts, PoolHost
from lentilpathd._pool._metrics import serve_metrics
from lentilpathd._pool._settings import PoolHostSettings
from lentilpathd._pool._shared_limits import derive_shared_limits

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

UNREADY_BEFORE_CLOSE_SECONDS = 2.4
"""How long a stopping host, already unready, still accepts connections: the load balancer removes
it after two readiness probes, which are one second apart."""
STOP_MARGIN_SECONDS = 0.8
"""Part of the stop grace period kept for releasing the leadership: one write to a slow table."""


async def run_pool_host(
    settings: PoolHostSettings,
    ports: PlatformPorts,
    make_handler: Callable[[PoolHost], Handler],
) -> bool:
    """Run an entry host until SIGTERM or SIGINT; return whether it stopped on such a signal.

    `make_handler` takes the host and returns the HTTP handler of callers' requests.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    host = PoolHost(settings, ports)
    loop.add_signal_handler(signal.SIGHUP, host.settings_watcher.request)
    log_event(Event.PROCESS_STARTED, host=settings.host, zone=settings.zone)
    budget = create_budget(
        derive_shared_limits(settings),
        lambda reason: host.metrics.count(Metric.CALLER_EVICTED, reason.value),
    )
    callers = await serve_http(
        make_handler(host), settings.callers.host, settings.callers.port, budget=budget
    )

    async def answer_readiness(_: HttpRequest) -> HttpResponse:
        return HttpResponse(200 if host.is_ready() else 503, (), b"")

    readiness = await serve_http(
        answer_readiness, settings.readiness.host, settings.readiness.port, budget=budget
    )
    metrics = await serve_metrics(
        host.metrics, settings, {EXPLAIN_PATH: host.explainer.handle_http}, budget
    )
    running = asyncio.create_task(host.run())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait((running, stopping), return_when=asyncio.FIRST_COMPLETED)
    planned = stop.is_set()
    if planned:
        await _drain(host, callers)
    else:
        error = None if running.cancelled() else running.exception()
        log_warning_event(Event.PART_GIVEN_UP, error=repr(error))
    running.cancel()
    stopping.cancel()
    await asyncio.wait((running,), timeout=STOP_MARGIN_SECONDS)
    await readiness.close(0.0)
    await metrics.close(0.0)
    log_event(Event.PROCESS_STOPPED, host=settings.host, planned=planned)
    return planned


async def _drain(host: PoolHost, callers: HttpServer) -> None:
    log_event(Event.PROCESS_DRAINING, host=host.settings.host)
    started_at = read_instant()
    host.request_stop(started_at)
    await asyncio.sleep(UNREADY_BEFORE_CLOSE_SECONDS)
    left_ms = host.settings.stop_grace_ms - (read_instant() - started_at)
    await asyncio.gather(
        callers.close(max(0.0, left_ms / MS_PER_SECOND - STOP_MARGIN_SECONDS)),
        host.wait_handed_over(),
    )

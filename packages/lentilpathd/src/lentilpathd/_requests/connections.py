"""Keeps connections to runners open and replaces dead ones before a request uses them."""

from __future__ import annotations

import asyncio

from lentilpath_core.requests.policy import RequestPolicy
from lentilpath_core.requests.routing import Distance, is_in_pool
from lentilpathd._adapters.upstream import RunnerConnection, RunnerRefused
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._metrics import Metric, Metrics
from lentilpathd._requests.roster import ServiceRegistry
from lentilpathd._requests.runner import Runner

MS_PER_SECOND = 1_000
CHECKS_PER_PROBE_INTERVAL = 2
"""How many times in each `probe_every_ms` all connections are checked."""


class ConnectionMaintainer:
    """Probes idle connections and keeps one open to each runner of this host's zone.

    A connection that was idle for `probe_every_ms` is probed, or closed if the runner has another
    such one. A dead one is found after at most 1.5 times `probe_every_ms` plus 2 times
    `probe_timeout_ms`.
    """

    def __init__(self, registry: ServiceRegistry, policy: RequestPolicy, metrics: Metrics) -> None:
        self._registry = registry
        self._policy = policy
        self._metrics = metrics

    async def run(self) -> None:
        """Check all connections periodically until cancelled."""
        while True:
            async with asyncio.TaskGroup() as group:
                for runner in self._registry.list_runners():
                    group.create_task(self._maintain(runner))
            await asyncio.sleep(
                self._policy.probe_every_ms / CHECKS_PER_PROBE_INTERVAL / MS_PER_SECOND
            )

    async def _maintain(self, runner: Runner) -> None:
        now = read_instant()
        if not is_in_pool(runner.health, now):
            runner.close()
            return
        due = [
            connection
            for connection in runner.idle
            if now - connection.verified_at >= self._policy.probe_every_ms
        ]
        # A connection carries no requests while it is probed, so only one is probed in a round.
        # The other due connections were not used for a whole interval, so they are surplus.
        for connection in due[1:]:
            runner.idle.remove(connection)
            runner.discard_connection(connection, may_linger=False)
        for connection in due[:1]:
            runner.idle.remove(connection)
            await self._probe(runner, connection)
        if not runner.idle and runner.health.distance is Distance.ZONE:
            await self._open_idle_connection(runner)

    async def _probe(self, runner: Runner, connection: RunnerConnection) -> None:
        if await connection.probe(self._policy.probe_timeout_ms / MS_PER_SECOND):
            runner.release_connection(connection, read_instant())
            return
        self._metrics.count(Metric.CONNECTION_DEAD)
        log_event(Event.RUNNER_CONNECTION_DEAD, runner=runner.listed.name)
        runner.discard_connection(connection, may_linger=True)

    async def _open_idle_connection(self, runner: Runner) -> None:
        if not runner.has_free_slot(read_instant()):
            return
        try:
            connection = await runner.acquire_connection()
        except RunnerRefused:
            return
        self._metrics.count(Metric.CONNECTION_OPENED)
        runner.release_connection(connection, read_instant())

"""Keeps connections warm, and finds the ones that went silent before a request meets them."""

from __future__ import annotations

import asyncio

from lentilpath_core.requests.policy import RequestPolicy
from lentilpath_core.requests.routing import Distance, is_in_pool
from lentilpathd._adapters.upstream import RunnerConnection, RunnerRefused
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._metrics import Metric, Metrics
from lentilpathd._requests.roster import Roster
from lentilpathd._requests.runner import Runner

MS_PER_SECOND = 1_000
ROUNDS = 2
"""How often, in each `probe_every_ms`, connections are looked at."""


class ConnectionKeeper:
    """Proves idle connections alive every `probe_every_ms` and keeps one open to each near runner.

    An idle connection that went silent is found within 1.5 times `probe_every_ms` and 2 times
    `probe_timeout_ms`.
    """

    def __init__(self, roster: Roster, policy: RequestPolicy, metrics: Metrics) -> None:
        self._roster = roster
        self._policy = policy
        self._metrics = metrics

    async def run(self) -> None:
        """Look after all connections until cancelled."""
        while True:
            async with asyncio.TaskGroup() as group:
                for runner in self._roster.list_runners():
                    group.create_task(self._look_after(runner))
            await asyncio.sleep(self._policy.probe_every_ms / ROUNDS / MS_PER_SECOND)

    async def _look_after(self, runner: Runner) -> None:
        now = read_instant()
        if not is_in_pool(runner.health, now):
            runner.close()
            return
        due = [
            connection
            for connection in runner.idle
            if now - connection.proved_at >= self._policy.probe_every_ms
        ]
        # While one is being proved it cannot carry requests, so they are taken out one by one;
        # all but the first are surplus if none was used meanwhile.
        for connection in due[1:]:
            runner.idle.remove(connection)
            runner.drop_connection(connection, lingers=False)
        for connection in due[:1]:
            runner.idle.remove(connection)
            await self._prove(runner, connection)
        if not runner.idle and runner.health.distance is Distance.ZONE:
            await self._warm(runner)

    async def _prove(self, runner: Runner, connection: RunnerConnection) -> None:
        if await connection.probe(self._policy.probe_timeout_ms / MS_PER_SECOND):
            runner.return_connection(connection, read_instant())
            return
        self._metrics.count(Metric.CONNECTION_DEAD)
        log_event(Event.RUNNER_CONNECTION_DEAD, runner=runner.listed.name)
        runner.drop_connection(connection, lingers=True)

    async def _warm(self, runner: Runner) -> None:
        if not runner.has_free_slot(read_instant()):
            return
        try:
            connection = await runner.take_connection()
        except RunnerRefused:
            return
        self._metrics.count(Metric.CONNECTION_OPENED)
        runner.return_connection(connection, read_instant())

"""The links of one term of a leader, one for each listed life of a worker."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from lentilpath_core.ids import Epoch, WorkerId
from lentilpath_core.pool import Life, ListedWorker, PoolEvent, PoolState
from lentilpathd._cancellation import start_member
from lentilpathd._events import Event, log_event
from lentilpathd._metrics import Metric
from lentilpathd._pool._command_slots import (
    LEAST_ANSWER_MS,
    ExtraSlots,
    count_stoppable_runs,
    smooth_answer_ms,
)
from lentilpathd._pool._command_times import CommandKind, CommandTimes
from lentilpathd._pool._context import PoolContext
from lentilpathd._pool._link import WorkerLink
from lentilpathd._pool._ports import LifeKey, PoolWorker
from lentilpathd._pool._tokens import make_token
from lentilpathd._pool._writer import RecordWriter


class WorkerLinks:
    """Opens links to the workers of a pool's state, and closes those of released workers."""

    def __init__(
        self,
        context: PoolContext,
        epoch: Epoch,
        state: PoolState,
        writer: RecordWriter,
        handle_event: Callable[[PoolEvent], None],
        may_command: Callable[[], bool],
        get_lease_ms: Callable[[WorkerId, Life], int],
        may_start: Callable[[], bool] = lambda: True,
    ) -> None:
        self._may_start = may_start
        self._get_lease_ms = get_lease_ms
        self._context = context
        self._epoch = epoch
        self._state = state
        self._writer = writer
        self._handle_event = handle_event
        self._may_command = may_command
        self._links: dict[LifeKey, tuple[WorkerLink, asyncio.Task[None]]] = {}
        self._opened_clients = 0
        self._extra_slots = ExtraSlots()
        self._stop_answer_ms: float = LEAST_ANSWER_MS
        """How long workers take to answer a stop, by what they have shown."""
        self._group: asyncio.TaskGroup | None = None

    def start(self, group: asyncio.TaskGroup) -> None:
        """Open the links of all workers that are known; links run in this group from now on."""
        self._group = group
        self.open_missing()

    def open_missing(self) -> None:
        """Open links to workers that have none; does nothing before `start`."""
        if self._group is None:
            return
        for worker in self._state.workers.values():
            key = (worker.worker, worker.life)
            if key in self._links:
                continue
            link = WorkerLink(
                worker.listed,
                partial(self._create_client, worker.listed),
                self._epoch,
                partial(self._get_lease_ms, *key),
                self._writer,
                self._handle_event,
                self._may_command,
                partial(self._is_leaving, *key),
                self._may_start,
                self._report_times,
                self._extra_slots,
            )
            self._links[key] = (link, start_member(self._group, link.run, "worker link"))
            log_event(Event.WORKER_LISTED, worker=worker.worker, life=worker.life)

    def _report_times(self, times: CommandTimes) -> None:
        metrics, command = self._context.metrics, times.kind.value
        metrics.record_time(Metric.COMMAND_WAIT, times.queued_ms, command)
        metrics.record_time(Metric.COMMAND_TIME, times.answer_ms, command)
        if times.kind is CommandKind.STOP:
            self._stop_answer_ms = smooth_answer_ms(self._stop_answer_ms, times.answer_ms)
            self.bound_runs()

    def bound_runs(self) -> None:
        """Bound the runs of a worker by the stops that workers have shown to answer in time.

        Never below what can be stopped if each stop takes as long as the settings allow.
        """
        settings = self._context.settings
        longest_ms = settings.longest_stop_ms + LEAST_ANSWER_MS
        answer_ms = min(self._stop_answer_ms, longest_ms)
        self._state.most_runs_per_worker = count_stoppable_runs(settings.cancel_ms, answer_ms)

    def withdraw_starts(self) -> None:
        """Withdraw the starts that were not sent yet from workers that are listed as leaving."""
        for (worker, life), (link, _) in self._links.items():
            if self._is_leaving(worker, life):
                link.withdraw_starts()

    def _is_leaving(self, worker: WorkerId, life: Life) -> bool:
        known = self._state.workers.get(worker)
        return known is not None and known.life == life and known.listed.leaves_in_ms is not None

    def get(self, worker: WorkerId, life: Life) -> WorkerLink | None:
        """Return the link to this life of a worker, or `None` if it has none."""
        link = self._links.get((worker, life))
        return None if link is None else link[0]

    def close(self, worker: WorkerId, life: Life) -> None:
        """Close the link to this life of a worker, if it has one."""
        link = self._links.pop((worker, life), None)
        if link is not None:
            link[1].cancel()

    def _create_client(self, listed: ListedWorker) -> PoolWorker:
        # Once the worker has seen a client's token, commands of earlier clients have no effect,
        # whenever they arrive.
        self._opened_clients += 1
        return self._context.create_worker(listed, make_token(self._epoch, self._opened_clients))

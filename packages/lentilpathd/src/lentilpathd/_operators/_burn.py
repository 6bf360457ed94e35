"""Counts good and bad events of service-level objectives and stores the counts as objects.

Each process writes one object per hour and overwrites it as its counts grow. A process that is
killed loses the counts since its last write, and a change of leader may count a few minutes of
task events twice. This is accurate enough for reliability decisions; billing does not use it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec

from lentilpath_core.burn import (
    BurnLog,
    BurnReport,
    compute_burn,
    list_task_observations,
    merge_log,
    record_event,
)
from lentilpath_core.configuration import ObjectiveKind
from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import ServiceId, WallTime
from lentilpath_core.language import format_time
from lentilpath_core.zone.journal import JournalBatch
from lentilpath_core.zone.state import ZoneState
from lentilpathd._clock import read_wall_time
from lentilpathd._context import DaemonContext
from lentilpathd._events import Event, log_warning_event
from lentilpathd._metrics import Metric, create_metrics
from lentilpathd._operators._configuration import ConfigurationKeeper

FLUSH_INTERVAL_SECONDS = 60.0
OBJECT_TIMEOUT_SECONDS = 10.0
HOUR_NAME_LENGTH = len("2026-12-01T05")
OBJECT_PREFIX = "burn/"
PARALLEL_READS = 16

_decoder = msgspec.json.Decoder(BurnLog)


@dataclass(slots=True)
class _HourCounts:
    name: str
    log: BurnLog
    written: bool = False


class BurnRecorder:
    """Counts the events that this process observes, by objective and hour."""

    def __init__(self, context: DaemonContext, configuration: ConfigurationKeeper) -> None:
        self._context = context
        self._configuration = configuration
        self._metrics = create_metrics(context.settings.statsd)
        self._hours: dict[str, _HourCounts] = {}

    def record_request(
        self, service: ServiceId, answered: bool, latency_ms: int, cause: str
    ) -> None:
        """Count one caller's request for `service`.

        `cause` is the reason why the request was not answered, empty if it was.
        """
        now = read_wall_time()
        for name, objective in self._configuration.get_current().objectives.items():
            if objective.subject != service:
                continue
            if objective.kind is ObjectiveKind.REQUEST_ANSWERED:
                self._record(name, answered, cause, now)
            elif objective.kind is ObjectiveKind.REQUEST_TIME:
                slow_cause = f"took over {objective.threshold_ms} ms"
                in_time = latency_ms <= (objective.threshold_ms or 0)
                self._record(name, answered and in_time, cause or slow_cause, now)

    def record_batch(self, batch: JournalBatch, state: ZoneState) -> None:
        """Count the task events of a journal batch."""
        configuration = self._configuration.get_current()
        if not configuration.objectives:
            return
        for event in batch.events:
            for observation in list_task_observations(event, state.jobs.get, configuration):
                self._record(
                    observation.objective, observation.good, observation.cause, observation.at
                )

    async def run(self) -> None:
        """Write changed counts periodically until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            await self.flush()

    async def flush(self) -> None:
        """Write the counts of changed hours and drop past hours that are written."""
        for hour in tuple(self._hours.values()):
            if hour.written:
                continue
            hour.written = True
            key = f"{OBJECT_PREFIX}{hour.name}/{self._context.incarnation}"
            try:
                data = msgspec.json.encode(hour.log)
                await self._context.objects.put_object(key, data, OBJECT_TIMEOUT_SECONDS)
            except LentilpathError as error:
                hour.written = False
                log_warning_event(Event.BURN_NOT_WRITTEN, hour=hour.name, error=str(error))
        current = _format_hour(read_wall_time())
        for name in [name for name, hour in self._hours.items() if hour.written]:
            if name < current:
                del self._hours[name]

    def _record(self, objective: str, good: bool, cause: str, at: WallTime) -> None:
        name = _format_hour(at)
        hour = self._hours.setdefault(name, _HourCounts(name, {}))
        hour.written = False
        record_event(hour.log, objective, good, cause, at)
        self._metrics.count(Metric.OBJECTIVE_GOOD if good else Metric.OBJECTIVE_BAD)

    async def report(self, hours: int) -> tuple[BurnReport, ...]:
        """Return the error budget burn of every objective over the last `hours`."""
        await self.flush()
        now = read_wall_time()
        first_hour = _format_hour(WallTime(max(0, now - hours * 3_600_000)))
        keys = await self._context.objects.list_objects(OBJECT_PREFIX, OBJECT_TIMEOUT_SECONDS)
        recent_keys = [
            key for key in keys if key.removeprefix(OBJECT_PREFIX)[:HOUR_NAME_LENGTH] >= first_hour
        ]
        log: BurnLog = {}
        read_slots = asyncio.Semaphore(PARALLEL_READS)

        async def read(key: str) -> None:
            async with read_slots:
                data = await self._context.objects.get_object(key, OBJECT_TIMEOUT_SECONDS)
            if data is not None:
                merge_log(log, _decoder.decode(data))

        await asyncio.gather(*(read(key) for key in recent_keys))
        objectives = self._configuration.get_current().objectives
        return tuple(
            compute_burn(name, settings, log.get(name, {}), now)
            for name, settings in sorted(objectives.items())
        )


def create_burn_recorder(
    context: DaemonContext, configuration: ConfigurationKeeper
) -> BurnRecorder:
    """Return the recorder of this process; `Operators` runs its `run`."""
    return BurnRecorder(context, configuration)


def _format_hour(at: WallTime) -> str:
    return format_time(max(1, at))[:HOUR_NAME_LENGTH]

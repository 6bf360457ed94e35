"""Commands that change something: submit, stop, drain, undrain."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from functools import singledispatch

from lentilpath_core.errors import Conflict, InvalidJob, NoLeader, UnknownName
from lentilpath_core.ids import JobId, WallTime, WorkerId, ZoneId
from lentilpath_core.language import Command, Drain, Stop, Submit, Undrain, format_time
from lentilpath_core.workloads import JobSpec, check_job
from lentilpath_core.zone.inbox import (
    DrainWorker,
    InboxEntry,
    StopJob,
    SubmitJob,
    UndrainWorker,
    ZoneCommand,
    encode_entry,
    get_inbox_key,
)
from lentilpathd._context import DaemonContext
from lentilpathd._operators._acceptance import (
    Accepted,
    Effect,
    RowsChanged,
    accept_command,
)
from lentilpathd._operators._caller import Caller
from lentilpathd._operators._messages import (
    CommandRecord,
    CommandRequest,
    CommandResponse,
    JobPlace,
    decode_place,
    encode_row,
)
from lentilpathd._operators._zones import COUNT_JOB_TASKS, COUNT_WORKER_TASKS, Zones
from lentilpathd._ports import ABSENT

READ_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Change:
    """What a command would do: the zone and rows it touches, and a line for people."""

    zone: ZoneId
    body: ZoneCommand
    message: str
    effect: Effect = Effect()


@dataclass(frozen=True, slots=True)
class Changes:
    """Carries out commands that change a zone."""

    context: DaemonContext
    zones: Zones

    async def carry_out(
        self, command: Command, request: CommandRequest, caller: Caller, now: WallTime
    ) -> CommandResponse:
        """Make `command` durable and return what its zone answered, if it did in time."""
        change = await plan_change(command, self, request, caller, now)
        if request.dry_run:
            return CommandResponse("dry-run", f"would {change.message}", id=request.id)
        record = self._make_record(request, caller, now, change)
        entry = InboxEntry(
            request.id, now, self.context.settings.host, caller.operator, change.body
        )
        inbox_key = get_inbox_key(change.zone, request.id)
        effect = Effect(
            (*change.effect.checks, (inbox_key, ABSENT)),
            (*change.effect.puts, (inbox_key, encode_entry(entry))),
        )
        try:
            accepted = await accept_command(self.context.table, record, effect)
        except RowsChanged as error:
            raise _explain_conflict(command, error) from error
        return await self._wait_for_zone(accepted, request.wait_ms)

    async def _wait_for_zone(self, accepted: Accepted, wait_ms: int) -> CommandResponse:
        record = accepted.record
        reply = await self.zones.wake(record.zone, record.id, wait_ms)
        message = record.message + (" (repeated: no second effect)" if accepted.repeated else "")
        if reply.code is None:
            return CommandResponse("accepted", message, id=record.id)
        if reply.code != "ok":
            return CommandResponse("refused", f"{reply.code}: {reply.text}", id=record.id)
        return CommandResponse("done", reply.text or message, id=record.id)

    def _make_record(
        self, request: CommandRequest, caller: Caller, now: WallTime, change: Change
    ) -> CommandRecord:
        return CommandRecord(
            request.id,
            caller.operator,
            caller.role,
            now,
            self.context.settings.host,
            request.command,
            "accepted",
            change.message,
            change.zone,
        )

    async def find_zone_of_job(self, job: JobId) -> ZoneId:
        """Return the zone that `job` was given to; raises `UnknownName`."""
        (row,) = await self.context.table.read((get_job_key(job),), READ_SECONDS)
        if row.version == ABSENT:
            raise UnknownName(f"no job {job!r}; `jobs` lists the names")
        return decode_place(row.value).zone

    def find_zone_of_worker(self, worker: WorkerId) -> ZoneId:
        """Return the zone of `worker`; raises `UnknownName`."""
        for host in self.context.directory.list_hosts():
            if host.name == worker:
                return host.zone
        raise UnknownName(f"no worker {worker!r} is listed; `workers` lists the names")

    def choose_zone(self, spec: JobSpec) -> ZoneId:
        """Return a zone that the job's policy allows; raises `InvalidJob` if there is none."""
        regions = {peer.zone: peer.region for peer in self.context.settings.entry_hosts}
        regions[self.context.settings.zone] = self.context.settings.region
        allowed = [
            zone
            for zone in self.zones.list_zones()
            if (not spec.policy.zones or zone in spec.policy.zones)
            and (not spec.policy.regions or regions[zone] in spec.policy.regions)
        ]
        if not allowed:
            raise InvalidJob(
                f"job {spec.job}: no zone is allowed by zones={spec.policy.zones} and "
                f"regions={spec.policy.regions}; the zones are {', '.join(self.zones.list_zones())}"
            )
        return allowed[zlib.crc32(spec.job.encode()) % len(allowed)]

    async def count_tasks(self, zone: ZoneId, kind: str, name: str) -> str:
        """Return how many tasks are touched, in words."""
        try:
            reply = await self.zones.ask(zone, kind, name)
        except NoLeader:
            return "an unknown number of tasks (the zone has no leader now)"
        count = reply.table.rows[0][0]
        return f"{count} task" if count == 1 else f"{count} tasks"


def get_job_key(job: JobId) -> str:
    """Return the table key of a job's place."""
    return f"job/{job}"


@singledispatch
async def plan_change(
    command: object, changes: Changes, request: CommandRequest, caller: Caller, now: WallTime
) -> Change:
    """Return what `command` would do; nothing is written yet."""
    raise TypeError(f"not a change of a zone: {command!r}")


@plan_change.register
async def _(
    command: Submit, changes: Changes, request: CommandRequest, caller: Caller, now: WallTime
) -> Change:
    spec = command.spec
    check_job(spec)
    zone = changes.choose_zone(spec)
    key = get_job_key(spec.job)
    place = JobPlace(zone, request.id, caller.operator, now)
    effect = Effect(checks=((key, ABSENT),), puts=((key, encode_row(place)),))
    message = f"submit {spec.kind.value} {spec.job} of {spec.tasks} tasks to zone {zone}"
    return Change(zone, SubmitJob(spec), message, effect)


@plan_change.register
async def _(
    command: Stop, changes: Changes, request: CommandRequest, caller: Caller, now: WallTime
) -> Change:
    zone = await changes.find_zone_of_job(command.job)
    touched = await changes.count_tasks(zone, COUNT_JOB_TASKS, command.job)
    message = f"stop job {command.job} in zone {zone}, ending {touched}"
    return Change(zone, StopJob(command.job), message)


@plan_change.register
async def _(
    command: Drain, changes: Changes, request: CommandRequest, caller: Caller, now: WallTime
) -> Change:
    zone = changes.find_zone_of_worker(command.worker)
    touched = await changes.count_tasks(zone, COUNT_WORKER_TASKS, command.worker)
    by = f" by {format_time(command.by)}" if command.by is not None else ""
    message = f"drain worker {command.worker} in zone {zone}{by}; it runs {touched}"
    return Change(zone, DrainWorker(command.worker), message)


@plan_change.register
async def _(
    command: Undrain, changes: Changes, request: CommandRequest, caller: Caller, now: WallTime
) -> Change:
    zone = changes.find_zone_of_worker(command.worker)
    message = f"undrain worker {command.worker} in zone {zone}"
    return Change(zone, UndrainWorker(command.worker), message)


def _explain_conflict(command: Command, error: RowsChanged) -> Conflict:
    for row in error.rows:
        if isinstance(command, Submit) and row.key == get_job_key(command.spec.job):
            place = decode_place(row.value)
            return Conflict(
                f"job {command.spec.job!r} exists: submitted by {place.operator} at "
                f"{format_time(place.accepted_at)} (command {place.command}, zone {place.zone}); "
                "choose another name"
            )
    return error

"""Commands that change a zone: submit, stop, drain, undrain."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from lentilpath_core.access import check_permission
from lentilpath_core.audit import CommandRecord
from lentilpath_core.errors import Conflict, NoLeader, Unavailable, UnknownName
from lentilpath_core.ids import TeamId, WorkerId, ZoneId
from lentilpath_core.language import Command, Drain, Stop, Submit, Undrain, format_time
from lentilpath_core.workloads import check_job
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
from lentilpathd._operators._acceptance import Accepted, Effect, RowsChanged, accept_command
from lentilpathd._operators._call import Call
from lentilpathd._operators._messages import (
    CommandResponse,
    Subject,
    decode_subject,
)
from lentilpathd._operators._placing import Placing
from lentilpathd._operators._subjects import (
    check_expected_version,
    explain_taken_name,
    get_job_key,
    get_worker_key,
    make_subject_effect,
)
from lentilpathd._operators._zones import COUNT_JOB_TASKS, COUNT_WORKER_TASKS, Zones
from lentilpathd._ports import ABSENT, Row

READ_SECONDS = 2.0
MAX_RACES = 5
"""How often a command without an expected version is planned again after a race."""


@dataclass(frozen=True, slots=True)
class Change:
    """What a command would do, and the subject row as it was seen."""

    zone: ZoneId
    body: ZoneCommand
    message: str
    subject: Row
    team: TeamId | None = None
    """Of the job that the command concerns."""


@dataclass(frozen=True, slots=True)
class Changes:
    """Carries out commands that change a zone."""

    context: DaemonContext
    zones: Zones
    placing: Placing

    async def carry_out(self, command: Command, call: Call) -> CommandResponse:
        """Make `command` durable and return what its zone answered, if it did in time."""
        for _ in range(MAX_RACES):
            change = await plan_change(command, self)
            check_permission(command, call.holder, change.team)
            check_expected_version(change.subject, call.request.expect_version)
            if call.request.dry_run:
                message = f"would {change.message}"
                return CommandResponse("dry-run", message, version=change.subject.version)
            try:
                accepted = await self._accept(change, call)
            except RowsChanged as error:
                self._explain_race(command, call, error)
                continue
            return await self._wait_for_zone(accepted, change.subject.key, call.request.wait_ms)
        raise Conflict(
            f"{change.subject.key} was changed by others {MAX_RACES} times in a row; try again"
        )

    async def _accept(self, change: Change, call: Call) -> Accepted:
        request = call.request
        operator = call.holder.operator
        host = self.context.settings.host
        team = change.team or TeamId("")
        subject = Subject(change.zone, request.id, operator, call.now, request.command, team)
        effect = make_subject_effect(change.subject.key, change.subject.version, subject)
        entry = InboxEntry(request.id, call.now, host, operator, change.body)
        inbox_key = get_inbox_key(change.zone, request.id)
        effect = Effect(
            (*effect.checks, (inbox_key, ABSENT)),
            (*effect.puts, (inbox_key, encode_entry(entry))),
        )
        record = CommandRecord(
            request.id,
            operator,
            call.holder.role.value,
            call.now,
            host,
            request.command,
            "accepted",
            change.message,
            change.zone,
        )
        return await accept_command(self.context.table, record, effect)

    def _explain_race(self, command: Command, call: Call, error: RowsChanged) -> None:
        for row in error.rows:
            if isinstance(command, Submit) and row.key == get_job_key(command.spec.job):
                raise explain_taken_name(row) from error
            check_expected_version(row, call.request.expect_version)

    async def _wait_for_zone(self, accepted: Accepted, key: str, wait_ms: int) -> CommandResponse:
        record = accepted.record
        reply = await self.zones.wake(record.zone, record.id, wait_ms)
        version = await self._read_version(key, record.id)
        message = record.message + (" (repeated: no second effect)" if accepted.repeated else "")
        if reply.code is None:
            return CommandResponse("accepted", message, id=record.id, version=version)
        if reply.code != "ok":
            text = f"{reply.code}: {reply.text}"
            return CommandResponse("refused", text, id=record.id, version=version)
        return CommandResponse("done", reply.text or message, id=record.id, version=version)

    async def _read_version(self, key: str, command: str) -> int | None:
        try:
            row = await self.read_row(key)
        except Unavailable:
            return None
        if row.version == ABSENT or decode_subject(row.value).command != command:
            return None
        return row.version

    async def read_row(self, key: str) -> Row:
        """Return one row of the table."""
        (row,) = await self.context.table.read((key,), READ_SECONDS)
        return row

    def find_zone_of_worker(self, worker: WorkerId) -> ZoneId:
        """Return the zone of `worker`; raises `UnknownName`."""
        for host in self.context.directory.list_hosts():
            if host.name == worker:
                return host.zone
        raise UnknownName(f"no worker {worker!r} is listed; `workers` lists the names")

    async def count_tasks(self, zone: ZoneId, kind: str, name: str) -> str:
        """Return how many tasks are touched, in words."""
        try:
            reply = await self.zones.ask(zone, kind, name)
        except NoLeader:
            return "an unknown number of tasks (the zone has no leader now)"
        count = reply.table.rows[0][0]
        return f"{count} task" if count == 1 else f"{count} tasks"


@singledispatch
async def plan_change(command: object, changes: Changes) -> Change:
    """Return what `command` would do; nothing is written yet."""
    raise TypeError(f"not a change of a zone: {command!r}")


@plan_change.register
async def _(command: Submit, changes: Changes) -> Change:
    spec = command.spec
    check_job(spec)
    zone, reason = await changes.placing.choose(spec)
    message = f"submit {spec.kind.value} {spec.job} of {spec.tasks} tasks to zone {zone} ({reason})"
    absent = Row(get_job_key(spec.job), ABSENT, "")
    return Change(zone, SubmitJob(spec), message, absent, spec.team)


@plan_change.register
async def _(command: Stop, changes: Changes) -> Change:
    row = await changes.read_row(get_job_key(command.job))
    if row.version == ABSENT:
        raise UnknownName(f"no job {command.job!r}; `jobs` lists the names")
    subject = decode_subject(row.value)
    zone = subject.zone
    touched = await changes.count_tasks(zone, COUNT_JOB_TASKS, command.job)
    message = f"stop job {command.job} in zone {zone}, ending {touched}"
    return Change(zone, StopJob(command.job), message, row, subject.team)


@plan_change.register
async def _(command: Drain, changes: Changes) -> Change:
    zone = changes.find_zone_of_worker(command.worker)
    row = await changes.read_row(get_worker_key(command.worker))
    touched = await changes.count_tasks(zone, COUNT_WORKER_TASKS, command.worker)
    by = f" by {format_time(command.by)}" if command.by is not None else ""
    message = f"drain worker {command.worker} in zone {zone}{by}; it runs {touched}"
    return Change(zone, DrainWorker(command.worker), message, row)


@plan_change.register
async def _(command: Undrain, changes: Changes) -> Change:
    zone = changes.find_zone_of_worker(command.worker)
    row = await changes.read_row(get_worker_key(command.worker))
    message = f"undrain worker {command.worker} in zone {zone}"
    return Change(zone, UndrainWorker(command.worker), message, row)

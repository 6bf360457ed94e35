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
from lentilpathd._operators._acceptance import AcceptedCommand, Effect, RowsChanged, accept_command
from lentilpathd._operators._call import Call
from lentilpathd._operators._messages import (
    CommandResponse,
    Subject,
    decode_subject,
)
from lentilpathd._operators._placing import ZoneChooser
from lentilpathd._operators._subjects import (
    check_expected_version,
    get_job_key,
    get_worker_key,
    make_name_conflict,
    make_subject_effect,
)
from lentilpathd._operators._zones import COUNT_JOB_TASKS, COUNT_WORKER_TASKS, ZoneQueryService
from lentilpathd._ports import ABSENT, Row

READ_TIMEOUT_SECONDS = 2.0
MAX_COMMIT_ATTEMPTS = 5
"""Maximum number of times a command is planned and committed when concurrent changes conflict.

A command with an expected version fails at the first conflict instead.
"""


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """The planned effect of a command, and the subject row as read during planning."""

    zone: ZoneId
    command: ZoneCommand
    message: str
    subject: Row
    team: TeamId | None = None
    """Team of the affected job; `None` for commands on workers."""


@dataclass(frozen=True, slots=True)
class Changes:
    """Executes commands that change a zone."""

    context: DaemonContext
    zones: ZoneQueryService
    zone_chooser: ZoneChooser

    async def execute(self, command: Command, call: Call) -> CommandResponse:
        """Write `command` durably and return the zone's answer, if it arrives in time.

        A dry run returns the planned effect and writes nothing. Raises `Conflict` if another
        version was expected or the job name is taken, or if concurrent changes made all
        `MAX_COMMIT_ATTEMPTS` attempts fail.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            change = await plan_change(command, self)
            check_permission(command, call.principal, change.team)
            check_expected_version(change.subject, call.request.expect_version)
            if call.request.dry_run:
                message = f"would {change.message}"
                return CommandResponse("dry-run", message, version=change.subject.version)
            try:
                accepted = await self._accept(change, call)
            except RowsChanged as error:
                self._raise_unless_retryable(command, call, error)
                continue
            return await self._wait_for_zone(accepted, change.subject.key, call.request.wait_ms)
        raise Conflict(
            f"{change.subject.key} was changed by others {MAX_COMMIT_ATTEMPTS} times in a row; "
            "try again"
        )

    async def _accept(self, change: PlannedChange, call: Call) -> AcceptedCommand:
        request = call.request
        operator = call.principal.operator
        host = self.context.settings.host
        team = change.team or TeamId("")
        subject = Subject(
            change.zone, request.id, operator, call.received_at, request.command, team
        )
        effect = make_subject_effect(change.subject.key, change.subject.version, subject)
        entry = InboxEntry(request.id, call.received_at, host, operator, change.command)
        inbox_key = get_inbox_key(change.zone, request.id)
        effect = Effect(
            (*effect.checks, (inbox_key, ABSENT)),
            (*effect.puts, (inbox_key, encode_entry(entry))),
        )
        record = CommandRecord(
            request.id,
            operator,
            call.principal.role.value,
            call.received_at,
            host,
            request.command,
            "accepted",
            change.message,
            change.zone,
        )
        return await accept_command(self.context.table, record, effect)

    def _raise_unless_retryable(self, command: Command, call: Call, error: RowsChanged) -> None:
        for row in error.rows:
            if isinstance(command, Submit) and row.key == get_job_key(command.spec.job):
                raise make_name_conflict(row) from error
            check_expected_version(row, call.request.expect_version)

    async def _wait_for_zone(
        self, accepted: AcceptedCommand, key: str, wait_ms: int
    ) -> CommandResponse:
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
        """Return the current row with `key`."""
        (row,) = await self.context.table.read((key,), READ_TIMEOUT_SECONDS)
        return row

    def find_zone_of_worker(self, worker: WorkerId) -> ZoneId:
        """Return the zone of `worker`; raises `UnknownName`."""
        for host in self.context.directory.list_hosts():
            if host.name == worker:
                return host.zone
        raise UnknownName(f"no worker {worker!r} is listed; `workers` lists the names")

    async def describe_task_count(self, zone: ZoneId, kind: str, name: str) -> str:
        """Return the number of affected tasks as text; unknown if the zone has no leader."""
        try:
            reply = await self.zones.ask(zone, kind, name)
        except NoLeader:
            return "an unknown number of tasks (the zone has no leader now)"
        count = reply.table.rows[0][0]
        return f"{count} task" if count == 1 else f"{count} tasks"


@singledispatch
async def plan_change(command: object, changes: Changes) -> PlannedChange:
    """Return the planned effect of `command` without writing anything."""
    raise TypeError(f"not a change of a zone: {command!r}")


@plan_change.register
async def _(command: Submit, changes: Changes) -> PlannedChange:
    spec = command.spec
    check_job(spec)
    zone, reason = await changes.zone_chooser.choose(spec)
    message = f"submit {spec.kind.value} {spec.job} of {spec.tasks} tasks to zone {zone} ({reason})"
    absent = Row(get_job_key(spec.job), ABSENT, "")
    return PlannedChange(zone, SubmitJob(spec), message, absent, spec.team)


@plan_change.register
async def _(command: Stop, changes: Changes) -> PlannedChange:
    row = await changes.read_row(get_job_key(command.job))
    if row.version == ABSENT:
        raise UnknownName(f"no job {command.job!r}; `jobs` lists the names")
    subject = decode_subject(row.value)
    zone = subject.zone
    touched = await changes.describe_task_count(zone, COUNT_JOB_TASKS, command.job)
    message = f"stop job {command.job} in zone {zone}, ending {touched}"
    return PlannedChange(zone, StopJob(command.job), message, row, subject.team)


@plan_change.register
async def _(command: Drain, changes: Changes) -> PlannedChange:
    zone = changes.find_zone_of_worker(command.worker)
    row = await changes.read_row(get_worker_key(command.worker))
    touched = await changes.describe_task_count(zone, COUNT_WORKER_TASKS, command.worker)
    by = f" by {format_time(command.by)}" if command.by is not None else ""
    message = f"drain worker {command.worker} in zone {zone}{by}; it runs {touched}"
    return PlannedChange(zone, DrainWorker(command.worker), message, row)


@plan_change.register
async def _(command: Undrain, changes: Changes) -> PlannedChange:
    zone = changes.find_zone_of_worker(command.worker)
    row = await changes.read_row(get_worker_key(command.worker))
    message = f"undrain worker {command.worker} in zone {zone}"
    return PlannedChange(zone, UndrainWorker(command.worker), message, row)

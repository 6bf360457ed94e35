"""Answers read commands from the state of all zones."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from lentilpath_core.audit import BrokenChain
from lentilpath_core.configuration import TeamSettings
from lentilpath_core.errors import NoLeader, UnknownName
from lentilpath_core.ids import ServiceId, TeamId, WallTime, ZoneId
from lentilpath_core.language import (
    TABLE_COLUMNS,
    Cell,
    ExplainLine,
    ExplainTask,
    ListRows,
    ShowHelp,
    ShowHistory,
    ShowUsage,
    Table,
    filter_table,
    format_time,
    make_help,
)
from lentilpathd._authority import Leadership
from lentilpathd._clock import read_wall_time
from lentilpathd._context import DaemonContext
from lentilpathd._operators._accounts import DAY_NAME_LENGTH, SealedUsageReader
from lentilpathd._operators._audit import AuditTrail
from lentilpathd._operators._configuration import ConfigurationKeeper
from lentilpathd._operators._messages import CommandResponse, ZoneReply
from lentilpathd._operators._tables import make_line_table, make_usage_table
from lentilpathd._operators._zones import ZoneQueryService
from lentilpathd._ports import HostKind

SEAL_COLUMNS = ("zone", "chain", "manifests", "lines", "problem")
MS_PER_DAY = 86_400_000


@dataclass(frozen=True, slots=True)
class ReadServices:
    """The services that read commands use."""

    context: DaemonContext
    leadership: Leadership
    zones: ZoneQueryService
    trail: AuditTrail
    sealed_usage: SealedUsageReader
    configuration: ConfigurationKeeper


@singledispatch
async def answer_read(command: object, reads: ReadServices) -> CommandResponse:
    """Return the answer to a read command."""
    raise TypeError(f"not a read command: {command!r}")


@answer_read.register
async def _(command: ShowHelp, reads: ReadServices) -> CommandResponse:
    return CommandResponse("done", table=make_help(command.topic))


@answer_read.register
async def _(command: ListRows, reads: ReadServices) -> CommandResponse:
    if command.table == "services":
        rows = filter_table(_list_services(reads), command.conditions, command.limit)
        return CommandResponse("done", table=rows)
    if command.table == "audit":
        since = command.since if command.since is not None else read_wall_time() - MS_PER_DAY
        listed = await reads.trail.list_records(WallTime(since))
        message = ""
        if listed.cut_at is not None:
            cut_at = format_time(listed.cut_at)
            message = f"records from {cut_at} on are missing; go on with `audit since {cut_at}`"
        return CommandResponse("done", message, _limit_to_last(listed.table, command))
    if command.table == "teams":
        return await _list_teams(command, reads)
    # The zones do not know the leader column of `zones` and the capacity columns of `workers`. This
    # host fills them in, so it also evaluates the conditions on these two tables.
    local = command.table in ("workers", "zones")
    sent = ListRows(command.table, since=command.since) if local else command
    answered, silent = await reads.zones.ask_all("ListRows", sent)
    table = _concatenate_rows(TABLE_COLUMNS[command.table], answered)
    if command.table == "zones":
        table = _add_leaders(table, reads, silent)
    if command.table == "workers":
        table = _add_capacities(table, reads)
    table = filter_table(table, command.conditions if local else (), command.limit)
    return CommandResponse("done", table=table, partial=silent)


@answer_read.register
async def _(command: ExplainTask, reads: ReadServices) -> CommandResponse:
    return await _find_in_zones(reads, "ExplainTask", command, f"task {command.task!r}")


@answer_read.register
async def _(command: ShowHistory, reads: ReadServices) -> CommandResponse:
    return await _find_in_zones(reads, "ShowHistory", command, f"job {command.job!r}")


@answer_read.register
async def _(command: ShowUsage, reads: ReadServices) -> CommandResponse:
    # Read the open lines first: lines that are sealed between the two reads are then read twice
    # rather than missed, and the table drops duplicates.
    open_lines, silent = await reads.zones.list_open_lines(command.customer)
    zones = reads.zones.list_zones()
    day_name = format_time(command.day_start)[:DAY_NAME_LENGTH]
    lines = await reads.sealed_usage.list_lines(zones, command.customer, day_name)
    day_end = command.day_start + MS_PER_DAY
    lines.extend(line for line in open_lines if command.day_start <= line.period < day_end)
    return CommandResponse("done", table=make_usage_table(lines), partial=silent)


@answer_read.register
async def _(command: ExplainLine, reads: ReadServices) -> CommandResponse:
    open_lines, silent = await reads.zones.list_open_lines(None)
    found = await reads.sealed_usage.find_line(command.line)
    if found is not None:
        return CommandResponse("done", table=make_line_table(*found))
    for line in open_lines:
        if line.line == command.line:
            return CommandResponse("done", table=make_line_table(line, None))
    if silent:
        raise NoLeader(
            f"usage line {command.line!r} is not sealed, and {', '.join(silent)} did not answer"
        )
    raise UnknownName(f"no usage line {command.line!r}; `usage customer C on DAY` lists them")


async def _find_in_zones(
    reads: ReadServices, kind: str, command: object, subject: str
) -> CommandResponse:
    answered, silent = await reads.zones.ask_all(kind, command)
    for reply in answered.values():
        if reply.found:
            return CommandResponse("done", table=reply.table)
    if silent:
        zones = ", ".join(silent)
        raise NoLeader(f"{subject} is in no zone that answers; {zones} did not answer, try again")
    raise UnknownName(f"no {subject} is known")


def _limit_to_last(table: Table, command: ListRows) -> Table:
    matching = filter_table(table, command.conditions, None)
    return Table(table.columns, matching.rows[-(command.limit or len(matching.rows) or 1) :])


async def verify_seals(reads: ReadServices) -> CommandResponse:
    """Verify the hash chain of sealed usage in every zone.

    Returns one row per zone; the outcome is `refused` if any chain is broken.
    """
    rows: list[tuple[Cell, ...]] = []
    for zone in reads.zones.list_zones():
        try:
            manifests, lines = await reads.sealed_usage.verify_chain(zone)
        except BrokenChain as error:
            rows.append((zone, "broken", None, None, str(error)))
            continue
        rows.append((zone, "whole", manifests, lines, ""))
    broken = sum(row[1] == "broken" for row in rows)
    outcome = "refused" if broken else "done"
    message = f"{broken} of {len(rows)} chains are broken" if broken else "all chains are whole"
    return CommandResponse(outcome, message, Table(SEAL_COLUMNS, tuple(rows)))


def _concatenate_rows(columns: tuple[str, ...], answered: dict[ZoneId, ZoneReply]) -> Table:
    rows = tuple(row for reply in answered.values() for row in reply.table.rows)
    return Table(columns, rows)


def _add_leaders(table: Table, reads: ReadServices, silent: tuple[ZoneId, ...]) -> Table:
    rows: list[tuple[Cell, ...]] = []
    for zone, _, *rest in table.rows:
        rows.append((zone, reads.leadership.get_leader(ZoneId(str(zone))) or "-", *rest))
    missing = len(table.columns) - 2
    rows.extend((zone, "no answer", *([None] * missing)) for zone in silent)
    return Table(table.columns, tuple(sorted(rows, key=lambda row: str(row[0]))))


def _add_capacities(table: Table, reads: ReadServices) -> Table:
    listed = {host.name: host for host in reads.context.directory.list_hosts()}
    rows: list[tuple[Cell, ...]] = []
    for worker, zone, rack, state, tasks, _, _, drained_by in table.rows:
        host = listed.get(str(worker))
        capacity = host.capacity if host is not None else None
        rows.append(
            (
                worker,
                zone,
                host.rack if host is not None else rack,
                state,
                tasks,
                capacity.millicores // 1_000 if capacity is not None else None,
                capacity.memory_mib if capacity is not None else None,
                drained_by,
            )
        )
    return Table(table.columns, tuple(rows))


async def _list_teams(command: ListRows, reads: ReadServices) -> CommandResponse:
    answered, silent = await reads.zones.ask_all("ListRows", ListRows("jobs"))
    jobs = _concatenate_rows(TABLE_COLUMNS["jobs"], answered)
    team_index, open_index = (jobs.columns.index(name) for name in ("team", "open"))
    counts: dict[str, list[int]] = {}
    for row in jobs.rows:
        totals = counts.setdefault(str(row[team_index]), [0, 0])
        totals[0] += 1
        totals[1] += int(row[open_index] or 0)
    teams = reads.configuration.get_current().teams
    rows: list[tuple[Cell, ...]] = []
    for team in sorted({*teams, *counts}):
        settings = teams.get(TeamId(team), TeamSettings())
        quota = settings.quota
        amounts = (quota.millicores, quota.memory_mib, quota.accelerators)
        rows.append((team, *amounts, *counts.get(team, [0, 0])))
    table = filter_table(
        Table(TABLE_COLUMNS["teams"], tuple(rows)), command.conditions, command.limit
    )
    return CommandResponse("done", table=table, partial=silent)


def _list_services(reads: ReadServices) -> Table:
    counts: dict[tuple[ServiceId, ZoneId], list[int]] = {}
    for host in reads.context.directory.list_hosts():
        if host.kind is not HostKind.UPSTREAM or host.service is None:
            continue
        totals = counts.setdefault((host.service, host.zone), [0, 0, 0])
        totals[0] += 1
        totals[1] += host.leaving
        totals[2] += host.slots
    rows: list[tuple[Cell, ...]] = []
    for (service, zone), totals in sorted(counts.items()):
        rows.append((service, zone, *totals))
    return Table(TABLE_COLUMNS["services"], tuple(rows))

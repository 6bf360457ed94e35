"""Runs the leadership decision functions of a zone's hosts against an in-memory table."""

from dataclasses import dataclass, field

from lentilpath_core.ids import HostId, Incarnation, Instant, RowVersion
from lentilpath_core.leadership import (
    AskPromises,
    ClockAdvanced,
    Effects,
    Lead,
    LeadershipEvent,
    LeadershipState,
    Member,
    PromiseGiven,
    ReadFailed,
    ReadRows,
    ReadZone,
    WriteAnswered,
    WriteOutcome,
    WriteRows,
    ZoneRow,
    ZoneWasRead,
    create_state,
    decide,
)
from lentilpath_core.settings import LeadershipSettings

SETTINGS = LeadershipSettings(newcomer_horizon_ms=20_000)


@dataclass
class FakeRows:
    row: ZoneRow | None = None
    version: int = 0
    epoch_version: int = 0

    def apply(self, write: WriteRows) -> bool:
        if write.version != self.version:
            return False
        if write.takes_over:
            if write.epoch_version != self.epoch_version:
                return False
            self.epoch_version += 1
        self.row = write.row
        self.version += 1
        return True

    def get_row(self) -> ZoneRow:
        assert self.row is not None
        return self.row

    def read(self) -> ReadZone:
        return ReadZone(self.row, RowVersion(self.version), RowVersion(self.epoch_version))


def make_member(name: str, incarnation: int = 1) -> Member:
    return Member(HostId(name), Incarnation(f"{name}#{incarnation}"))


@dataclass
class FakeHost:
    rows: FakeRows
    state: LeadershipState
    now: int = 1_000
    table_up: bool = True
    lose_answers: bool = False
    drop_writes: bool = False
    promise_rounds: list[AskPromises] = field(default_factory=list)
    writes: list[WriteRows] = field(default_factory=list)

    def feed(self, event: LeadershipEvent) -> Effects:
        self.state, effects = decide(event, self.state, Instant(self.now))
        for effect in effects:
            if isinstance(effect, AskPromises):
                self.promise_rounds.append(effect)
            elif isinstance(effect, ReadRows):
                self.feed(ZoneWasRead(self.rows.read()) if self.table_up else ReadFailed())
            elif isinstance(effect, WriteRows):
                self.feed(WriteAnswered(effect.row.write_id, self._write(effect)))
        return effects

    def _write(self, write: WriteRows) -> WriteOutcome:
        self.writes.append(write)
        if not self.table_up:
            return WriteOutcome.NOT_REACHED
        if self.drop_writes:
            return WriteOutcome.UNKNOWN
        applied = self.rows.apply(write)
        if self.lose_answers:
            return WriteOutcome.UNKNOWN
        return WriteOutcome.APPLIED if applied else WriteOutcome.REJECTED

    def run(self, duration_ms: int, step_ms: int = 50) -> None:
        end = self.now + duration_ms
        while self.now < end:
            self.now += step_ms
            self.feed(ClockAdvanced())

    def promise_all(self) -> None:
        asked = self.promise_rounds[-1]
        for member in asked.members:
            self.feed(PromiseGiven(member, asked.round))

    def get_lead(self) -> Lead:
        assert self.state.lead is not None
        return self.state.lead

    def has_authority(self) -> bool:
        return self.state.lead is not None and self.now < self.state.lead.until


def create_host(name: str, rows: FakeRows, now: int = 1_000) -> FakeHost:
    return FakeHost(rows, create_state(make_member(name), SETTINGS), now)

"""Simulates the leadership decision functions of a zone's hosts in virtual time, with faults.

The test advances real time; each host reads it through a clock with its own rate. Table requests,
their responses and the messages about promises may be delayed or lost.
"""

from dataclasses import dataclass, field
from enum import Enum

from lentilpath_core.ids import Instant
from lentilpath_core.leadership import (
    AnswerPromise,
    AskPromises,
    ClockAdvanced,
    HelloReceived,
    LeadershipEvent,
    LeadershipState,
    ListenerBound,
    PromiseAsked,
    PromiseGiven,
    ReadFailed,
    ReadRows,
    ReleaseRequested,
    WriteAnswered,
    WriteOutcome,
    WriteRows,
    ZoneWasRead,
    create_state,
    decide,
)
from lentilpath_core.settings import LeadershipSettings
from tests.common.leadership import FakeRows, make_member

RATE_UNIT = 1_000
STEP_MS = 25
MAX_REQUESTS_PER_STEP = 4
SETTINGS = LeadershipSettings(
    lease_ms=1_000,
    renew_every_ms=400,
    drift_margin_ms=200,
    newcomer_horizon_ms=4_000,
    promise_ms=1_500,
)


class TableMode(Enum):
    UP = "up"
    DOWN = "down"
    LOSES_ANSWERS = "loses answers"
    DELAYS_WRITES = "delays writes"
    """Reads get a response; writes are applied later and get no response."""


@dataclass
class Process:
    name: str
    number: int
    rate: int
    """Milliseconds that this process's clock advances in `RATE_UNIT` real milliseconds."""
    state: LeadershipState
    requests: list[ReadRows | WriteRows] = field(default_factory=list)
    paused: bool = False
    table: TableMode = TableMode.UP
    peers_up: bool = True

    @property
    def key(self) -> tuple[str, int]:
        return (self.name, self.number)


@dataclass(frozen=True)
class PromiseMessage:
    sender: tuple[str, int]
    event: PromiseAsked


@dataclass(frozen=True)
class PromiseAnswer:
    asker: tuple[str, int]
    event: PromiseGiven


class Zone:
    def __init__(self, rates: dict[str, int]) -> None:
        self.now = 10_000
        self.rows = FakeRows()
        self.rates = rates
        self.processes: dict[str, Process] = {}
        self.late_writes: list[WriteRows] = []
        self.promise_messages: list[PromiseMessage] = []
        self.promise_answers: list[PromiseAnswer] = []
        self.epochs_seen: dict[int, tuple[str, int]] = {}

    def start(self, name: str) -> None:
        number = 1
        earlier = self.processes.get(name)
        if earlier is not None:
            number = earlier.number + 1
            self.late_writes += [r for r in earlier.requests if isinstance(r, WriteRows)]
        member = make_member(name, number)
        self.processes[name] = Process(
            name, number, self.rates[name], create_state(member, SETTINGS)
        )
        self.feed(name, ListenerBound())

    def read_clock(self, name: str) -> Instant:
        return Instant(self.now * self.rates[name] // RATE_UNIT)

    def feed(self, name: str, event: LeadershipEvent) -> None:
        process = self.processes[name]
        process.state, effects = decide(event, process.state, self.read_clock(name))
        for effect in effects:
            if isinstance(effect, ReadRows | WriteRows):
                process.requests.append(effect)
                assert (
                    len(process.requests) == 1
                ), "a second table request was sent before the response to the first"
            elif isinstance(effect, AskPromises):
                self._send_promise_requests(process, effect)
            elif isinstance(effect, AnswerPromise) and effect.given:
                assert isinstance(event, PromiseAsked)
                given = PromiseGiven(event.asked, event.round)
                asker = (str(event.holder.host), int(event.holder.incarnation.split("#")[1]))
                self.promise_answers.append(PromiseAnswer(asker, given))
        self.check()

    def _send_promise_requests(self, process: Process, effect: AskPromises) -> None:
        # Answers to earlier rounds no longer affect their sender, so their messages are dropped.
        self.promise_messages = [m for m in self.promise_messages if m.sender != process.key]
        for member in effect.members:
            event = PromiseAsked(
                process.state.member, effect.epoch, member, effect.round, effect.duration_ms
            )
            self.promise_messages.append(PromiseMessage(process.key, event))

    def advance(self, duration_ms: int, step_ms: int = STEP_MS) -> None:
        """Advance time in steps; after each, run all processes that are not paused."""
        end = self.now + duration_ms
        while self.now < end:
            self.now += min(step_ms, end - self.now)
            for name in tuple(self.processes):
                if not self.processes[name].paused:
                    self.feed(name, ClockAdvanced())
                    self._serve_table(name)
                    self._send_hellos(name)
            self._deliver_promises()

    def _serve_table(self, name: str) -> None:
        process = self.processes[name]
        for _ in range(MAX_REQUESTS_PER_STEP):
            if not process.requests:
                return
            request = process.requests.pop()
            if isinstance(request, ReadRows):
                lost = process.table in (TableMode.DOWN, TableMode.LOSES_ANSWERS)
                self.feed(name, ReadFailed() if lost else ZoneWasRead(self.rows.read()))
            else:
                outcome = self._write(request, process.table)
                self.feed(name, WriteAnswered(request.row.write_id, outcome))

    def _write(self, write: WriteRows, mode: TableMode) -> WriteOutcome:
        if mode is TableMode.DOWN:
            return WriteOutcome.NOT_REACHED
        if mode is TableMode.DELAYS_WRITES:
            self.late_writes.append(write)
            return WriteOutcome.UNKNOWN
        applied = self.rows.apply(write)
        if mode is TableMode.LOSES_ANSWERS:
            return WriteOutcome.UNKNOWN
        return WriteOutcome.APPLIED if applied else WriteOutcome.REJECTED

    def _send_hellos(self, sender: str) -> None:
        hello = HelloReceived(self.processes[sender].state.member)
        for receiver, process in self.processes.items():
            connected = self._is_connected(sender) and self._is_connected(receiver)
            if receiver != sender and connected and not process.paused:
                self.feed(receiver, hello)

    def _is_connected(self, name: str) -> bool:
        return name in self.processes and self.processes[name].peers_up

    def _deliver_promises(self) -> None:
        messages, self.promise_messages = self.promise_messages, []
        for message in messages:
            asked = str(message.event.asked.host)
            if not (self._is_connected(asked) and self._is_connected(message.sender[0])):
                continue
            if self.processes[asked].paused:
                self.promise_messages.append(message)
            else:
                self.feed(asked, message.event)
        answers, self.promise_answers = self.promise_answers, []
        for answer in answers:
            process = self.processes[answer.asker[0]]
            if process.paused:
                self.promise_answers.append(answer)
            elif process.key == answer.asker:
                self.feed(process.name, answer.event)

    def apply_late_write(self, index: int) -> None:
        if self.late_writes:
            self.rows.apply(self.late_writes.pop(index % len(self.late_writes)))

    def release(self, name: str) -> None:
        self.feed(name, ReleaseRequested())

    def list_deciders(self) -> list[str]:
        return [
            name
            for name, process in self.processes.items()
            if process.state.lead is not None and self.read_clock(name) < process.state.lead.until
        ]

    def check(self) -> None:
        deciders = self.list_deciders()
        assert len(deciders) <= 1, f"{deciders} all have authority at {self.now}"
        for name in deciders:
            process = self.processes[name]
            lead = process.state.lead
            assert lead is not None
            holder = self.epochs_seen.setdefault(lead.epoch, process.key)
            assert holder == process.key, f"epoch {lead.epoch} was held by two processes"

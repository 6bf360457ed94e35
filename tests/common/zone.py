"""Runs a zone's controller with fake workers and a fake journal in virtual time."""

from __future__ import annotations

from dataclasses import dataclass, field

from lentilpath_core.ids import (
    CustomerId,
    Epoch,
    HostId,
    Instant,
    JobId,
    RackId,
    TaskId,
    TeamId,
    WallTime,
    WorkerId,
    WorkerTime,
    ZoneId,
    get_job_of_task,
)
from lentilpath_core.placement import explain_task
from lentilpath_core.resources import Resources
from lentilpath_core.settings import WorkerLeaseSettings
from lentilpath_core.states import ENDED_TASK_STATES
from lentilpath_core.workloads import JobSpec, Policy, WorkloadKind
from lentilpath_core.zone.control import (
    AuthorityBackingChanged,
    BatchApplied,
    ControlEvent,
    ControllerState,
    ForgetAttempt,
    InboxRead,
    ListedWorker,
    RenewalSending,
    RequestFullReport,
    SendStart,
    SendStop,
    StartAnswered,
    TimePassed,
    WorkersListed,
    WorkerSynced,
    begin_journal_write,
    create_controller,
    decide_zone,
)
from lentilpath_core.zone.inbox import InboxEntry, StopJob, SubmitJob, ZoneCommand
from lentilpath_core.zone.journal import JournalBatch, decode_batch, encode_batch
from lentilpath_core.zone.reports import StartAnswer, WorkerReport, WorkerTask, WorkerTaskState
from lentilpath_core.zone.state import apply_batch, create_zone_state

ZONE = ZoneId("portland-dock")
CAPACITY = Resources(4_000, 4_096, 1)
LEASES = WorkerLeaseSettings(lease_ms=10_000, sync_wait_ms=2_000, silent_after_ms=3_000)
COMMAND_MS = 1_000


def make_spec(
    name: str,
    tasks: int = 1,
    millicores: int = 1_000,
    kind: WorkloadKind = WorkloadKind.BATCH,
    idempotent: bool = False,
    run_ms: int = 500,
) -> JobSpec:
    return JobSpec(
        JobId(name),
        TeamId("packing"),
        CustomerId("harbor-spoon"),
        kind,
        tasks,
        Resources(millicores, 256, 0),
        run_ms,
        Policy(idempotent=idempotent, retry_limit=1_000),
    )


@dataclass
class Run:
    task: TaskId
    attempt: int
    resources: Resources
    started_at: int
    ends_at: int
    lease_until: int
    state: WorkerTaskState = WorkerTaskState.RUNNING
    ended_at: int = 0


@dataclass
class FakeWorker:
    name: WorkerId
    boots: int = 1
    sequence: int = 1
    runs: dict[tuple[TaskId, int], Run] = field(default_factory=dict)
    history: list[Run] = field(default_factory=list)
    sync_sent_at: int | None = None
    sync_deadline: int = 0
    report: WorkerReport | None = None
    ask_all: bool = True

    def advance(self, now: int) -> None:
        for run in self.runs.values():
            if run.state is not WorkerTaskState.RUNNING:
                continue
            end = min(run.ends_at, run.lease_until)
            if now >= end:
                run.ended_at = end
                finished = run.ends_at <= run.lease_until
                run.state = WorkerTaskState.SUCCEEDED if finished else WorkerTaskState.LEASE_EXPIRED

    def start(self, spec: JobSpec, task: TaskId, attempt: int, now: int) -> None:
        if (task, attempt) in self.runs:
            return
        run = Run(task, attempt, spec.resources, now, now + spec.run_ms, now + LEASES.lease_ms)
        self.runs[task, attempt] = run
        self.history.append(run)

    def restart(self, now: int) -> None:
        for run in self.runs.values():
            if run.state is WorkerTaskState.RUNNING:
                run.state = WorkerTaskState.FAILED
                run.ended_at = now
        self.runs = {}
        self.boots += 1
        self.sync_sent_at = None
        self.report = None

    def make_report(self, now: int, complete: bool) -> WorkerReport:
        tasks = tuple(
            WorkerTask(
                run.task,
                run.attempt,
                run.state,
                run.resources,
                WallTime(run.started_at),
                WallTime(run.ended_at),
                0,
                0,
            )
            for run in self.runs.values()
        )
        boot = f"{self.name}-{self.boots}"
        return WorkerReport(boot, WorkerTime(now), self.sequence, complete, tasks)

    def get_used(self) -> Resources:
        used = Resources()
        for run in self.runs.values():
            if run.state is WorkerTaskState.RUNNING:
                used = used + run.resources
        return used


@dataclass
class Command:
    effect: SendStart
    spec: JobSpec
    deadline: int
    epoch: int


class FakeZone:
    """The zone's current leader, its workers and the runs that took place on them."""

    def __init__(self, workers: int = 3) -> None:
        self.now = 1_000
        self.workers = {WorkerId(f"w{i}"): FakeWorker(WorkerId(f"w{i}")) for i in range(workers)}
        self.listed = tuple(
            ListedWorker(name, RackId("r1"), CAPACITY, False) for name in self.workers
        )
        self.journal: list[str] = []
        self.inbox: dict[str, InboxEntry] = {}
        self.commands: list[Command] = []
        self.stops: list[SendStop] = []
        self.unresponsive_workers: set[WorkerId] = set()
        """Workers that never respond, not even in rounds without other faults."""
        self.epoch = 0
        self.command_count = 0
        self.batch: JournalBatch | None = None
        self.writing_keys: tuple[str, ...] = ()
        self.controller: ControllerState
        self.change_leader(batch_applied=False)

    def handle_event(self, event: ControlEvent) -> None:
        for effect in decide_zone(self.controller, event, Instant(self.now), WallTime(self.now)):
            if isinstance(effect, SendStart):
                job = self.controller.zone.jobs[get_job_of_task(effect.task)]
                deadline = self.now + COMMAND_MS
                self.commands.append(Command(effect, job.spec, deadline, self.epoch))
                self.handle_event(RenewalSending(effect.worker, Instant(deadline)))
            elif isinstance(effect, SendStop):
                self.stops.append(effect)
            elif isinstance(effect, ForgetAttempt):
                self.workers[effect.worker].runs.pop((effect.task, effect.attempt), None)
            elif isinstance(effect, RequestFullReport):
                self.workers[effect.worker].ask_all = True

    def advance(self, ms: int) -> None:
        for _ in range(max(1, ms // 100)):
            self.now += min(ms, 100)
            for worker in self.workers.values():
                worker.advance(self.now)
                assert worker.get_used().fits_in(CAPACITY), f"{worker.name} is overcommitted"
        self.check_no_duplicate_runs()

    def check_no_duplicate_runs(self) -> None:
        seen: dict[TaskId, WorkerId] = {}
        for worker in self.workers.values():
            for run in worker.runs.values():
                if run.state is WorkerTaskState.RUNNING:
                    assert run.task not in seen, f"{run.task} runs on two workers"
                    seen[run.task] = worker.name

    def submit(self, body: ZoneCommand) -> str:
        self.command_count += 1
        command = f"c{self.command_count}"
        self.inbox[command] = InboxEntry(
            command, WallTime(self.now), HostId("h1"), "operator", body
        )
        return command

    def read_inbox(self) -> None:
        self.handle_event(InboxRead(tuple((key, entry) for key, entry in self.inbox.items())))

    def begin_batch(self) -> None:
        if self.batch is None:
            write = begin_journal_write(self.controller, f"{self.epoch}-{len(self.journal)}")
            if write is not None:
                self.batch = write.batch
                self.writing_keys = write.inbox_keys

    def finish_batch(self) -> None:
        if self.batch is None:
            return
        self._store_batch()
        self.handle_event(BatchApplied())

    def _store_batch(self) -> None:
        assert self.batch is not None
        self.journal.append(encode_batch(self.batch))
        for key in self.writing_keys:
            self.inbox.pop(key, None)
        self.batch = None
        self.writing_keys = ()

    def deliver_start(self, index: int, answer_lost: bool) -> None:
        command = self.commands.pop(index)
        worker = self.workers[command.effect.worker]
        in_time = self.now <= command.deadline
        if in_time:
            worker.start(command.spec, command.effect.task, command.effect.attempt, self.now)
        answer = StartAnswer.STARTED if in_time else StartAnswer.REFUSED
        self.answer_start(command, StartAnswer.UNCLEAR if answer_lost else answer)

    def report_unclear_start(self, index: int) -> None:
        """Report an unknown outcome; the command may still be delivered until its deadline."""
        command = self.commands[index]
        self.answer_start(command, StartAnswer.UNCLEAR)

    def answer_start(self, command: Command, answer: StartAnswer) -> None:
        if command.epoch != self.epoch:
            return
        effect = command.effect
        deadline = Instant(command.deadline)
        self.handle_event(
            StartAnswered(effect.worker, effect.task, effect.attempt, answer, deadline)
        )

    def begin_sync(self, name: WorkerId) -> None:
        worker = self.workers[name]
        if worker.sync_sent_at is None:
            worker.sync_sent_at = self.now
            worker.sync_deadline = self.now + COMMAND_MS
            self.handle_event(RenewalSending(name, Instant(worker.sync_deadline)))

    def answer_sync(self, name: WorkerId) -> None:
        worker = self.workers[name]
        if worker.sync_sent_at is None or worker.report is not None:
            return
        if self.now <= worker.sync_deadline:
            for run in worker.runs.values():
                run.lease_until = self.now + LEASES.lease_ms
        worker.report = worker.make_report(self.now, worker.ask_all)

    def finish_sync(self, name: WorkerId) -> None:
        worker = self.workers[name]
        if worker.report is None or worker.sync_sent_at is None:
            return
        report, sent_at = worker.report, worker.sync_sent_at
        worker.report = None
        worker.sync_sent_at = None
        worker.ask_all = False
        self.handle_event(WorkerSynced(name, Instant(sent_at), report))

    def deliver_stops(self) -> None:
        stops, self.stops = self.stops, []
        for stop in stops:
            run = self.workers[stop.worker].runs.get((stop.task, stop.attempt))
            if run is not None and run.state is WorkerTaskState.RUNNING:
                run.state = WorkerTaskState.STOPPED
                run.ended_at = self.now

    def change_leader(self, batch_applied: bool) -> None:
        """Replace the leader after the commands of the previous one have passed their deadlines."""
        if self.batch is not None and batch_applied:
            self._store_batch()
        self.batch = None
        self.writing_keys = ()
        self.stops = []
        self.advance(COMMAND_MS + 100)
        for worker in self.workers.values():
            worker.sync_sent_at = None
            worker.report = None
            worker.ask_all = True
        self.epoch += 1
        state = create_zone_state(ZONE)
        for row in self.journal:
            apply_batch(state, decode_batch(row))
        self.controller = create_controller(
            state, Epoch(self.epoch), LEASES, WorkersListed(self.listed), Instant(self.now)
        )

    def set_table_backing(self, backed_by_table: bool) -> None:
        self.handle_event(AuthorityBackingChanged(backed_by_table))

    def run_without_faults(self, rounds: int, step_ms: int = 300) -> None:
        """Run `rounds` rounds in which all messages are delivered and all batches are applied."""
        self.set_table_backing(True)
        for _ in range(rounds):
            self.read_inbox()
            self.begin_batch()
            self.finish_batch()
            for name in self.workers:
                if name not in self.unresponsive_workers:
                    self.begin_sync(name)
                    self.answer_sync(name)
                    self.finish_sync(name)
            while self.commands:
                if self.commands[0].effect.worker in self.unresponsive_workers:
                    self.answer_start(self.commands.pop(0), StartAnswer.REFUSED)
                else:
                    self.deliver_start(0, answer_lost=False)
            self.deliver_stops()
            self.advance(step_ms)
            self.handle_event(TimePassed())

    def run_until_ended(self, max_rounds: int) -> None:
        """Run rounds without faults until no accepted task is open or `max_rounds` have passed."""
        for _ in range(max_rounds):
            self.run_without_faults(1)
            if not self.inbox and not self.list_open_tasks():
                return

    def explain_open_tasks(self) -> list[object]:
        return [
            (
                task,
                self.controller.zone.find_task(task),
                explain_task(self.controller.placement, task, Instant(self.now)),
            )
            for task in self.list_open_tasks()
        ]

    def list_open_tasks(self) -> list[TaskId]:
        return [
            task.task
            for job in self.controller.zone.jobs.values()
            for task in job.tasks.values()
            if task.state not in ENDED_TASK_STATES
        ]

    def count_runs(self, task: TaskId) -> int:
        return sum(
            1 for worker in self.workers.values() for run in worker.history if run.task == task
        )


def submit_and_read(zone: FakeZone, spec: JobSpec) -> str:
    command = zone.submit(SubmitJob(spec))
    zone.read_inbox()
    return command


def stop_job(zone: FakeZone, job: str) -> str:
    return zone.submit(StopJob(JobId(job)))

"""Builds the events of a small pool and collects the effects that its leader returns."""

from __future__ import annotations

from lentilpath_core.ids import (
    ConfigVersion,
    CustomerId,
    Epoch,
    Instant,
    JobId,
    RackId,
    ServiceId,
    WallTime,
    WorkerId,
    WorkerTime,
    ZoneId,
)
from lentilpath_core.pool import (
    NO_CUSTOMER,
    AdviceAnswered,
    AdvicePolicy,
    AskAdvice,
    ConfigurationSet,
    CustomerPolicy,
    EndedRun,
    FinalsRecorded,
    JobAccepted,
    JobRecord,
    LeaseSent,
    Life,
    ListedWorker,
    MachineId,
    Permission,
    PoolConfiguration,
    PoolEffect,
    PoolEvent,
    QueueId,
    QueuePolicy,
    RecordFinal,
    RecordRun,
    RecordWorkers,
    RunEnd,
    RunningRun,
    RunNumber,
    RunsRecorded,
    StartAnswer,
    StartAnswered,
    StartRun,
    StepSpec,
    StopRun,
    TaskKey,
    TimePassed,
    WorkerCondition,
    WorkerReport,
    WorkerReported,
    WorkersListed,
    WorkersRecorded,
    create_pool,
    decide_pool,
    place_pool,
)
from lentilpath_core.pool._restarts import MAX_WAIT_MS
from lentilpath_core.resources import Resources
from lentilpath_core.settings import Address

SERVICE = ServiceId("planner")
QUEUE = QueueId("checks")
LIFE = Life(1)
SETTLE_MS = 5_000
WORKER_CAPACITY = Resources(8_000, 8_192, 0)
TASK_RESOURCES = Resources(1_000, 512, 0)


def make_job_id(number: int) -> JobId:
    return JobId(f"{number:016x}")


def make_task(job: int, number: int = 0, step: int = 0) -> TaskKey:
    return TaskKey(make_job_id(job), 0, step, number)


def make_queue(
    queue: QueueId = QUEUE, priority: int = 0, advice: AdvicePolicy | None = None, **rest: int
) -> QueuePolicy:
    return QueuePolicy(
        queue,
        "shop.example",
        "/checks/",
        SERVICE,
        priority,
        rest.get("max_attempts", 3),
        2.0,
        rest.get("target_ms", 1_000),
        3_000,
        advice,
        bool(rest.get("is_public", False)),
    )


def make_worker(
    name: str,
    room: Resources = WORKER_CAPACITY,
    life: Life = LIFE,
    rack: str = "r1",
    machine: str = "",
    **rest: int,
) -> ListedWorker:
    return ListedWorker(
        WorkerId(name),
        life,
        SERVICE,
        Address("127.0.0.1", 8_080),
        ZoneId("z1"),
        RackId(rack),
        frozenset({"a", rack}),
        room,
        WorkerCondition.READY,
        rest.get("leaves_in_ms"),
        rest.get("sequence", 0),
        MachineId(machine),
    )


def make_record(
    job: int,
    *steps: StepSpec,
    queue: QueueId = QUEUE,
    customer: CustomerId = NO_CUSTOMER,
    accepted_at: int = 0,
) -> JobRecord:
    return JobRecord(
        make_job_id(job),
        queue,
        "run",
        steps or (StepSpec(1, TASK_RESOURCES, 500),),
        WallTime(accepted_at),
        customer=customer,
    )


class PoolHarness:
    """Drives the state of a pool's leader with a clock that the test advances.

    Records become durable only when the test confirms them.
    """

    def __init__(
        self, *queues: QueuePolicy, epoch: int = 1, customers: tuple[CustomerPolicy, ...] = ()
    ) -> None:
        self.now = Instant(1_000_000)
        self.state = create_pool(Epoch(epoch), Instant(self.now + SETTLE_MS))
        self.effects: list[PoolEffect] = []
        self.listed: dict[str, ListedWorker] = {}
        chosen = queues or (make_queue(),)
        self.queues = {each.queue: each for each in chosen}
        self.set_customers(1, *customers)

    def set_customers(self, version: int, *customers: CustomerPolicy) -> None:
        known = {each.customer: each for each in customers}
        configuration = PoolConfiguration(
            ConfigVersion(version), self.queues, customers=known, requires_keys=bool(known)
        )
        self.handle_event(ConfigurationSet(configuration))

    def handle_event(self, event: PoolEvent) -> list[PoolEffect]:
        effects = list(decide_pool(self.state, event, self.now))
        self.effects.extend(effects)
        return effects

    def place(self) -> list[PoolEffect]:
        effects = list(place_pool(self.state, self.now))
        self.effects.extend(effects)
        return effects

    def pass_time(self, ms: int, is_confirmed: bool = True) -> list[PoolEffect]:
        self.now = Instant(self.now + ms)
        return self.handle_event(TimePassed(WallTime(self.now), is_confirmed))

    def list_workers_unrecorded(self, *workers: ListedWorker) -> None:
        self.listed = {each.worker: each for each in workers}
        self.handle_event(WorkersListed(tuple(workers)))

    def list_workers(self, *workers: ListedWorker) -> None:
        self.list_workers_unrecorded(*workers)
        self.handle_event(WorkersRecorded(tuple((each.worker, each.life) for each in workers)))

    def add_workers(self, *workers: ListedWorker) -> None:
        self.list_workers(*workers)
        for each in workers:
            self.report(each.worker)

    def report(
        self,
        worker: str,
        running: tuple[tuple[TaskKey, int, int], ...] = (),
        ended: tuple[tuple[int, TaskKey, int, RunEnd], ...] = (),
        checkpoint: str = "",
        load: int = 0,
        with_lease: bool = True,
        is_complete: bool = True,
    ) -> list[PoolEffect]:
        listed = self.listed[worker]
        self.now = Instant(self.now + 1)
        report = WorkerReport(
            WorkerTime(self.now),
            tuple(
                RunningRun(task, RunNumber(run), checkpoint, part, load)
                for task, run, part in running
            ),
            tuple(
                EndedRun(number, task, RunNumber(run), end, checkpoint)
                for number, task, run, end in ended
            ),
            is_complete=is_complete,
        )
        if with_lease:
            self.handle_event(LeaseSent(listed.worker, listed.life, Instant(self.now + SETTLE_MS)))
        return self.handle_event(WorkerReported(listed.worker, listed.life, report, self.now))

    def submit(
        self,
        job: int,
        *steps: StepSpec,
        queue: QueueId = QUEUE,
        customer: CustomerId = NO_CUSTOMER,
        accepted_at: int = 0,
    ) -> None:
        record = make_record(job, *steps, queue=queue, customer=customer, accepted_at=accepted_at)
        self.handle_event(JobAccepted(record))

    def answer_start(self, start: StartRun, answer: StartAnswer) -> list[PoolEffect]:
        return self.handle_event(
            StartAnswered(start.worker, start.life, start.task, start.run, answer)
        )

    def confirm_workers(self) -> None:
        """Make the last requested list of workers durable."""
        record = next(each for each in reversed(self.effects) if isinstance(each, RecordWorkers))
        suspended = {worker for worker, _ in record.suspended}
        lives = [(each.worker, each.life) for each in record.workers]
        self.handle_event(
            WorkersRecorded(
                tuple(each for each in lives if each[0] not in suspended),
                tuple(each for each in lives if each[0] in suspended),
                record.number,
            )
        )

    def confirm_records(self) -> list[PoolEffect]:
        """Make all requested records durable and return the effects that follow."""
        follow: list[PoolEffect] = []
        wanted = [each for each in self.effects if isinstance(each, RecordRun | RecordFinal)]
        self.effects = [
            each for each in self.effects if not isinstance(each, RecordRun | RecordFinal)
        ]
        for each in wanted:
            if isinstance(each, RecordRun):
                follow.extend(self.handle_event(RunsRecorded(((each.task, each.record),))))
            else:
                follow.extend(self.handle_event(FinalsRecorded(((each.job, each.final),))))
        return follow

    def grant_permissions(
        self, ask: AskAdvice, *workers: str, valid_ms: int = 2_000
    ) -> list[PoolEffect]:
        allowed = tuple(Permission(WorkerId(each), f"ticket-{each}") for each in workers)
        until = Instant(self.now + valid_ms)
        return self.handle_event(AdviceAnswered(ask.step, ask.workers, allowed, until))

    def lose_advice(self, ask: AskAdvice) -> list[PoolEffect]:
        return self.handle_event(AdviceAnswered(ask.step, ask.workers, None, self.now))


def let_rest(harness: PoolHarness, worker: str) -> None:
    """Let time pass until a restarted worker may be used, and make that durable."""
    for _ in range(0, harness.state.longest_lease_ms - MAX_WAIT_MS + 250, 250):
        harness.pass_time(250)
        harness.report(worker)
    harness.confirm_workers()
    harness.report(worker)


def list_starts(effects: list[PoolEffect]) -> list[StartRun]:
    return [each for each in effects if isinstance(each, StartRun)]


def list_stops(effects: list[PoolEffect]) -> list[StopRun]:
    return [each for each in effects if isinstance(each, StopRun)]


def list_advice_requests(effects: list[PoolEffect]) -> list[AskAdvice]:
    return [each for each in effects if isinstance(each, AskAdvice)]


def list_records(effects: list[PoolEffect]) -> list[RecordRun | RecordFinal | RecordWorkers]:
    return [each for each in effects if isinstance(each, RecordRun | RecordFinal | RecordWorkers)]

"""The leader of a zone: memory, recovery, reports, starts and the journal, at four sizes."""

from __future__ import annotations

import msgspec

from benches.slopes.figures import fit_slope, measure_bytes, measure_ms
from lentilpath_core.ids import (
    CustomerId,
    Epoch,
    HostId,
    Instant,
    JobId,
    RackId,
    TeamId,
    WallTime,
    WorkerId,
    WorkerTime,
    ZoneId,
)
from lentilpath_core.resources import Resources
from lentilpath_core.settings import WorkerLeaseSettings
from lentilpath_core.workloads import JobSpec, Policy, WorkloadKind
from lentilpath_core.zone.control import (
    BatchApplied,
    ControllerState,
    InboxRead,
    ListedWorker,
    SendStart,
    StartAnswered,
    WorkersListed,
    WorkerSynced,
    create_controller,
    decide_zone,
    take_batch,
)
from lentilpath_core.zone.inbox import InboxEntry, SubmitJob
from lentilpath_core.zone.journal import (
    AttemptStarting,
    JobAccepted,
    JournalEvent,
    WorkerJoined,
    encode_batch,
)
from lentilpath_core.zone.reports import StartAnswer, WorkerReport, WorkerTask, WorkerTaskState
from lentilpath_core.zone.state import ZoneState, apply_journal_event, create_zone_state

ZONE = ZoneId("z")
WORKER_SIZES = (65, 130, 260, 521)
RUNNING_PER_WORKER = 9.4
WAITING_PER_WORKER = 38.4
TASKS_PER_JOB = 50
TEAMS = 17
STARTS_MEASURED = 2_000
TASK_ROOM = Resources(1_000, 2_048, 0)
WORKER_ROOM = Resources(10_000, 131_072, 1)


def make_spec(name: str, tasks: int) -> JobSpec:
    """Return a batch job of `tasks` small tasks."""
    team = TeamId(f"team-{sum(name.encode()) % TEAMS}")
    policy = Policy(idempotent=True)
    return JobSpec(
        JobId(name),
        team,
        CustomerId("c"),
        WorkloadKind.BATCH,
        tasks,
        TASK_ROOM,
        60_000,
        policy,
    )


def list_events(workers: int) -> list[JournalEvent]:
    """Return the journal of a zone of so many workers with running and waiting jobs."""
    events: list[JournalEvent] = [
        WorkerJoined(WorkerId(f"w{number}"), f"b{number}", WallTime(1)) for number in range(workers)
    ]
    started = 0
    running = int(workers * RUNNING_PER_WORKER)
    while started < running:
        spec = make_spec(f"run-{started}", TASKS_PER_JOB)
        events.append(JobAccepted(spec, WallTime(1), HostId("h")))
        for task in spec.list_tasks():
            worker = WorkerId(f"w{started % workers}")
            events.append(AttemptStarting(task, 1, worker, WallTime(2), "placed: tightest room"))
            started += 1
    for number in range(int(workers * WAITING_PER_WORKER) // TASKS_PER_JOB):
        spec = make_spec(f"wait-{number}", TASKS_PER_JOB)
        events.append(JobAccepted(spec, WallTime(1), HostId("h")))
    return events


def fold_events(events: list[JournalEvent]) -> ZoneState:
    """Return the state after `events`."""
    state = create_zone_state(ZONE)
    for event in events:
        apply_journal_event(event, state)
    return state


def lead(state: ZoneState, workers: int) -> ControllerState:
    """Return the controller of a new leader."""
    listed = WorkersListed(
        tuple(
            ListedWorker(WorkerId(f"w{number}"), RackId(f"r{number // 8}"), WORKER_ROOM, False)
            for number in range(workers)
        )
    )
    return create_controller(state, Epoch(2), WorkerLeaseSettings(), listed, Instant(1_000))


def take_reports(controller: ControllerState, workers: int, sent_at: int) -> list[SendStart]:
    """Let every worker report all its tasks; return the starts that follow."""
    starts: list[SendStart] = []
    for number in range(workers):
        worker = WorkerId(f"w{number}")
        tasks = tuple(
            WorkerTask(
                task, attempt, WorkerTaskState.RUNNING, TASK_ROOM, WallTime(3), WallTime(0), 0, 0
            )
            for task, attempt in controller.zone.open_attempts.get(worker, {}).items()
        )
        report = WorkerReport(f"b{number}", WorkerTime(sent_at), 7, True, tasks)
        event = WorkerSynced(worker, Instant(sent_at), report)
        for effect in decide_zone(controller, event, Instant(sent_at + 1), WallTime(9)):
            if isinstance(effect, SendStart):
                starts.append(effect)
    return starts


def run_task(controller: ControllerState, start: SendStart, now: int) -> None:
    """Let one started task be answered, end and be forgotten."""
    answered = StartAnswered(
        start.worker, start.task, start.attempt, StartAnswer.STARTED, Instant(now)
    )
    decide_zone(controller, answered, Instant(now), WallTime(9))
    ended = WorkerTask(
        start.task,
        start.attempt,
        WorkerTaskState.SUCCEEDED,
        TASK_ROOM,
        WallTime(3),
        WallTime(9),
        5,
        5,
    )
    boot = controller.workers[start.worker].boot
    report = WorkerReport(boot, WorkerTime(now), 8, False, (ended,))
    decide_zone(
        controller, WorkerSynced(start.worker, Instant(now), report), Instant(now), WallTime(9)
    )


def measure_task_life(workers: int) -> tuple[float, float]:
    """Return processor time in ms and journal bytes of one task from submission to its end."""
    state = fold_events([e for e in list_events(workers) if isinstance(e, WorkerJoined)])
    controller = lead(state, workers)
    take_reports(controller, workers, 2_000)
    journal_bytes = 0
    run = 0

    def flush() -> int:
        write = take_batch(controller, "w")
        size = len(encode_batch(write.batch)) if write is not None else 0
        return size

    def live() -> None:
        nonlocal journal_bytes, run
        now = 3_000
        for number in range(STARTS_MEASURED // TASKS_PER_JOB):
            now += 100
            spec = make_spec(f"life-{number}", TASKS_PER_JOB)
            entry = InboxEntry(f"c{number}", WallTime(1), HostId("h"), "o", SubmitJob(spec))
            effects = list(
                decide_zone(
                    controller, InboxRead(((f"k{number}", entry),)), Instant(now), WallTime(9)
                )
            )
            journal_bytes += flush()
            effects += decide_zone(controller, BatchApplied(), Instant(now), WallTime(9))
            for effect in effects:
                if isinstance(effect, SendStart):
                    run_task(controller, effect, now)
                    run += 1
            journal_bytes += flush()
            decide_zone(controller, BatchApplied(), Instant(now), WallTime(9))

    elapsed_ms, _ = measure_ms(live)
    return elapsed_ms / run, journal_bytes / run


def print_zone_slopes() -> None:
    """Measure a zone's leader at four sizes and print the slopes."""
    memory: list[float] = []
    recovery: list[float] = []
    reports: list[float] = []
    snapshots: list[float] = []
    print("| workers | tasks | leader's memory MB | recovery ms | one round of reports ms |")
    print("|---|---|---|---|---|")
    for workers in WORKER_SIZES:
        events = list_events(workers)
        data = msgspec.msgpack.encode(fold_events(events))
        held, controller = measure_bytes(lambda data=data, w=workers: recover(data, w))
        recovery_ms, controller = measure_ms(lambda data=data, w=workers: recover(data, w))
        round_ms, _ = measure_ms(
            lambda controller=controller, w=workers: take_reports(controller, w, 50_000)
        )
        tasks = sum(len(job.tasks) for job in controller.zone.jobs.values())
        print(f"| {workers} | {tasks} | {held / 1e6:.1f} | {recovery_ms:.0f} | {round_ms:.0f} |")
        memory.append(held)
        recovery.append(recovery_ms)
        reports.append(round_ms)
        snapshots.append(len(data))
    sizes = list(WORKER_SIZES)
    print()
    print(f"- memory: {fit_slope(sizes, memory)[0] / 1e3:.1f} KB a worker with its 48 tasks")
    print(f"- recovery: {fit_slope(sizes, recovery)[0]:.2f} ms a worker with its 48 tasks")
    print(f"- a report of 9.4 running tasks: {fit_slope(sizes, reports)[0]:.3f} ms")
    print(f"- snapshot: {fit_slope(sizes, snapshots)[0] / 1e3:.1f} KB a worker with its 48 tasks")
    for workers in WORKER_SIZES:
        life_ms, journal_bytes = measure_task_life(workers)
        print(
            f"- a task's life at {workers} workers: {life_ms:.3f} ms, "
            f"{journal_bytes:.0f} bytes of journal"
        )


def recover(data: bytes, workers: int) -> ControllerState:
    """Return the controller of a leader that read a snapshot and heard all workers."""
    state = msgspec.msgpack.decode(data, type=ZoneState)
    controller = lead(state, workers)
    take_reports(controller, workers, 2_000)
    return controller

"""Measures a zone leader at four sizes: memory, recovery, reports, starts and journal."""

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
    begin_journal_write,
    create_controller,
    decide_zone,
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
TASK_RESOURCES = Resources(1_000, 2_048, 0)
WORKER_CAPACITY = Resources(10_000, 131_072, 1)


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
        TASK_RESOURCES,
        60_000,
        policy,
    )


def list_events(workers: int) -> list[JournalEvent]:
    """Return the journal of a zone with `workers` workers and with running and waiting jobs."""
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


def replay_events(events: list[JournalEvent]) -> ZoneState:
    """Return the zone state replayed from `events`."""
    state = create_zone_state(ZONE)
    for event in events:
        apply_journal_event(event, state)
    return state


def create_leader(state: ZoneState, workers: int) -> ControllerState:
    """Return the controller of a new leader that starts from `state`."""
    listed = WorkersListed(
        tuple(
            ListedWorker(WorkerId(f"w{number}"), RackId(f"r{number // 8}"), WORKER_CAPACITY, False)
            for number in range(workers)
        )
    )
    return create_controller(state, Epoch(2), WorkerLeaseSettings(), listed, Instant(1_000))


def apply_reports(controller: ControllerState, workers: int, sent_at: int) -> list[SendStart]:
    """Apply a full report of every worker and return the starts that the controller sends."""
    starts: list[SendStart] = []
    for number in range(workers):
        worker = WorkerId(f"w{number}")
        tasks = tuple(
            WorkerTask(
                task,
                attempt,
                WorkerTaskState.RUNNING,
                TASK_RESOURCES,
                WallTime(3),
                WallTime(0),
                0,
                0,
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
    """Confirm one start and report the successful end of its attempt."""
    answered = StartAnswered(
        start.worker, start.task, start.attempt, StartAnswer.STARTED, Instant(now)
    )
    decide_zone(controller, answered, Instant(now), WallTime(9))
    ended = WorkerTask(
        start.task,
        start.attempt,
        WorkerTaskState.SUCCEEDED,
        TASK_RESOURCES,
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


def measure_task_lifecycle(workers: int) -> tuple[float, float]:
    """Return processor time in ms and journal bytes per task, from submission to end."""
    state = replay_events([e for e in list_events(workers) if isinstance(e, WorkerJoined)])
    controller = create_leader(state, workers)
    apply_reports(controller, workers, 2_000)
    journal_bytes = 0
    task_count = 0

    def encode_journal() -> int:
        write = begin_journal_write(controller, "w")
        size = len(encode_batch(write.batch)) if write is not None else 0
        return size

    def run_lifecycles() -> None:
        nonlocal journal_bytes, task_count
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
            journal_bytes += encode_journal()
            effects += decide_zone(controller, BatchApplied(), Instant(now), WallTime(9))
            for effect in effects:
                if isinstance(effect, SendStart):
                    run_task(controller, effect, now)
                    task_count += 1
            journal_bytes += encode_journal()
            decide_zone(controller, BatchApplied(), Instant(now), WallTime(9))

    elapsed_ms, _ = measure_ms(run_lifecycles)
    return elapsed_ms / task_count, journal_bytes / task_count


def print_zone_slopes() -> None:
    """Measure a zone's leader at four sizes and print the fitted slopes."""
    memory: list[float] = []
    recovery: list[float] = []
    reports: list[float] = []
    snapshots: list[float] = []
    print("| workers | tasks | leader's memory MB | recovery ms | one round of reports ms |")
    print("|---|---|---|---|---|")
    for workers in WORKER_SIZES:
        events = list_events(workers)
        data = msgspec.msgpack.encode(replay_events(events))
        held_bytes, controller = measure_bytes(lambda data=data, w=workers: recover_leader(data, w))
        recovery_ms, controller = measure_ms(lambda data=data, w=workers: recover_leader(data, w))
        round_ms, _ = measure_ms(
            lambda controller=controller, w=workers: apply_reports(controller, w, 50_000)
        )
        tasks = sum(len(job.tasks) for job in controller.zone.jobs.values())
        print(
            f"| {workers} | {tasks} | {held_bytes / 1e6:.1f} | {recovery_ms:.0f} | {round_ms:.0f} |"
        )
        memory.append(held_bytes)
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
        lifecycle_ms, journal_bytes = measure_task_lifecycle(workers)
        print(
            f"- a task's life at {workers} workers: {lifecycle_ms:.3f} ms, "
            f"{journal_bytes:.0f} bytes of journal"
        )


def recover_leader(data: bytes, workers: int) -> ControllerState:
    """Return the controller of a leader that read a snapshot and got all workers' reports."""
    state = msgspec.msgpack.decode(data, type=ZoneState)
    controller = create_leader(state, workers)
    apply_reports(controller, workers, 2_000)
    return controller

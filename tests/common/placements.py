"""Drives the placement of one zone and checks each decision against the workers' capacity."""

from typing import Any

from lentilpath_core.ids import (
    CustomerId,
    Instant,
    JobId,
    RackId,
    TaskId,
    TeamId,
    WallTime,
    WorkerId,
    get_job_of_task,
)
from lentilpath_core.placement import (
    AttemptFinished,
    Decision,
    Explanation,
    JobWithdrawn,
    PlacementEvent,
    RefuseJob,
    StartTask,
    StopTask,
    TasksReady,
    UsageReported,
    WorkerOffered,
    apply_event,
    create_placement,
    decide_placements,
    explain_task,
)
from lentilpath_core.resources import Resources
from lentilpath_core.states import AttemptOutcome, WorkerState
from lentilpath_core.workloads import JobSpec, Policy, WorkloadKind

WALL_OFFSET_MS = 1_000_000


def make_spec(
    job: str = "j",
    tasks: int = 1,
    cores: int = 1,
    memory_mib: int = 1_024,
    accelerators: int = 0,
    kind: WorkloadKind = WorkloadKind.BATCH,
    team: str = "a",
    run_ms: int = 1_000,
    workload: str = "",
    **policy: Any,
) -> JobSpec:
    return JobSpec(
        JobId(job),
        TeamId(team),
        CustomerId("c"),
        kind,
        tasks,
        Resources(cores * 1_000, memory_mib, accelerators),
        run_ms,
        Policy(**policy),
        workload,
    )


class Zone:
    def __init__(
        self, workers: int = 4, cores: int = 8, memory_mib: int = 32_768, racks: int = 2
    ) -> None:
        self.state = create_placement()
        self.now = Instant(0)
        self.running: dict[str, StartTask] = {}
        self.specs: dict[JobId, JobSpec] = {}
        for number in range(workers):
            self.offer(f"w{number}", f"r{number % racks}", Resources(cores * 1_000, memory_mib))

    def offer(
        self, worker: str, rack: str, capacity: Resources, state: WorkerState = WorkerState.ACTIVE
    ) -> None:
        self.handle_event(WorkerOffered(WorkerId(worker), RackId(rack), capacity, state))

    def handle_event(self, event: PlacementEvent) -> None:
        apply_event(self.state, event, self.now)

    def submit(self, spec: JobSpec) -> None:
        self.specs[spec.job] = spec
        self.handle_event(TasksReady(spec, spec.list_tasks(), WallTime(self.now + WALL_OFFSET_MS)))

    def withdraw(self, job: str) -> None:
        self.handle_event(JobWithdrawn(JobId(job)))

    def decide(self, limit: int = 1_000) -> tuple[Decision, ...]:
        wall_now = WallTime(self.now + WALL_OFFSET_MS)
        decisions = decide_placements(self.state, self.now, limit, wall_now)
        for decision in decisions:
            if isinstance(decision, StartTask):
                assert (
                    decision.task not in self.running
                ), f"{decision.task} was started while it was running"
                self.running[decision.task] = decision
        self.check_capacity()
        return decisions

    def starts(self, limit: int = 1_000) -> list[StartTask]:
        return [each for each in self.decide(limit) if isinstance(each, StartTask)]

    def stops(self) -> list[StopTask]:
        return [each for each in self.decide() if isinstance(each, StopTask)]

    def refusals(self) -> list[RefuseJob]:
        return [each for each in self.decide() if isinstance(each, RefuseJob)]

    def finish(
        self,
        task: str,
        outcome: AttemptOutcome = AttemptOutcome.SUCCEEDED,
        ran_ms: int = 1_000,
        requeue: bool | None = None,
    ) -> None:
        start = self.running.pop(task)
        self.handle_event(AttemptFinished(start.task, start.attempt, start.worker, outcome, ran_ms))
        if requeue if requeue is not None else outcome is not AttemptOutcome.SUCCEEDED:
            spec = self.specs[get_job_of_task(start.task)]
            accepted_at = WallTime(WALL_OFFSET_MS)
            self.handle_event(
                TasksReady(spec, (start.task,), accepted_at, ((start.task, start.attempt),))
            )

    def report(self, task: str, cores: int = 1, memory_mib: int = 512) -> None:
        start = self.running[task]
        self.handle_event(
            UsageReported(start.task, start.attempt, Resources(cores * 1_000, memory_mib))
        )

    def pass_time(self, milliseconds: int) -> None:
        self.now = Instant(self.now + milliseconds)

    def explain(self, task: str) -> Explanation:
        explanation = explain_task(self.state, TaskId(task), self.now)
        assert explanation is not None, f"{task} is unknown"
        return explanation

    def check_capacity(self) -> None:
        for worker in self.state.workers.values():
            allocated = Resources()
            for start in self.running.values():
                if start.worker == worker.worker and start.room is not None:
                    allocated = allocated + start.room
            assert allocated.fits_in(
                worker.capacity
            ), f"{worker.worker} is overcommitted: {allocated}"

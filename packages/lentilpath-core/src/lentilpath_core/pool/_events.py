"""Events that a pool's leader handles, and effects that it asks its caller to carry out."""

from __future__ import annotations

from dataclasses import dataclass

from lentilpath_core.ids import Instant, JobId, WallTime, WorkerId
from lentilpath_core.pool._model import (
    FinalRecord,
    JobRecord,
    Life,
    ListedWorker,
    Permission,
    PoolConfiguration,
    RunEnd,
    RunNumber,
    RunRecord,
    StartAnswer,
    StepKey,
    TaskKey,
    WorkerReport,
)
from lentilpath_core.pool._reasons import CrashEvidence, FailureCause, LossReason, StopReason


@dataclass(frozen=True, slots=True)
class ConfigurationSet:
    """A version of the configuration has taken effect."""

    configuration: PoolConfiguration


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The complete list of registered workers; a worker that is not in it has left."""

    workers: tuple[ListedWorker, ...]
    sent_at: Instant | None = None
    """When the list was requested; `None` for just now."""
    missing: frozenset[WorkerId] = frozenset()
    """Workers in it that the registry does not show at present, but may show again."""
    is_confirmed: bool = True
    """Whether the leader's lease is confirmed, so that nobody else has taken over."""


@dataclass(frozen=True, slots=True)
class WorkersRecorded:
    """The record that the pool uses these incarnations of workers is durable."""

    lives: tuple[tuple[WorkerId, Life], ...]
    suspended: tuple[tuple[WorkerId, Life], ...] = ()
    """Those that it says get no commands; not in `lives`."""
    number: int = 0
    """Number of the record; those with lower numbers are durable too or replaced."""


@dataclass(frozen=True, slots=True)
class FormerLeaderEnded:
    """The leader before this one sends no commands any more."""

    ended_at: Instant
    """When it had ended at the latest."""


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """The leader has read a stored job."""

    record: JobRecord
    recovered: bool = False
    """Whether an earlier leader may have started tasks of the job."""


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller's cancellation of a job is stored."""

    job: JobId


@dataclass(frozen=True, slots=True)
class RunsRecovered:
    """Ends of runs that an earlier leader has stored."""

    ends: tuple[tuple[TaskKey, RunRecord], ...]


@dataclass(frozen=True, slots=True)
class JobEnded:
    """A job's final state was stored by an earlier leader."""

    job: JobId
    final: FinalRecord
    record: JobRecord | None = None
    """The job, if its runs may not have been stopped yet."""
    accepted_at: WallTime | None = None
    """When the job was accepted, if it has a customer and its stored record is known."""


@dataclass(frozen=True, slots=True)
class WorkerReported:
    """A worker has answered the lease renewal that was sent at `sent_at`."""

    worker: WorkerId
    life: Life
    report: WorkerReport
    sent_at: Instant


@dataclass(frozen=True, slots=True)
class OtherLifeAnswered:
    """Another life of a worker has answered a request that was sent once this one was listed."""

    worker: WorkerId
    life: Life
    answered: Life
    """The one that has answered."""


@dataclass(frozen=True, slots=True)
class LeaseSent:
    """A command was sent that extends the lease of this worker's runs to `ends_at` at most."""

    worker: WorkerId
    life: Life
    ends_at: Instant


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """A worker has answered a start command, or is known not to have received it."""

    worker: WorkerId
    life: Life
    task: TaskKey
    run: RunNumber
    answer: StartAnswer


@dataclass(frozen=True, slots=True)
class StartUnanswered:
    """A start command got no answer, so it may be carried out at any later time."""

    worker: WorkerId
    life: Life
    task: TaskKey
    run: RunNumber


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """A worker has accepted a stop command: the run ends soon, or never begins if not yet begun."""

    worker: WorkerId
    life: Life
    task: TaskKey
    run: RunNumber


@dataclass(frozen=True, slots=True)
class AdviceAnswered:
    """A call to the advice service has ended; `allowed` is `None` if the service did not answer."""

    step: StepKey
    asked: tuple[WorkerId, ...]
    allowed: tuple[Permission, ...] | None
    valid_until: Instant


@dataclass(frozen=True, slots=True)
class RunsRecorded:
    """The records of these ends of runs are durable."""

    ends: tuple[tuple[TaskKey, RunRecord], ...]


@dataclass(frozen=True, slots=True)
class FinalsRecorded:
    """The records of these final states are durable, so callers may see them."""

    jobs: tuple[tuple[JobId, FinalRecord], ...]


@dataclass(frozen=True, slots=True)
class TimePassed:
    """A periodic tick: handle everything that is due by now."""

    wall_now: WallTime
    is_confirmed: bool = True
    """Whether this process certainly still leads."""


PoolEvent = (
    ConfigurationSet
    | WorkersListed
    | WorkersRecorded
    | FormerLeaderEnded
    | JobAccepted
    | JobCancelled
    | RunsRecovered
    | JobEnded
    | WorkerReported
    | OtherLifeAnswered
    | LeaseSent
    | StartAnswered
    | StartUnanswered
    | StopAnswered
    | AdviceAnswered
    | RunsRecorded
    | FinalsRecorded
    | TimePassed
)


@dataclass(frozen=True, slots=True)
class StartRun:
    """Send a start command for a run to a worker."""

    worker: WorkerId
    life: Life
    task: TaskKey
    run: RunNumber
    text: str
    checkpoint: str
    ticket: str
    waited_ms: int
    """Time since the job was accepted."""
    tier: int
    """0 if the job could still meet its objective, 1 if it is late, 2 if it is too late to be of
    any value."""
    is_suspected: bool = False
    """Whether the task may crash its worker, so that the run is to be looked for right away."""
    ticket_until: Instant | None = None
    """When the ticket expires; the command is not sent after that. `None` without a ticket."""


@dataclass(frozen=True, slots=True)
class StopRun:
    """Send a stop command for a run; repeated until the worker lists the run's end."""

    worker: WorkerId
    life: Life
    task: TaskKey
    run: RunNumber
    reason: StopReason


@dataclass(frozen=True, slots=True)
class GiveUpRun:
    """Treat a run as over and send no further command for it."""

    worker: WorkerId
    life: Life
    task: TaskKey
    run: RunNumber
    reason: LossReason
    is_confirmed: bool
    """Whether a report of this incarnation of the worker has listed the run."""
    report_age_ms: int | None
    """Time since the request for the incarnation's last report; `None` if it never reported."""
    is_suspected: bool
    """Whether the run may have crashed the worker."""


@dataclass(frozen=True, slots=True)
class ClearRun:
    """Tell that a suspected run has not crashed its worker, which lives."""

    worker: WorkerId
    life: Life
    task: TaskKey
    run: RunNumber


@dataclass(frozen=True, slots=True)
class BlameRuns:
    """Tell that a worker's process is taken to have crashed under runs that had just begun."""

    worker: WorkerId
    life: Life
    evidence: CrashEvidence
    runs: tuple[tuple[TaskKey, RunNumber], ...]


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Throttle a filling run to `percent` of its full speed."""

    worker: WorkerId
    life: Life
    task: TaskKey
    run: RunNumber
    percent: int


@dataclass(frozen=True, slots=True)
class DeleteJob:
    """Delete the stored records of a job that is past its retention time."""

    job: JobId


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask the advice service which of these workers the step may run on."""

    step: StepKey
    workers: tuple[WorkerId, ...]
    cost_ms: float
    """Expected duration of the call."""
    rank: tuple[float, ...]
    """Rank of the step; calls with a smaller rank go first."""


@dataclass(frozen=True, slots=True)
class RecordRun:
    """Store a run's end."""

    task: TaskKey
    record: RunRecord


@dataclass(frozen=True, slots=True)
class ForgetCrash:
    """Delete the stored crash under a run, or the stored suspicion of one, which counts no more."""

    task: TaskKey
    run: RunNumber
    end: RunEnd = RunEnd.CRASHED
    """Which of the two."""


@dataclass(frozen=True, slots=True)
class RecordFinal:
    """Store a job's final state."""

    job: JobId
    final: FinalRecord
    cause: FailureCause | None = None
    """Why the job has failed; `None` for another state."""
    failed_task: TaskKey | None = None
    """The task for which it has failed."""


@dataclass(frozen=True, slots=True)
class RecordWorkers:
    """Store which incarnations of workers may run tasks of the pool, before tasks start on them."""

    workers: tuple[ListedWorker, ...]
    suspended: tuple[tuple[WorkerId, Instant], ...] = ()
    """Those of them that get no command that starts or prolongs a run until another record is
    durable, and when the runs on them have ended."""
    number: int = 0
    """Rises with each record of a leader, from 1."""
    held: tuple[tuple[WorkerId, Instant | None], ...] = ()
    """Those whose runs a command for a former life may hold, and until when; `None` while such
    commands may still take effect there."""


@dataclass(frozen=True, slots=True)
class ReleaseWorker:
    """Close the connections to a worker that no longer runs tasks of the pool."""

    worker: WorkerId
    life: Life


PoolEffect = (
    StartRun
    | PaceRun
    | DeleteJob
    | StopRun
    | GiveUpRun
    | ClearRun
    | BlameRuns
    | ForgetCrash
    | AskAdvice
    | RecordRun
    | RecordFinal
    | RecordWorkers
    | ReleaseWorker
)

"""Deployments at the sizes of the users' sheets, and load patterns to simulate on them."""

from __future__ import annotations

import random
from dataclasses import dataclass

from lentilpath_core.ids import JobId, ServiceId
from lentilpath_core.pool import AdvicePolicy, JobRecord, QueueId, QueuePolicy, StepSpec
from lentilpath_core.resources import Resources

SERVICE = ServiceId("service")
TICKET_MS = 2_500
SIZE_SIGMA = 0.5
"""Standard deviation of the logarithm of sizes and run times, as on the sheets."""
ESTIMATE_SIGMA = 0.5
LOAD_SECONDS = 34
MAX_WIDTH_FACTOR = 6
"""Largest number of tasks per step, as a factor on the mean."""
SAVES_PROGRESS_SHARE = {0: 0.0, 1: 0.5, 2: 0.8}
"""Share of the jobs of a priority that save their progress, the same on all four sheets."""
CHECKPOINT_INTERVAL_MS = 2_000
"""Run time between two checkpoints."""


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of job on a sheet."""

    name: str
    priority: int
    jobs_per_second: float
    steps: float
    tasks_per_step: float
    millicores: int
    memory_mib: int
    run_ms: float
    slack_factor: float
    target_ms: int
    attempts: int
    gang_share: float
    allowed_share: float
    value: float
    late_value: float
    width_sigma: float = SIZE_SIGMA
    """Standard deviation of the logarithm of the tasks per step; the next two are alike."""
    millicores_sigma: float = 0.0
    memory_sigma: float = 0.0
    advice_call_ms: float = 0.0
    """Duration of an advice call; 0 for the same short duration for all calls."""
    advice_worker_ms: float = 0.0
    max_room_factor: float = 3.0
    """Largest resources of a task, as a factor on the kind's mean."""
    max_estimate_factor: float = 0.0
    """Estimates are off by up to this factor; 0 for an unbounded error of `ESTIMATE_SIGMA`."""


@dataclass(frozen=True, slots=True)
class Site:
    """A deployment: its workers and the kinds of jobs that it gets."""

    name: str
    workers: int
    worker_capacity: Resources
    kinds: tuple[Kind, ...]
    workers_per_rack: int = 8
    capacity_spread: float = 0.0
    """Workers differ from the mean capacity by up to this share."""
    submissions_per_job: int = 1
    """How many times a caller submits a job that is refused, each time after `Retry-After`."""
    digest_interval_ms: int = 0
    """Age at which hosts get a new view of the load; 0 for a current view at each submission."""
    expects_contention: bool = False
    """The setting of the same name."""


HARBOR = Site(
    "harborspoon",
    24,
    Resources(32_000, 131_072, 0),
    (
        Kind(
            "menu-rebuild",
            1,
            0.906,
            1.2,
            5,
            9_000,
            26_000,
            6_200,
            2.2,
            1_200,
            2,
            1.0,
            0.35,
            12.8,
            2.56,
        ),
        Kind(
            "allergen-recon",
            2,
            3.41,
            1.5,
            10,
            2_000,
            4_000,
            2_200,
            4.0,
            3_000,
            4,
            0.0,
            0.45,
            2.13,
            0.426,
        ),
        Kind("swap-check", 0, 24.1, 1.0, 2, 2_800, 5_700, 640, 1.5, 500, 3, 0.3, 0.7, 0.42, 0.084),
    ),
)
DHUNGE = Site(
    "dhunge",
    24,
    Resources(16_000, 65_536, 0),
    (
        Kind(
            "damage-survey",
            1,
            0.918,
            1.2,
            8,
            4_500,
            17_000,
            4_000,
            2.2,
            1_200,
            4,
            1.0,
            0.35,
            10.5,
            2.1,
        ),
        Kind(
            "disburse-notice",
            2,
            2.72,
            1.5,
            10,
            980,
            2_800,
            2_700,
            4.0,
            3_000,
            4,
            0.0,
            0.45,
            2.23,
            0.446,
        ),
        Kind(
            "elig-check", 0, 19.3, 1.0, 2, 1_400, 2_900, 800, 1.5, 500, 2, 0.3, 0.7, 0.439, 0.0878
        ),
    ),
)
HARBOR_GROWN = Site(
    "harborspoon-grown",
    176,
    Resources(32_000, 131_072, 0),
    (
        Kind(
            "menu-rebuild",
            1,
            2.71,
            1.2,
            20,
            9_000,
            26_000,
            4_000,
            2.2,
            1_206,
            2,
            1.0,
            0.35,
            8.44,
            1.69,
        ),
        Kind(
            "allergen-recon",
            2,
            3.58,
            1.5,
            25,
            3_500,
            4_000,
            3_400,
            4.0,
            3_006,
            4,
            0.0,
            0.45,
            3.99,
            0.798,
        ),
        Kind(
            "swap-check", 0, 50.0, 1.0, 3, 5_000, 5_700, 800, 1.5, 504, 3, 0.3, 0.7, 0.401, 0.0802
        ),
    ),
)
DHUNGE_GROWN = Site(
    "dhunge-grown",
    176,
    Resources(16_000, 32_768, 0),
    (
        Kind(
            "damage-survey",
            1,
            2.14,
            1.2,
            16,
            4_500,
            8_000,
            6_200,
            2.2,
            1_204,
            4,
            1.0,
            0.35,
            8.61,
            1.72,
        ),
        Kind(
            "disburse-notice",
            2,
            3.58,
            1.5,
            25,
            1_700,
            2_800,
            3_400,
            4.0,
            3_006,
            4,
            0.0,
            0.45,
            3.21,
            0.642,
        ),
        Kind(
            "elig-check", 0, 40.1, 1.0, 3, 2_500, 2_900, 1_000, 1.5, 504, 2, 0.3, 0.7, 0.402, 0.0804
        ),
    ),
)
HARBOR_LARGE = Site(
    "harborspoon-large",
    270,
    Resources(32_000, 131_072, 0),
    (
        Kind(
            "menu-rebuild",
            1,
            4.16,
            1.2,
            20,
            9_000,
            26_000,
            4_000,
            2.2,
            1_203,
            3,
            1.0,
            0.35,
            5.57,
            1.11,
            0.8,
            0.4,
            0.5,
            390.0,
            5.6,
            1.67,
        ),
        Kind(
            "allergen-recon",
            2,
            5.55,
            1.5,
            15,
            5_500,
            16_000,
            3_400,
            4.0,
            3_003,
            2,
            0.0,
            0.45,
            2.6,
            0.52,
            0.6,
            0.45,
            0.6,
            140.0,
            2.0,
        ),
        Kind(
            "swap-check",
            0,
            49.3,
            1.0,
            3,
            7_900,
            23_000,
            800,
            1.5,
            502,
            3,
            0.3,
            0.7,
            0.411,
            0.0822,
            0.8,
            0.45,
            0.6,
            16.0,
            0.23,
        ),
    ),
)
SITES = (HARBOR, DHUNGE, HARBOR_GROWN, DHUNGE_GROWN, HARBOR_LARGE)


ALL_KINDS = -1


@dataclass(frozen=True, slots=True)
class Pattern:
    """Faults and bursts of a load, with their intervals in seconds."""

    name: str
    burst_kind: int | None = None
    """Position of the kind that bursts, or `ALL_KINDS`."""
    burst_factor: float = 1.0
    burst_at: tuple[float, float] = (8.0, 12.0)
    slow_share: float = 0.0
    advice_factor: float = 1.0
    cancel_share: float = 0.0
    always_failing_share: float = 0.0
    width_factor: float = 1.0
    """Factor on the tasks per step of the burst's jobs."""
    leaving_share: float = 0.0
    leader_outage: tuple[float, float] = (0.0, 0.0)
    table_outage: tuple[float, float] = (0.0, 0.0)
    load_seconds: int = LOAD_SECONDS
    """How long jobs are submitted."""


PATTERNS = (
    Pattern("burst of urgent jobs", burst_kind=2, burst_factor=2.2),
    Pattern("burst of gangs", burst_kind=0, burst_factor=1.9),
    Pattern("burst of patient jobs", burst_kind=1, burst_factor=1.9),
    Pattern("burst, a tenth of the workers slow", 2, 2.2, slow_share=0.1),
    Pattern("burst, advice three times slower", 2, 2.2, advice_factor=3.0),
    Pattern("burst, a third cancelled", 2, 2.2, cancel_share=0.33),
    Pattern("burst, a tenth can never be done", 2, 2.2, always_failing_share=0.1),
    Pattern("large jobs at once", 2, 1.5, width_factor=3.0),
    Pattern("burst, 30% of the fleet leaves", 2, 2.2, leaving_share=0.3),
    Pattern("burst, leader lost", 2, 2.2, leader_outage=(9.0, 11.6)),
    Pattern("burst, table away", 2, 2.2, table_outage=(9.0, 13.0)),
)


@dataclass(frozen=True, slots=True)
class SimulatedJob:
    """A job with the true values that its caller and the deciders don't know."""

    record: JobRecord
    kind: Kind
    submitted_ms: int
    run_ms: tuple[tuple[float, ...], ...]
    """True run time of each task, by step."""
    always_fails: bool
    cancelled_ms: int | None
    value_weight: float
    """Factor on the kind's value, in proportion to the job's work."""


def make_policy(kind: Kind) -> QueuePolicy:
    """Return the policy of the queue for a kind of job."""
    advice = AdvicePolicy(20.0, 0.5, TICKET_MS)
    if kind.advice_call_ms:
        advice = AdvicePolicy(kind.advice_call_ms, kind.advice_worker_ms, TICKET_MS)
    return QueuePolicy(
        QueueId(kind.name),
        "h",
        "/",
        SERVICE,
        kind.priority,
        kind.attempts,
        kind.slack_factor,
        kind.target_ms,
        3_000,
        advice,
    )


def make_jobs(site: Site, pattern: Pattern, seed: int) -> list[SimulatedJob]:
    """Return the jobs of a pattern in order of submission; equal seeds give equal jobs."""
    rng = random.Random(seed)
    jobs: list[SimulatedJob] = []
    for kind_number, kind in enumerate(site.kinds):
        at_ms = 0.0
        while at_ms < pattern.load_seconds * 1_000:
            in_burst = (
                pattern.burst_kind in (kind_number, ALL_KINDS)
                and pattern.burst_at[0] * 1_000 <= at_ms < pattern.burst_at[1] * 1_000
            )
            rate = kind.jobs_per_second * (pattern.burst_factor if in_burst else 1.0)
            at_ms += rng.expovariate(rate) * 1_000
            factor = pattern.width_factor if in_burst else 1.0
            jobs.append(_make_job(rng, pattern, kind, len(jobs), int(at_ms), factor, in_burst))
    jobs.sort(key=lambda job: job.submitted_ms)
    return jobs


def _make_job(
    rng: random.Random,
    pattern: Pattern,
    kind: Kind,
    number: int,
    at_ms: int,
    width_factor: float,
    in_burst: bool,
) -> SimulatedJob:
    saves = random.Random(number).random() < SAVES_PROGRESS_SHARE[kind.priority]
    count = 1 if rng.random() > kind.steps - 1 else 2
    room = _choose_room(kind, number)
    steps: list[StepSpec] = []
    run_ms_by_step: list[tuple[float, ...]] = []
    work = 0.0
    for step in range(count):
        width = max(
            1,
            round(
                kind.tasks_per_step
                * width_factor
                * min(
                    MAX_WIDTH_FACTOR,
                    rng.lognormvariate(-(kind.width_sigma**2) / 2, kind.width_sigma),
                )
            ),
        )
        run_ms = kind.run_ms * rng.lognormvariate(-(SIZE_SIGMA**2) / 2, SIZE_SIGMA)
        estimate = run_ms * _choose_estimate_factor(rng, kind)
        gang = rng.random() < kind.gang_share
        task_run_ms = tuple(
            run_ms if gang else run_ms * rng.uniform(0.8, 1.2) for _ in range(width)
        )
        steps.append(
            StepSpec(
                width,
                room,
                int(estimate),
                after=(step - 1,) if step else (),
                saves_progress=saves,
                gang=gang,
            )
        )
        run_ms_by_step.append(task_run_ms)
        work += sum(task_run_ms) * room.millicores
    mean_work = kind.steps * kind.tasks_per_step * kind.run_ms * kind.millicores
    weight = min(4.0, 0.3 + 0.7 * work / mean_work)
    always_fails = in_burst and rng.random() < pattern.always_failing_share
    cancelled = in_burst and rng.random() < pattern.cancel_share
    record = JobRecord(JobId(f"{number:016x}"), QueueId(kind.name), "", tuple(steps))
    cancelled_ms = at_ms + 300 if cancelled else None
    return SimulatedJob(
        record, kind, at_ms, tuple(run_ms_by_step), always_fails, cancelled_ms, weight
    )


def _choose_estimate_factor(rng: random.Random, kind: Kind) -> float:
    if kind.max_estimate_factor:
        return kind.max_estimate_factor ** rng.uniform(-1.0, 1.0)
    return rng.lognormvariate(0.0, ESTIMATE_SIGMA)


def _choose_room(kind: Kind, number: int) -> Resources:
    """Return the resources of a task of job `number`, around the kind's mean."""
    rng = random.Random(f"{kind.name}/{number}")
    scales = [
        rng.lognormvariate(-(sigma**2) / 2, sigma)
        for sigma in (kind.millicores_sigma, kind.memory_sigma)
    ]
    return Resources(
        int(kind.millicores * min(scales[0], kind.max_room_factor)),
        int(kind.memory_mib * min(scales[1], kind.max_room_factor)),
        0,
    )

"""`python -m benches.pool`: simulates all patterns and writes docs/MEASURES-platform.md."""

from __future__ import annotations

import heapq
import random
import sys
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from benches.pool.deciders import Decider, FirstFit, PoolDecider
from benches.pool.loads import (
    CHECKPOINT_INTERVAL_MS,
    PATTERNS,
    SITES,
    Kind,
    Pattern,
    SimulatedJob,
    Site,
    make_jobs,
    make_policy,
)
from lentilpath_core.ids import WorkerId
from lentilpath_core.pool import RunEnd, StepKey, TaskKey
from lentilpath_core.pool import get_completion_objective_ms as get_objective

TICK_MS = 10
REPORT_INTERVAL_MS = 800
ADVICE_DELAY_MS = 60
ADVICE_NETWORK_MS = 40
"""From the leader to the host that calls and back, between regions."""
COMMAND_DELAY_MS = 20
STOP_DELAY_MS = 400
BOUND_ADVICE_WORKERS = 30
"""Workers that the one advice call of a step names for the bound, as the users count it."""
DRAIN_SECONDS = 30
SLOW_FACTOR = 6
SEED = 7
PAGE = Path(__file__).resolve().parents[2] / "docs" / "MEASURES-platform.md"
TABLE_BEGIN_MARKER = "<!-- make measure-pool -->"
TABLE_END_MARKER = "<!-- end -->"


@dataclass(slots=True)
class SimulatedRun:
    """A run on a simulated worker. Times are virtual, in ms."""

    task: TaskKey
    run: int
    started_at: int
    ends_at: int | None
    end: RunEnd
    millicores: int
    total_ms: int
    saved_ms: int
    """Work in ms that the checkpoint held from which the run resumed."""
    saves_progress: bool
    slowdown: int

    def compute_work_ms(self, now: int) -> int:
        """Return the work done by `now`, in ms of run time on a worker of normal speed."""
        return self.saved_ms + max(0, now - self.started_at) // self.slowdown

    def compute_saved_ms(self, now: int) -> int:
        """Return the work in the latest checkpoint, for a run that ends at `now` without a stop."""
        if not self.saves_progress:
            return 0
        return max(
            self.saved_ms,
            self.compute_work_ms(now) // CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS,
        )


@dataclass(slots=True)
class Outcome:
    """The result of one simulation."""

    in_time: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    late: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    expected: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    earned_value: float = 0.0
    total_value: float = 0.0
    refused: int = 0
    refused_after_ms: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    """Times from the first submission to the last refusal, of jobs that were never accepted."""
    wasted_core_seconds: float = 0.0


def compute_advice_ms(kind: Kind, workers: int) -> float:
    """Return how long the advice service takes to answer about this many workers."""
    if not kind.advice_call_ms:
        return ADVICE_DELAY_MS
    return ADVICE_NETWORK_MS + kind.advice_call_ms + kind.advice_worker_ms * workers


class Simulation:
    """One pattern on one site with one decider."""

    def __init__(
        self,
        site: Site,
        pattern: Pattern,
        decider: Decider,
        seed: int = SEED,
        jobs: list[SimulatedJob] | None = None,
    ) -> None:
        self._site, self._pattern, self._decider = site, pattern, decider
        self._rng = random.Random(seed)
        self.jobs = make_jobs(site, pattern, seed) if jobs is None else jobs
        self._jobs_by_id = {job.record.job: job for job in self.jobs}
        names = [WorkerId(f"w{number}") for number in range(site.workers)]
        self._slow_workers = set(names[: int(pattern.slow_share * len(names))])
        self._leaving_workers = set(names[len(names) - int(pattern.leaving_share * len(names)) :])
        self._running: dict[WorkerId, dict[tuple[TaskKey, int], SimulatedRun]] = {
            name: {} for name in names
        }
        self._last_end_numbers: dict[WorkerId, int] = dict.fromkeys(names, 0)
        self._pending_advice: list[tuple[int, StepKey, tuple[WorkerId, ...]]] = []
        self._allowed_workers: dict[tuple[StepKey, WorkerId], bool] = {}
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Run the simulation to its end and return the result."""
        waiting = [(job.submitted_ms, number, 1) for number, job in enumerate(self.jobs)]
        cancels = sorted(
            (job.cancelled_ms, job.record.job) for job in self.jobs if job.cancelled_ms is not None
        )
        for now in range(0, (self._pattern.load_seconds + DRAIN_SECONDS) * 1_000, TICK_MS):
            without_leader = self._is_within(self._pattern.leader_outage, now)
            table_unavailable = self._is_within(self._pattern.table_outage, now)
            if self._leaving_workers and now == 10_000:
                self._decider.mark_leaving(self._leaving_workers, now)
            if self._leaving_workers and now == 12_500:
                self._end_workers(now)
            while waiting and waiting[0][0] <= now and not (without_leader or table_unavailable):
                _, number, attempt = heapq.heappop(waiting)
                retry_ms = self._submit(self.jobs[number], attempt, now)
                if retry_ms is not None:
                    heapq.heappush(waiting, (now + retry_ms, number, attempt + 1))
            while cancels and cancels[0][0] <= now:
                self._decider.cancel(cancels.pop(0)[1], now)
            if without_leader:
                continue
            self._answer_advice(now)
            self._report(now)
            actions = self._decider.decide(now, table_unavailable)
            self._execute(actions, now)
        return self.outcome

    def _is_within(self, span: tuple[float, float], now: int) -> bool:
        return span[0] * 1_000 <= now < span[1] * 1_000

    def _submit(self, job: SimulatedJob, attempt: int, now: int) -> int | None:
        """Submit a job; return the delay in ms after which its caller submits it again, if any."""
        if attempt == 1 and not job.always_fails and job.cancelled_ms is None:
            self.outcome.expected[job.kind.name] += 1
            self.outcome.total_value += job.kind.value * job.value_weight
        retry_ms = self._decider.submit(job, now)
        if retry_ms is not None and attempt >= self._site.submissions_per_job:
            self.outcome.refused += 1
            self.outcome.refused_after_ms[job.kind.name].append(now - job.submitted_ms)
            return None
        return retry_ms

    def _answer_advice(self, now: int) -> None:
        due = [each for each in self._pending_advice if each[0] <= now]
        self._pending_advice = [each for each in self._pending_advice if each[0] > now]
        for _, step, workers in due:
            share = self._jobs_by_id[step.job].kind.allowed_share
            allowed = []
            for worker in workers:
                key = (step, worker)
                if key not in self._allowed_workers:
                    self._allowed_workers[key] = self._rng.random() < share
                if self._allowed_workers[key]:
                    allowed.append(worker)
            self._decider.handle_advice(step, workers, tuple(allowed), now)

    def _report(self, now: int) -> None:
        for worker, runs in self._running.items():
            if worker in self._leaving_workers and now >= 12_500:
                continue
            ended = [run for run in runs.values() if run.ends_at is not None and run.ends_at <= now]
            if not ended and now % REPORT_INTERVAL_MS:
                continue
            rows = []
            for run in ended:
                del runs[(run.task, run.run)]
                self._last_end_numbers[worker] += 1
                saved_ms = run.compute_work_ms(now) if run.saves_progress else 0
                rows.append(
                    (self._last_end_numbers[worker], run.task, run.run, run.end, str(saved_ms))
                )
                if run.end is not RunEnd.DONE:
                    self._count_lost_work(run, now, saved_ms)
            listed = [(run.task, run.run, self._get_percent(run, now)) for run in runs.values()]
            self._decider.handle_report(worker, listed, rows, now)

    def _get_percent(self, run: SimulatedRun, now: int) -> int:
        return min(100, int(100 * run.compute_work_ms(now) / max(1, run.total_ms)))

    def _count_lost_work(self, run: SimulatedRun, now: int, saved_ms: int) -> None:
        """Add the work of a run beyond its latest checkpoint (`saved_ms`) to the lost work."""
        lost_ms = run.compute_work_ms(min(now, run.ends_at or now)) - max(saved_ms, run.saved_ms)
        self.outcome.wasted_core_seconds += max(0, lost_ms) / 1_000 * run.millicores / 1_000

    def _execute(self, actions, now: int) -> None:  # type: ignore[no-untyped-def]
        for step, workers in actions.advice:
            kind = self._jobs_by_id[step.job].kind
            due = now + int(compute_advice_ms(kind, len(workers)) * self._pattern.advice_factor)
            self._pending_advice.append((due, step, workers))
        for task, number, worker, checkpoint in actions.starts:
            self._start(task, number, worker, int(checkpoint or 0), now)
        for task, number, worker in actions.stops:
            run = self._running[worker].get((task, number))
            if run is not None and (run.ends_at is None or run.ends_at > now + STOP_DELAY_MS):
                run.ends_at, run.end = now + STOP_DELAY_MS, RunEnd.STOPPED
        for job in actions.done_jobs:
            self.complete_job(self._jobs_by_id[job], now)

    def _start(self, task: TaskKey, number: int, worker: WorkerId, saved_ms: int, now: int) -> None:
        job = self._jobs_by_id[task.job]
        spec = job.record.steps[task.step]
        total_ms = int(job.run_ms[task.step][task.number])
        slowdown = SLOW_FACTOR if worker in self._slow_workers else 1
        end = RunEnd.FAILED if job.always_fails else RunEnd.DONE
        started_at = now + COMMAND_DELAY_MS
        run = SimulatedRun(
            task,
            number,
            started_at,
            started_at + max(0, total_ms - saved_ms) * slowdown,
            end,
            spec.room.millicores,
            total_ms,
            saved_ms,
            spec.saves_progress,
            slowdown,
        )
        self._running[worker][(task, number)] = run

    def _end_workers(self, now: int) -> None:
        for worker in sorted(self._leaving_workers):
            runs = self._running[worker]
            rows = []
            for run in list(runs.values()):
                self._last_end_numbers[worker] += 1
                saved_ms = run.compute_saved_ms(now)
                rows.append(
                    (
                        self._last_end_numbers[worker],
                        run.task,
                        run.run,
                        RunEnd.STOPPED,
                        str(saved_ms),
                    )
                )
                self._count_lost_work(run, now, saved_ms)
            runs.clear()
            self._decider.handle_report(worker, [], rows, now)

    def complete_job(self, job: SimulatedJob, now: int) -> None:
        """Count a job that completes now as in time or late, with its value."""
        if job.always_fails or job.cancelled_ms is not None:
            return
        critical_path_ms = sum(max(step) for step in job.run_ms)
        objective_ms = get_objective(make_policy(job.kind), critical_path_ms)
        elapsed_ms = now - job.submitted_ms
        if elapsed_ms <= objective_ms:
            self.outcome.in_time[job.kind.name] += 1
            self.outcome.earned_value += job.kind.value * job.value_weight
        elif elapsed_ms <= 3 * objective_ms:
            self.outcome.late[job.kind.name] += 1
            self.outcome.earned_value += job.kind.late_value * job.value_weight


def compute_bound(site: Site, pattern: Pattern, seed: int = SEED) -> Outcome:
    """Return the outcome if each job ran alone on a fleet of workers of normal speed.

    This is an upper bound for every decider: from the first moment at which it can be submitted, a
    job takes at least its critical path plus the advice and the command delay of each step.
    """
    simulation = Simulation(site, pattern, FirstFit(site), seed)
    outages = (pattern.leader_outage, pattern.table_outage)
    for job in simulation.jobs:
        started_at = job.submitted_ms
        for first, last in outages:
            if first * 1_000 <= started_at < last * 1_000:
                started_at = int(last * 1_000)
        if not job.always_fails and job.cancelled_ms is None:
            simulation.outcome.expected[job.kind.name] += 1
            simulation.outcome.total_value += job.kind.value * job.value_weight
        advice_ms = compute_advice_ms(job.kind, BOUND_ADVICE_WORKERS) * pattern.advice_factor
        step_ms = advice_ms + COMMAND_DELAY_MS
        critical_path_ms = sum(max(step) + step_ms for step in job.run_ms)
        simulation.complete_job(job, int(started_at + critical_path_ms))
    return simulation.outcome


DECIDERS: tuple[tuple[str, Callable[[Site], Decider]], ...] = (
    ("first fit", FirstFit),
    ("ours", PoolDecider),
)


def simulate_all(sites: tuple[Site, ...]) -> list[str]:
    """Simulate all patterns on `sites` and return the Markdown lines of the tables."""
    rows = []
    for site in sites:
        kinds = [kind.name for kind in site.kinds]
        rows.append(f"\n### {site.name}\n")
        heads = " | ".join(f"{kind}, in time" for kind in kinds)
        rows.append(f"| pattern | decider | worth | {heads} | core-s thrown away | refused |")
        rows.append("| --- | --- | --- |" + " --- |" * (len(kinds) + 2))
        for pattern in PATTERNS:
            outcomes = [
                (name, Simulation(site, pattern, create(site)).run()) for name, create in DECIDERS
            ]
            for name, outcome in (*outcomes, ("bound", compute_bound(site, pattern))):
                shares = " | ".join(
                    f"{outcome.in_time[kind] / max(1, outcome.expected[kind]):.3f}"
                    for kind in kinds
                )
                rows.append(
                    f"| {pattern.name} | {name} | {outcome.earned_value / outcome.total_value:.3f} "
                    f"| {shares} "
                    f"| {outcome.wasted_core_seconds:.0f} | {outcome.refused} |"
                )
                print(site.name, rows[-1], flush=True)
    return rows


def main() -> None:
    """Simulate the sites named on the command line, or all and write their tables to the page."""
    names = sys.argv[1:]
    sites = tuple(site for site in SITES if not names or site.name in names)
    table = "\n".join(simulate_all(sites)).strip()
    if names:
        return
    text = PAGE.read_text()
    head, _, rest = text.partition(TABLE_BEGIN_MARKER)
    _, _, tail = rest.partition(TABLE_END_MARKER)
    PAGE.write_text(f"{head}{TABLE_BEGIN_MARKER}\n{table}\n{TABLE_END_MARKER}{tail}")


if __name__ == "__main__":
    main()

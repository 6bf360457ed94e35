"""`python -m benches.pool`: plays all patterns and writes docs/MEASURES-platform.md."""

from __future__ import annotations

import random
import sys
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from benches.pool.deciders import Decider, FirstFit, OurDecider
from benches.pool.loads import (
    PATTERNS,
    SECONDS,
    SITES,
    Pattern,
    Site,
    TrueJob,
    make_jobs,
    make_policy,
)
from lentilpath_core.ids import WorkerId
from lentilpath_core.pool import RunEnd, StepKey, TaskKey
from lentilpath_core.pool import get_wait_objective as get_objective

STEP_MS = 10
REPORT_EVERY_MS = 800
ADVICE_MS = 60
COMMAND_MS = 20
STOP_MS = 400
TAIL_SECONDS = 30
SLOW_FACTOR = 6
SEED = 7
PAGE = Path(__file__).resolve().parents[2] / "docs" / "MEASURES-platform.md"
BEGIN = "<!-- make measure-pool -->"
END = "<!-- end -->"


@dataclass(slots=True)
class Running:
    """A run on a simulated worker."""

    task: TaskKey
    run: int
    begun: int
    ends: int | None
    end: RunEnd
    millicores: int


@dataclass(slots=True)
class Outcome:
    """What came of one play."""

    in_time: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    late: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    owed: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    earned: float = 0.0
    worth: float = 0.0
    refused: int = 0
    wasted_core_seconds: float = 0.0


class Play:
    """One pattern on one site under one decider."""

    def __init__(self, site: Site, pattern: Pattern, decider: Decider) -> None:
        self._site, self._pattern, self._decider = site, pattern, decider
        self._draw = random.Random(SEED)
        self._jobs = make_jobs(site, pattern, SEED)
        self._by_id = {job.record.job: job for job in self._jobs}
        names = [WorkerId(f"w{number}") for number in range(site.workers)]
        self._slow = set(names[: int(pattern.slow_share * len(names))])
        self._leaving = set(names[len(names) - int(pattern.leaving_share * len(names)) :])
        self._running: dict[WorkerId, dict[tuple[TaskKey, int], Running]] = {
            name: {} for name in names
        }
        self._numbers: dict[WorkerId, int] = dict.fromkeys(names, 0)
        self._advice: list[tuple[int, StepKey, tuple[WorkerId, ...]]] = []
        self._allowed: dict[tuple[StepKey, WorkerId], bool] = {}
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Play to the end."""
        waiting = list(reversed(self._jobs))
        cancels = sorted(
            (job.cancelled_ms, job.record.job) for job in self._jobs if job.cancelled_ms is not None
        )
        for now in range(0, (SECONDS + TAIL_SECONDS) * 1_000, STEP_MS):
            leaderless = self._is_in(self._pattern.leader_away, now)
            table_away = self._is_in(self._pattern.table_away, now)
            if self._leaving and now == 10_000:
                self._decider.leave(self._leaving, now)
            if self._leaving and now == 12_500:
                self._end_workers(now)
            while waiting and waiting[-1].submitted_ms <= now and not (leaderless or table_away):
                self._submit(waiting.pop(), now)
            while cancels and cancels[0][0] <= now:
                self._decider.cancel(cancels.pop(0)[1], now)
            if leaderless:
                continue
            self._answer_advice(now)
            self._report(now)
            asked = self._decider.decide(now, table_away)
            self._carry_out(asked, now)
        return self.outcome

    def _is_in(self, span: tuple[float, float], now: int) -> bool:
        return span[0] * 1_000 <= now < span[1] * 1_000

    def _submit(self, job: TrueJob, now: int) -> None:
        if not job.is_poison and job.cancelled_ms is None:
            self.outcome.owed[job.kind.name] += 1
            self.outcome.worth += job.kind.worth * job.weight
        if not self._decider.submit(job, now):
            self.outcome.refused += 1

    def _answer_advice(self, now: int) -> None:
        due = [each for each in self._advice if each[0] <= now]
        self._advice = [each for each in self._advice if each[0] > now]
        for _, step, workers in due:
            share = self._by_id[step.job].kind.allowed_share
            allowed = []
            for worker in workers:
                key = (step, worker)
                if key not in self._allowed:
                    self._allowed[key] = self._draw.random() < share
                if self._allowed[key]:
                    allowed.append(worker)
            self._decider.take_advice(step, workers, tuple(allowed), now)

    def _report(self, now: int) -> None:
        for worker, runs in self._running.items():
            if worker in self._leaving and now >= 12_500:
                continue
            ended = [run for run in runs.values() if run.ends is not None and run.ends <= now]
            if not ended and now % REPORT_EVERY_MS:
                continue
            rows = []
            for run in ended:
                del runs[(run.task, run.run)]
                self._numbers[worker] += 1
                rows.append((self._numbers[worker], run.task, run.run, run.end))
                if run.end is not RunEnd.DONE:
                    self._waste(run, now)
            listed = [(run.task, run.run, self._get_percent(run, now)) for run in runs.values()]
            self._decider.report(worker, listed, rows, now)

    def _get_percent(self, run: Running, now: int) -> int:
        if run.ends is None:
            return 0
        return max(0, int(100 * (now - run.begun) / max(1, run.ends - run.begun)))

    def _waste(self, run: Running, now: int) -> None:
        seconds = max(0, min(now, run.ends or now) - run.begun) / 1_000
        self.outcome.wasted_core_seconds += seconds * run.millicores / 1_000

    def _carry_out(self, asked, now: int) -> None:  # type: ignore[no-untyped-def]
        for step, workers in asked.advice:
            due = now + int(ADVICE_MS * self._pattern.advice_factor)
            self._advice.append((due, step, workers))
        for task, number, worker in asked.starts:
            self._start(task, number, worker, now)
        for task, number, worker in asked.stops:
            run = self._running[worker].get((task, number))
            if run is not None and (run.ends is None or run.ends > now + STOP_MS):
                run.ends, run.end = now + STOP_MS, RunEnd.STOPPED
        for job in asked.done_jobs:
            self._finish(self._by_id[job], now)

    def _start(self, task: TaskKey, number: int, worker: WorkerId, now: int) -> None:
        job = self._by_id[task.job]
        run_ms = job.run_ms[task.step][task.number]
        if worker in self._slow:
            run_ms *= SLOW_FACTOR
        end = RunEnd.FAILED if job.is_poison else RunEnd.DONE
        begun = now + COMMAND_MS
        run = Running(
            task,
            number,
            begun,
            begun + int(run_ms),
            end,
            job.record.steps[task.step].room.millicores,
        )
        self._running[worker][(task, number)] = run

    def _end_workers(self, now: int) -> None:
        for worker in self._leaving:
            runs = self._running[worker]
            rows = []
            for run in list(runs.values()):
                self._numbers[worker] += 1
                rows.append((self._numbers[worker], run.task, run.run, RunEnd.STOPPED))
                self._waste(run, now)
            runs.clear()
            self._decider.report(worker, [], rows, now)

    def _finish(self, job: TrueJob, now: int) -> None:
        if job.is_poison or job.cancelled_ms is not None:
            return
        chain_ms = sum(max(step) for step in job.run_ms)
        objective_ms = get_objective(make_policy(job.kind), chain_ms)
        took_ms = now - job.submitted_ms
        if took_ms <= objective_ms:
            self.outcome.in_time[job.kind.name] += 1
            self.outcome.earned += job.kind.worth * job.weight
        elif took_ms <= 3 * objective_ms:
            self.outcome.late[job.kind.name] += 1
            self.outcome.earned += job.kind.late_worth * job.weight


DECIDERS: tuple[tuple[str, Callable[[Site], Decider]], ...] = (
    ("first fit", FirstFit),
    ("ours", OurDecider),
)


def play_all(sites: tuple[Site, ...]) -> list[str]:
    """Play everything and return the rows of the table."""
    rows = []
    for site in sites:
        kinds = [kind.name for kind in site.kinds]
        rows.append(f"\n### {site.name}\n")
        heads = " | ".join(f"{kind}, in time" for kind in kinds)
        rows.append(f"| pattern | decider | worth | {heads} | core-s thrown away | refused |")
        rows.append("| --- | --- | --- |" + " --- |" * (len(kinds) + 2))
        for pattern in PATTERNS:
            for name, create in DECIDERS:
                outcome = Play(site, pattern, create(site)).run()
                shares = " | ".join(
                    f"{outcome.in_time[kind] / max(1, outcome.owed[kind]):.3f}" for kind in kinds
                )
                rows.append(
                    f"| {pattern.name} | {name} | {outcome.earned / outcome.worth:.3f} | {shares} "
                    f"| {outcome.wasted_core_seconds:.0f} | {outcome.refused} |"
                )
                print(site.name, rows[-1], flush=True)
    return rows


def main() -> None:
    """Play the sites that are named, or all, and put the tables into the page."""
    wanted = sys.argv[1:]
    sites = tuple(site for site in SITES if not wanted or site.name in wanted)
    table = "\n".join(play_all(sites)).strip()
    if wanted:
        return
    text = PAGE.read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    PAGE.write_text(f"{head}{BEGIN}\n{table}\n{END}{tail}")


if __name__ == "__main__":
    main()

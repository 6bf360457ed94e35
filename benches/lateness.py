"""Shows where the time of late jobs went, from the hosts' logs and the bench's report of a day.

Usage: `python -m benches.lateness LOG REPORT`, with what `fleetbench run SITE DAY --log all`
printed, and its `--report`. Prints the worth that each window of the day lost, and the phases of
jobs by the window in which they were stored.
"""

from __future__ import annotations

import re
import statistics
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

import msgspec

WINDOW_SECONDS = 2.0
"""Width of the bench's windows."""

_LINE = re.compile(r'^ *(-?[0-9]+\.[0-9]+) (\S+) (\{"at".*\})$')


class Phase(Enum):
    """What a job waits for, in the order of its life."""

    UNSEEN = "until the leader sees it"
    FIRST_START = "until its first start"
    STARTS = "later starts of a step after its first"
    WORK = "runs at work"
    REPEATED = "failed runs"
    STORING = "ends until they are stored"
    NEXT_STEP = "stored ends until the next step starts"
    FINAL = "last stored end until the final state is stored"


@dataclass
class StepTimes:
    """Seconds at which a step's runs started and ended."""

    starts: list[float] = field(default_factory=list)
    reported: list[float] = field(default_factory=list)
    stored: list[float] = field(default_factory=list)
    failed_seconds: float = 0.0


@dataclass
class JobTimes:
    """Seconds at which a job passed each point, by the time of the hosts' logs."""

    queue: str = ""
    stored: float | None = None
    seen: float | None = None
    final: float | None = None
    state: str = ""
    steps: dict[int, StepTimes] = field(default_factory=lambda: defaultdict(StepTimes))

    def measure_phases(self) -> dict[Phase, float]:
        """Return the seconds of each phase; their sum is the job's time from storage to its end.

        Steps are taken one after another, as most jobs have them.
        """
        phases = dict.fromkeys(Phase, 0.0)
        if self.stored is None or self.final is None:
            return phases
        at = self.stored

        def advance(phase: Phase, until: float) -> None:
            nonlocal at
            if until > at:
                phases[phase] += until - at
                at = until

        advance(Phase.UNSEEN, self.seen if self.seen is not None else at)
        for number, step in enumerate(self.steps[key] for key in sorted(self.steps)):
            if not step.starts or not step.reported:
                continue
            advance(Phase.NEXT_STEP if number else Phase.FIRST_START, min(step.starts))
            repeated = min(step.failed_seconds, max(0.0, max(step.starts) - at))
            advance(Phase.REPEATED, at + repeated)
            advance(Phase.STARTS, max(step.starts))
            advance(Phase.WORK, max(step.reported))
            advance(Phase.STORING, max(step.stored))
        advance(Phase.FINAL, self.final)
        return phases


def read_lines(log: Iterable[str]) -> Iterator[tuple[float, dict[str, object]]]:
    """Yield simulated seconds and fields of each log line of a host; skip all other lines."""
    for line in log:
        found = _LINE.match(line.rstrip())
        if found is None:
            continue
        try:
            yield float(found[1]), msgspec.json.decode(found[3], type=dict)
        except msgspec.DecodeError:
            # The bench may cut a line at the end of what it read from a process.
            continue


def read_jobs(lines: Iterable[tuple[float, dict[str, object]]]) -> dict[str, JobTimes]:
    """Return the times of all jobs in the logs of all hosts."""
    jobs: dict[str, JobTimes] = defaultdict(JobTimes)
    offset: float | None = None
    started: dict[tuple[object, object], float] = {}
    for printed_at, fields in sorted(lines, key=lambda line: float(str(line[1]["at"]))):
        # Lines are printed some time after they were made, and the first of them at once.
        wall = float(str(fields["at"]))
        offset = printed_at - wall if offset is None else min(offset, printed_at - wall)
        event, task = fields["event"], str(fields.get("task", ""))
        at = wall + offset
        job = jobs[str(fields["job"])] if "job" in fields else jobs[task.partition("/")[0]]
        if event == 522 and job.stored is None:
            job.stored, job.queue = at, str(fields["queue"])
        elif event == 523 and job.seen is None:
            job.seen = at
        elif event == 524:
            job.final, job.state = at, str(fields["state"])
        elif event == 525:
            job.steps[int(task.split("/")[2])].starts.append(at)
            started[task, fields["run"]] = at
        elif event == 527:
            step = job.steps[int(task.split("/")[2])]
            reported = at - int(str(fields.get("stored_ms", 0))) / 1_000
            step.reported.append(reported)
            step.stored.append(at)
            if fields["end"] != "done":
                step.failed_seconds += reported - started.get((task, fields["run"]), reported)
    jobs.pop("", None)
    return jobs


def print_windows(report: dict[str, object]) -> None:
    """Print the worth that each window of the day served."""
    windows = report["windows"]
    assert isinstance(windows, list)
    for window in windows:
        lost = (1.0 - window["worth"]) * window["n"]
        print(
            f"{float(window['name']):6.0f} s: {window['worth']:.2f} of {window['n']:3d} jobs,"
            f" {lost:5.1f} lost, late {window['late']}, failed {window['failed']}"
        )


def print_phases(jobs: Iterable[JobTimes]) -> None:
    """Print the mean seconds of each phase, by queue and window of the time of storage."""
    by_queue: dict[str, list[JobTimes]] = defaultdict(list)
    for job in jobs:
        by_queue[job.queue].append(job)
    for queue, members in by_queue.items():
        print(f"queue {queue}")
        _print_queue(members)


def _print_queue(jobs: Iterable[JobTimes]) -> None:
    by_window: dict[float, list[dict[Phase, float]]] = defaultdict(list)
    for job in jobs:
        if job.stored is not None and job.final is not None and job.state == "completed":
            by_window[job.stored // WINDOW_SECONDS * WINDOW_SECONDS].append(job.measure_phases())
    print("window  jobs  total " + " ".join(f"{each.name.lower():>11}" for each in Phase))
    for window, phases in sorted(by_window.items()):
        means = [statistics.fmean(each[phase] for each in phases) for phase in Phase]
        cells = " ".join(f"{each:11.2f}" for each in means)
        print(f"{window:6.0f} {len(phases):5d} {sum(means):6.2f} {cells}")


def main() -> None:
    """Print the tables for the files named on the command line."""
    log_path, report_path = sys.argv[1:3]
    with open(report_path, "rb") as report:
        print_windows(msgspec.json.decode(report.read(), type=dict))
    with open(log_path, errors="replace") as log:
        print_phases(read_jobs(read_lines(log)).values())


if __name__ == "__main__":
    main()

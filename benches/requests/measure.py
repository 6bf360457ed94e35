"""Measures the request path of lentilpath and of two baselines and writes the report."""

from __future__ import annotations

import argparse
import asyncio
import statistics
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from callers import Callers, Result
from processes import FIRST_PORT, LOOPBACK, RUN_MS, RUNNERS, ZONES, BenchCell
from report import format_report

from lentilpath_http import HttpRequest, open_connection

SUBJECTS = ("lentilpath", "round-robin", "least-connections")
SLOTS = 8
CAPACITY = RUNNERS * SLOTS / RUN_MS * 1_000
FAULT_DELAY_SECONDS = 2.0
SETTLE_DELAY_SECONDS = 3.0
LEAVING_LIMIT_SECONDS = 2.0
HOP_REQUESTS = 400
RUNNERS_RESTARTED_TOGETHER = 4

Fault = Callable[[BenchCell], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Load:
    """One load: its request rate as a fraction of the capacity, and the injected fault."""

    name: str
    load_factor: float
    fault: Fault | None = None
    duration_factor: float = 1.0
    """Factor on the duration that is common to all loads."""
    keyed_fraction: float = 0.0


@dataclass(slots=True)
class Figures:
    """The figures of one subject under one load."""

    subject: str
    load: str
    offered: int
    goodput: float
    capacity: float
    """Responses per second with all slots always busy, from the actual run times."""
    waits: dict[str, float]
    urgent_p99: float
    refused: int
    unknown: int
    lost: int
    doubled: int
    mixed: int
    falsely_refused: int
    slot_excess: int
    connection_excess: int
    late_starts: int
    bytes: dict[str, int]
    cpu_ms: float
    keyed: Counter[str] = field(default_factory=Counter)


async def slow_one(cell: BenchCell) -> None:
    """Make one runner five times slower."""
    await cell.control("/faults", {"runners": ["runner-0"], "faults": {"slow_factor": 5.0}})


async def silence_one(cell: BenchCell) -> None:
    """Stop all responses on the open connections of one runner."""
    await asyncio.sleep(FAULT_DELAY_SECONDS)
    await cell.control("/faults", {"runners": ["runner-0"], "faults": {"silent": True}})


async def mark_one_leaving(cell: BenchCell) -> None:
    """List one runner as leaving."""
    await asyncio.sleep(FAULT_DELAY_SECONDS)
    await cell.set_leaving({"runner-0"})


async def cut_zone(cell: BenchCell) -> None:
    """Partition one zone from the others."""
    await asyncio.sleep(FAULT_DELAY_SECONDS)
    await cell.cut_zone(ZONES[2], True)


async def take_table_down(cell: BenchCell) -> None:
    """Make the table unavailable."""
    await cell.control("/table", {"down": True})


async def restart_all(cell: BenchCell) -> None:
    """Restart the entry hosts one by one, then the runners in groups."""
    for entry in cell.entries:
        entry.accepts_callers = False
        await asyncio.sleep(0.2)
        await cell.stop_entry(entry)
        await cell.start_entry(entry)
        await asyncio.sleep(2.0)
        entry.accepts_callers = True
    names = [f"runner-{i}" for i in range(RUNNERS)]
    for start in range(0, RUNNERS, RUNNERS_RESTARTED_TOGETHER):
        group = names[start : start + RUNNERS_RESTARTED_TOGETHER]
        await cell.set_leaving(set(group))
        await asyncio.sleep(LEAVING_LIMIT_SECONDS + RUN_MS / 1_000)
        await cell.control("/faults", {"runners": group, "faults": {"down": True}})
        await asyncio.sleep(0.3)
        await cell.control("/faults", {"runners": group, "faults": {"down": False}})
        await cell.set_leaving(set())


LOADS = (
    Load("60% of the slots", 0.6),
    Load("90% of the slots", 0.9),
    Load("3 times overload", 3.0, duration_factor=2.0),
    Load("one slow runner, 60%", 0.6, slow_one),
    Load("one leaving runner, 60%", 0.6, mark_one_leaving),
    Load("one runner's connections silent, 60%", 0.6, silence_one),
    Load("a zone cut off, 60%", 0.6, cut_zone),
    Load("table down, 60%, a tenth with keys", 0.6, take_table_down, keyed_fraction=0.1),
    Load("rolling restart of all, 60%", 0.6, restart_all, duration_factor=8.0),
)


async def measure_load(cell: BenchCell, load: Load, seconds: float, seed: int) -> Figures:
    """Run one load with its fault and return the figures."""
    await cell.control("/reset", {})
    callers = Callers(cell, seed, load.keyed_fraction)
    cpu = cell.read_entry_cpu()
    bytes_before = await cell.read_bytes()
    started = time.time()
    duration = seconds * load.duration_factor
    running = asyncio.create_task(callers.run(load.load_factor * CAPACITY, duration))
    if load.fault is not None:
        await load.fault(cell)
    fault_at = time.time()
    await running
    cpu = cell.read_entry_cpu() - cpu
    bytes_after = await cell.read_bytes()
    await asyncio.sleep(SETTLE_DELAY_SECONDS)
    log = await cell.control("/log", {})
    await clear_faults(cell)
    callers.close()
    bytes_before = {
        name: max(0, bytes_after[name] - bytes_before.get(name, 0)) for name in bytes_after
    }
    figures = summarize(cell.subject, load, duration, callers.results, log, bytes_before, cpu)
    if load.fault is mark_one_leaving:
        limit = fault_at + LEAVING_LIMIT_SECONDS
        start_times = [run["at"] for run in log["runner-0"]["requests"]]
        figures.late_starts = sum(at > limit for at in start_times)
    assert started < fault_at
    return figures


async def clear_faults(cell: BenchCell) -> None:
    """End all faults and wait until the cell has recovered."""
    await cell.control("/reset", {})
    await cell.control("/table", {"down": False})
    await cell.set_leaving(set())
    await cell.cut_zone(ZONES[2], False)
    await asyncio.sleep(SETTLE_DELAY_SECONDS)


def summarize(
    subject: str,
    load: Load,
    seconds: float,
    results: list[Result],
    log: dict[str, Any],
    carried: dict[str, int],
    cpu: float,
) -> Figures:
    """Compute the figures from the callers' results and the runners' logs of executed requests."""
    runs = Counter(
        run["target"].removeprefix("/") for runner in log.values() for run in runner["requests"]
    )
    answered = [result for result in results if result.status == 200]
    # All slots can be busy from the start, but the first responses come one run time later.
    warm_up_seconds = RUN_MS / 1_000
    answered_in_load = sum(warm_up_seconds < result.ended <= seconds for result in answered)
    waits = sorted(result.latency_ms - result.run_ms for result in answered)
    urgent = sorted(result.latency_ms - result.run_ms for result in answered if result.urgent)
    not_run = [result for result in results if result.outcome == "not-run"]
    return Figures(
        subject=subject,
        load=load.name,
        offered=len(results),
        goodput=answered_in_load / (seconds - warm_up_seconds),
        capacity=RUNNERS * SLOTS / statistics.fmean(r.run_ms for r in answered) * 1_000,
        waits={name: get_quantile(waits, part) for name, part in QUANTILES.items()},
        urgent_p99=get_quantile(urgent, 0.99),
        refused=len(not_run),
        unknown=sum(result.outcome == "unknown" for result in results),
        lost=sum(result.status == 0 for result in results),
        doubled=sum(count > 1 for count in runs.values()),
        mixed=sum(result.mixed for result in results),
        falsely_refused=sum(runs[result.nonce] > 0 for result in not_run),
        slot_excess=sum(runner["slot_excess"] for runner in log.values()),
        connection_excess=sum(runner["connection_excess"] for runner in log.values()),
        late_starts=0,
        bytes=carried,
        cpu_ms=cpu * 1_000 / max(1, len(results)),
        keyed=Counter(
            str(result.status) + (f" {result.outcome}" if result.outcome else "")
            for result in results
            if result.keyed
        ),
    )


QUANTILES = {"median": 0.5, "p99": 0.99, "p99.9": 0.999}


def get_quantile(values: list[float], quantile: float) -> float:
    """Return a quantile of sorted values, or NaN if there are none."""
    return values[min(len(values) - 1, int(len(values) * quantile))] if values else float("nan")


async def measure_hop(cell: BenchCell) -> tuple[float, float]:
    """Return the median ms of a request directly to a runner and through an entry host."""
    names = [f"runner-{i}" for i in range(RUNNERS)]
    await cell.control("/faults", {"runners": names, "faults": {"service_ms": 0.0}})
    direct = await time_requests(FIRST_PORT, "/x")
    through = await time_requests(cell.entries[0].callers_port, "/services/boxplanner/x")
    await cell.control("/faults", {"runners": names, "faults": {"service_ms": RUN_MS}})
    return direct, through


async def time_requests(port: int, target: str) -> float:
    """Return the median ms of sequential requests on one connection."""
    connection = await open_connection(LOOPBACK, port)
    times = []
    for _ in range(HOP_REQUESTS):
        started = time.perf_counter()
        request = HttpRequest("POST", target, (("x-customer", "harbor"),), b"x" * 200)
        await connection.exchange(request, 5.0)
        times.append((time.perf_counter() - started) * 1_000)
    connection.close()
    return statistics.median(times)


async def measure(
    seconds: float, subjects: list[str], load_filter: str
) -> tuple[list[Figures], Any]:
    """Measure the subjects in turn and return their figures and the hop latencies in ms."""
    figures = []
    hop = (float("nan"), float("nan"))
    for subject in subjects:
        cell = BenchCell(subject)
        try:
            await cell.start()
            if subject == "lentilpath":
                hop = await measure_hop(cell)
                print("hop", hop, flush=True)
            for seed, load in enumerate(LOADS):
                if load_filter in load.name:
                    figures.append(await measure_load(cell, load, seconds, seed))
                    print(figures[-1], flush=True)
        finally:
            await cell.close()
    return figures, hop


def main() -> None:
    """Run the measurement and write the report if `--report` names a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--report", type=Path)
    parser.add_argument("--subjects", default=",".join(SUBJECTS))
    parser.add_argument("--load", default="", help="only loads whose name contains this text")
    options = parser.parse_args()
    figures, hop = asyncio.run(measure(options.seconds, options.subjects.split(","), options.load))
    if options.report is not None:
        options.report.write_text(format_report(figures, hop, options.seconds, CAPACITY))


if __name__ == "__main__":
    main()

"""What an ended attempt costs the ledger of a zone: memory, processor time and stored bytes.

Run by `make usage-cost`. Prints slopes at three sizes; 28,000 attempts are ten minutes of a zone's
share of the target's peak.
"""

from __future__ import annotations

import time
import tracemalloc

import msgspec

from lentilpath_core.ids import CustomerId, HostId, JobId, TeamId, WallTime, WorkerId, ZoneId
from lentilpath_core.resources import Resources
from lentilpath_core.states import AttemptOutcome
from lentilpath_core.usage import FREE, Ledger, create_ledger, seal_period, take_event
from lentilpath_core.workloads import JobSpec, WorkloadKind
from lentilpath_core.zone.journal import AttemptEnded, AttemptStarting, JobAccepted

START = WallTime(1_796_083_200_000)
ZONE = ZoneId("portland-dock")
SIZES = (2_000, 8_000, 28_000)
TASKS_PER_JOB = 10
WORKER = WorkerId("portland-dock-worker-1")
DECISION = "placed on portland-dock-worker-1: tightest room, 26000 millicores left"
RUN_MS = 500


def fill(ledger: Ledger, attempts: int) -> None:
    """Take the events of `attempts` ended attempts into the ledger."""
    for number in range(attempts // TASKS_PER_JOB):
        spec = JobSpec(
            JobId(f"job-{number}"),
            TeamId("packing"),
            CustomerId("harbor-spoon"),
            WorkloadKind.BATCH,
            TASKS_PER_JOB,
            Resources(1_000, 512),
        )
        take_event(JobAccepted(spec, START, HostId("host")), ledger)
        at = WallTime(START + number)
        ended_at = WallTime(at + RUN_MS)
        for task in spec.list_tasks():
            take_event(AttemptStarting(task, 1, WORKER, at, DECISION), ledger)
            succeeded = AttemptOutcome.SUCCEEDED
            take_event(AttemptEnded(task, 1, WORKER, succeeded, at, ended_at), ledger)


def measure(attempts: int) -> None:
    """Print the costs at one size."""
    tracemalloc.start()
    ledger = create_ledger(ZONE, START)
    fill(ledger, attempts)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.process_time()
    lines = seal_period(ledger, lambda customer: FREE)
    sealed = time.process_time()
    stored = len(msgspec.json.encode(ledger))
    encoded = time.process_time()
    line_bytes = sum(len(msgspec.json.encode(line)) for line in lines)
    print(
        f"{attempts:9}{held / attempts:14.0f}{(sealed - started) * 1e6 / attempts:14.1f}"
        f"{stored / attempts:14.0f}{(encoded - sealed) * 1e6 / attempts:14.1f}"
        f"{line_bytes / attempts:14.0f}"
    )


if __name__ == "__main__":
    heads = ("attempts", "ledger B", "seal us", "stored B", "store us", "line B")
    print(f"{heads[0]:>9}" + "".join(f"{head:>14}" for head in heads[1:]) + "   for each attempt")
    for size in SIZES:
        measure(size)

"""Measures memory, processor time and stored bytes of a zone's usage ledger per ended attempt.

Run by `make usage-cost`. Prints the costs at three sizes. 28,000 attempts are what one zone ends in
ten minutes at the target's peak.
"""

from __future__ import annotations

import time
import tracemalloc

import msgspec

from lentilpath_core.ids import CustomerId, HostId, JobId, TeamId, WallTime, WorkerId, ZoneId
from lentilpath_core.resources import Resources
from lentilpath_core.states import AttemptOutcome
from lentilpath_core.usage import FREE_PRICE_RULE, Ledger, apply_event, create_ledger, seal_period
from lentilpath_core.workloads import JobSpec, WorkloadKind
from lentilpath_core.zone.journal import AttemptEnded, AttemptStarting, JobAccepted

START = WallTime(1_796_083_200_000)
ZONE = ZoneId("portland-dock")
SIZES = (2_000, 8_000, 28_000)
TASKS_PER_JOB = 10
WORKER = WorkerId("portland-dock-worker-1")
DECISION = "placed on portland-dock-worker-1: tightest room, 26000 millicores left"
RUN_MS = 500


def apply_attempts(ledger: Ledger, attempts: int) -> None:
    """Apply the journal events of `attempts` ended attempts to the ledger."""
    for number in range(attempts // TASKS_PER_JOB):
        spec = JobSpec(
            JobId(f"job-{number}"),
            TeamId("packing"),
            CustomerId("harbor-spoon"),
            WorkloadKind.BATCH,
            TASKS_PER_JOB,
            Resources(1_000, 512),
        )
        apply_event(JobAccepted(spec, START, HostId("host")), ledger)
        at = WallTime(START + number)
        ended_at = WallTime(at + RUN_MS)
        for task in spec.list_tasks():
            apply_event(AttemptStarting(task, 1, WORKER, at, DECISION), ledger)
            succeeded = AttemptOutcome.SUCCEEDED
            apply_event(AttemptEnded(task, 1, WORKER, succeeded, at, ended_at), ledger)


def measure(attempts: int) -> None:
    """Measure and print the costs per attempt at one size."""
    tracemalloc.start()
    ledger = create_ledger(ZONE, START)
    apply_attempts(ledger, attempts)
    ledger_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    seal_started = time.process_time()
    lines = seal_period(ledger, lambda customer: FREE_PRICE_RULE)
    seal_ended = time.process_time()
    stored_bytes = len(msgspec.json.encode(ledger))
    encode_ended = time.process_time()
    line_bytes = sum(len(msgspec.json.encode(line)) for line in lines)
    print(
        f"{attempts:9}{ledger_bytes / attempts:14.0f}"
        f"{(seal_ended - seal_started) * 1e6 / attempts:14.1f}"
        f"{stored_bytes / attempts:14.0f}{(encode_ended - seal_ended) * 1e6 / attempts:14.1f}"
        f"{line_bytes / attempts:14.0f}"
    )


if __name__ == "__main__":
    heads = ("attempts", "ledger B", "seal us", "stored B", "store us", "line B")
    print(f"{heads[0]:>9}" + "".join(f"{head:>14}" for head in heads[1:]) + "   for each attempt")
    for size in SIZES:
        measure(size)

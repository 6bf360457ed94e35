"""The same load leads to the same decisions in every process, whatever its hash seed."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HASH_SEEDS = ("0", "1", "20817")
MIN_STARTS = 500
PLAY = """
import hashlib
from benches.pool import __main__ as simulation
from benches.pool import loads
from benches.pool.deciders import PoolDecider

class RecordingDecider(PoolDecider):
    def decide(self, now, table_unavailable):
        actions = super().decide(now, table_unavailable)
        decisions.update(repr((now, actions.starts, actions.stops, actions.advice)).encode())
        counts.append(len(actions.starts))
        return actions

decisions, counts = hashlib.sha256(), []
site = loads.HARBOR_GROWN
load = loads.Pattern("a burst, and workers that leave or are slow", 0.5, 1.6, burst_at=(2.0, 5.0),
                     leaving_share=0.3, slow_share=0.1, load_seconds=13)
simulation.Simulation(site, load, RecordingDecider(site), 9).run()
print(decisions.hexdigest(), sum(counts))
"""


def play(hash_seed: str) -> tuple[str, int]:
    """Return a digest of all decisions and the number of starts, in a process of its own."""
    answer = subprocess.run(
        [sys.executable, "-c", PLAY],
        cwd=ROOT,
        env=os.environ | {"PYTHONHASHSEED": hash_seed},
        check=True,
        capture_output=True,
        text=True,
    )
    digest, starts = answer.stdout.split()
    return digest, int(starts)


def test_decisions_do_not_depend_on_the_hash_seed_of_the_process():
    results = {play(seed) for seed in HASH_SEEDS}
    assert len(results) == 1
    assert min(starts for _, starts in results) >= MIN_STARTS

"""The deployments of docs/design/customers-and-load.md, with their loads at their worst."""

from __future__ import annotations

from benches.pool.loads import ALL_KINDS, Kind, Pattern, Site
from lentilpath_core.resources import Resources

DIGEST_INTERVAL_MS = 500
"""The leader's digest goes out with its heartbeat, twice a second."""
BURST = (6.0, 12.0)
LOAD_SECONDS = 20


def _make_kinds(
    gangs: tuple[float, float, int, float],
    batches: tuple[float, float, int, float],
    checks: tuple[float, float, int, float],
) -> tuple[Kind, ...]:
    """Return the queues; each is given by jobs per second, tasks per step, millicores and ms."""
    rate, width, millicores, run_ms = gangs
    gang_kind = Kind(
        "gangs", 1, rate, 1.2, width, millicores, 13_000, run_ms, 2.2, 1_200, 3, 1.0, 0.35,
        1.0, 0.2, 0.8, 0.4, 0.5, 340.0, 4.9, 1.67, 2.0,
    )  # fmt: skip
    rate, width, millicores, run_ms = batches
    batch_kind = Kind(
        "batches", 2, rate, 1.5, width, millicores, 5_000, run_ms, 4.0, 3_000, 3, 0.0, 0.45,
        1.0, 0.2, 0.6, 0.45, 0.6, 100.0, 1.4, 3.0, 2.0,
    )  # fmt: skip
    rate, width, millicores, run_ms = checks
    check_kind = Kind(
        "checks", 0, rate, 1.0, width, millicores, 9_000, run_ms, 1.5, 500, 3, 0.3, 0.7,
        1.0, 0.2, 0.8, 0.45, 0.6, 11.0, 0.16, 3.0, 2.0,
    )  # fmt: skip
    return (gang_kind, batch_kind, check_kind)


MARKET = Site(
    "market",
    176,
    Resources(32_000, 65_536, 0),
    _make_kinds((2.0, 20, 9_000, 4_000), (5.8, 25, 3_500, 2_700), (30.0, 3, 5_000, 1_000)),
    workers_per_rack=12,
    capacity_spread=0.2,
    expects_contention=True,
    submissions_per_job=5,
    digest_interval_ms=DIGEST_INTERVAL_MS,
)
CHARGES = Site(
    "charges",
    176,
    Resources(64_000, 131_072, 0),
    _make_kinds((2.1, 16, 18_000, 5_300), (4.3, 25, 6_900, 2_300), (38.8, 3, 9_900, 850)),
    workers_per_rack=20,
    capacity_spread=0.2,
    expects_contention=True,
    submissions_per_job=5,
    digest_interval_ms=DIGEST_INTERVAL_MS,
)
DEPLOYMENTS = (MARKET, CHARGES)


def _make_pattern(name: str, kind: int, factor: float, **faults: object) -> Pattern:
    return Pattern(name, kind, factor, BURST, load_seconds=LOAD_SECONDS, **faults)  # type: ignore[arg-type]


WORST_PATTERNS = (
    # A burst of 2.2 asks for 1.7 times the capacity of the market.
    _make_pattern("usual load", ALL_KINDS, 1.0),
    _make_pattern("gangs at 2.6 times", 0, 2.6),
    _make_pattern("batches at 2.6 times", 1, 2.6),
    _make_pattern("checks at 2.6 times", 2, 2.6),
    _make_pattern("everything at 2.2 times", ALL_KINDS, 2.2),
    Pattern("everything at 2.2 times for 14 s", ALL_KINDS, 2.2, (4.0, 18.0), load_seconds=22),
    _make_pattern("large jobs at once", 0, 1.5, width_factor=2.5),
    _make_pattern(
        "everything at 2.2 times, 30% of workers leave", ALL_KINDS, 2.2, leaving_share=0.3
    ),
    _make_pattern(
        "everything at 2.2 times, leader lost", ALL_KINDS, 2.2, leader_outage=(9.0, 11.6)
    ),
    _make_pattern("everything at 2.2 times, table away", ALL_KINDS, 2.2, table_outage=(9.0, 11.6)),
)

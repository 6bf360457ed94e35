"""Usage billing: lines traceable to task, worker, interval, resources, placement and price."""

from lentilpath_core.usage._intervals import Gap, Interval, list_gaps, list_intervals, merge_facts
from lentilpath_core.usage._ledger import (
    ALLOWED_LATENESS_MS,
    PERIOD_MS,
    REPORTED_HORIZON_MS,
    Ledger,
    apply_batch,
    apply_event,
    create_ledger,
    get_period_start,
    prune_ledger,
)
from lentilpath_core.usage._messages import AttemptFact, Basis, JobTerms, LineKind, UsageLine
from lentilpath_core.usage._prices import (
    FREE_PRICE_RULE,
    UNITS_PER_MICRO,
    PriceRule,
    ResourceTime,
    compute_charge_units,
    format_charge,
)
from lentilpath_core.usage._sealing import (
    FindPriceRule,
    can_seal_period,
    format_period,
    iterate_open_lines,
    list_open_lines,
    seal_period,
    seal_period_by_task,
)

__all__ = [
    "ALLOWED_LATENESS_MS",
    "FREE_PRICE_RULE",
    "PERIOD_MS",
    "REPORTED_HORIZON_MS",
    "UNITS_PER_MICRO",
    "AttemptFact",
    "Basis",
    "FindPriceRule",
    "Gap",
    "Interval",
    "JobTerms",
    "Ledger",
    "LineKind",
    "PriceRule",
    "ResourceTime",
    "UsageLine",
    "apply_batch",
    "apply_event",
    "can_seal_period",
    "compute_charge_units",
    "create_ledger",
    "format_charge",
    "format_period",
    "get_period_start",
    "iterate_open_lines",
    "list_gaps",
    "list_intervals",
    "list_open_lines",
    "merge_facts",
    "prune_ledger",
    "seal_period",
    "seal_period_by_task",
]

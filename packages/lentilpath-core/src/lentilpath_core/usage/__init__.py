"""Usage billing: lines traceable to task, worker, interval, resources, placement and price."""

from lentilpath_core.usage._intervals import Gap, Interval, list_gaps, list_intervals, merge_facts
from lentilpath_core.usage._ledger import (
    LATENESS_MS,
    PERIOD_MS,
    REPORTED_HORIZON_MS,
    Ledger,
    create_ledger,
    forget_settled,
    get_period_start,
    take_batch,
    take_event,
)
from lentilpath_core.usage._messages import AttemptFact, Basis, JobTerms, LineKind, UsageLine
from lentilpath_core.usage._prices import (
    FREE,
    UNITS_PER_MICRO,
    PriceRule,
    ResourceTime,
    compute_charge_units,
    format_charge,
)
from lentilpath_core.usage._sealing import (
    FindRule,
    is_period_over,
    iterate_open_lines,
    iterate_seal,
    list_open_lines,
    name_period,
    seal_period,
)

__all__ = [
    "FREE",
    "LATENESS_MS",
    "PERIOD_MS",
    "REPORTED_HORIZON_MS",
    "UNITS_PER_MICRO",
    "AttemptFact",
    "Basis",
    "FindRule",
    "Gap",
    "Interval",
    "JobTerms",
    "Ledger",
    "LineKind",
    "PriceRule",
    "ResourceTime",
    "UsageLine",
    "compute_charge_units",
    "create_ledger",
    "forget_settled",
    "format_charge",
    "get_period_start",
    "is_period_over",
    "iterate_open_lines",
    "iterate_seal",
    "list_gaps",
    "list_intervals",
    "list_open_lines",
    "merge_facts",
    "name_period",
    "seal_period",
    "take_batch",
    "take_event",
]

"""Burn rates: how fast the error budget of each objective is used up, and by which causes."""

from lentilpath_core.burn._counts import (
    BUCKET_MS,
    BurnCounts,
    BurnLog,
    get_bucket_start,
    merge_log,
    record_event,
)
from lentilpath_core.burn._observations import Observation, list_task_observations
from lentilpath_core.burn._rates import (
    ALERT_WINDOWS,
    BurnReport,
    Urgency,
    WindowRate,
    compute_burn,
)

__all__ = [
    "ALERT_WINDOWS",
    "BUCKET_MS",
    "BurnCounts",
    "BurnLog",
    "BurnReport",
    "Observation",
    "Urgency",
    "WindowRate",
    "compute_burn",
    "get_bucket_start",
    "list_task_observations",
    "merge_log",
    "record_event",
]

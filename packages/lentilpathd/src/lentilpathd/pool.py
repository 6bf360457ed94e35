"""Entry host for a platform that stores all state and whose workers enforce fencing tokens."""

from lentilpathd._clock import read_wall_time
from lentilpathd._logs import set_up_structured_log
from lentilpathd._pool._adapter_log import (
    log_configuration_read,
    log_internal_error,
    log_unanswered_job,
    log_unreadable_entry,
    log_unreadable_row,
)
from lentilpathd._pool._host import PlatformPorts, PoolHost
from lentilpathd._pool._jobs import Jobs
from lentilpathd._pool._ports import (
    Advice,
    AdviceService,
    AnswerProgress,
    HistoryLost,
    OtherLife,
    PartitionCommitResult,
    PartitionedTable,
    PartitionRow,
    PartitionRows,
    PartitionTransaction,
    PoolWorker,
    RefusedByFence,
    Registry,
    UnusableConfiguration,
    WorkerFactory,
)
from lentilpathd._pool._process import Handler, run_pool_host
from lentilpathd._pool._refusals import SubmissionAnswer, SubmissionResult, spread_retry_ms
from lentilpathd._pool._settings import PoolHostSettings

__all__ = [
    "Advice",
    "AdviceService",
    "AnswerProgress",
    "Handler",
    "HistoryLost",
    "Jobs",
    "OtherLife",
    "PartitionCommitResult",
    "PartitionRow",
    "PartitionRows",
    "PartitionTransaction",
    "PartitionedTable",
    "PlatformPorts",
    "PoolHost",
    "PoolHostSettings",
    "PoolWorker",
    "RefusedByFence",
    "Registry",
    "SubmissionAnswer",
    "SubmissionResult",
    "UnusableConfiguration",
    "WorkerFactory",
    "log_configuration_read",
    "log_internal_error",
    "log_unanswered_job",
    "log_unreadable_entry",
    "log_unreadable_row",
    "read_wall_time",
    "run_pool_host",
    "set_up_structured_log",
    "spread_retry_ms",
]

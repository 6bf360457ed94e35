"""Events that adapters find out."""

from __future__ import annotations

from lentilpath_core.ids import JobId
from lentilpathd._events import Event, log_event


def log_unreadable_entry(worker: str, error: Exception) -> None:
    """Log an entry that names no worker to use."""
    log_event(Event.ENTRY_UNREADABLE, worker=worker, error=str(error))


def log_unanswered_job(job: JobId, method: str, error: Exception) -> None:
    """Log that a caller got no answer about a job."""
    log_event(Event.JOB_UNANSWERED, job=job, method=method, error=str(error))

"""Log events reported by platform adapters."""

from __future__ import annotations

from lentilpath_core.ids import JobId
from lentilpathd._events import Event, log_event, log_warning_event


def log_unreadable_entry(worker: str, error: Exception) -> None:
    """Log a registry entry that cannot be decoded as a worker."""
    log_warning_event(Event.ENTRY_UNREADABLE, worker=worker, error=str(error))


def log_unanswered_job(job: JobId, method: str, error: Exception) -> None:
    """Log that a caller's request about a job failed without a definite answer."""
    log_event(Event.JOB_UNANSWERED, job=job, method=method, error=str(error))


def log_internal_error(part: str, error: Exception) -> None:
    """Log an error that nothing expected, without ending the process."""
    log_warning_event(Event.INTERNAL_ERROR, part=part, error=repr(error))


def log_unreadable_row(key: str, error: Exception) -> None:
    """Log a stored row that cannot be used and is skipped."""
    log_warning_event(Event.ROW_UNREADABLE, key=key, error=error)


def log_configuration_read(versions: int, size_bytes: int) -> None:
    """Log how many versions of the configuration one answer held, and their length together."""
    log_event(Event.CONFIG_READ, versions=versions, bytes=size_bytes)

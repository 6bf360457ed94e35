"""Says which entries of the platform's registry cannot be used."""

from __future__ import annotations

from lentilpathd._events import Event, log_event


def log_unreadable_entry(worker: str, error: Exception) -> None:
    """Log an entry that names no worker to use."""
    log_event(Event.ENTRY_UNREADABLE, worker=worker, error=str(error))

"""How current the leader's knowledge of each worker's capacity is.

Workers report their capacity only in the registry. While the registry cannot be read or written, a
worker may shrink unseen, and a start by its former capacity would overload it. So a worker gets
starts only while its last report is known to be recent. Each worker is judged by its own report, so
that after an outage starts resume as the reports come in, and a short outage delays none.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.pool._events import WorkersListed
from lentilpath_core.pool._state import PoolState, Worker

MAX_ENTRY_AGE_MS = 5_000
"""A worker gets no starts if its last report to the registry may be older. A reduced capacity
counts after 5 s and one report interval; the rest is left for the start to reach the worker."""
REPORT_SPAN_MS = 1_700
"""In this time each worker that reaches the registry reports once: the interval between reports,
1,500 ms, and the time that a write takes."""
MAX_LIST_GAP_MS = 1_500
"""After a longer time without a list, reports may have failed. It is twice the interval between
lists."""


def note_list(state: PoolState, event: WorkersListed, now: Instant) -> Instant:
    """Note when a list was requested; return the time at which its new reports were made at least.

    A report that the former list did not have was made after the former list was requested.
    """
    sent_at = event.sent_at if event.sent_at is not None else now
    former = state.list_sent_at
    if former is None:
        # Reports expire after three intervals, so those of a leader's first list are recent.
        state.list_sent_at = state.lists_since = sent_at
        return Instant(sent_at - REPORT_SPAN_MS)
    if sent_at > former + MAX_LIST_GAP_MS:
        state.lists_since = sent_at
    state.list_sent_at = sent_at
    return former


def note_reports(state: PoolState, event: WorkersListed) -> None:
    """Note that all listed workers have reported since, if lists came without a gap for a while.

    Deployments may number the reports differently, so new numbers are not the only evidence.
    """
    if state.list_sent_at is None or state.list_sent_at < state.lists_since + REPORT_SPAN_MS:
        return
    reported_at = Instant(state.list_sent_at - REPORT_SPAN_MS)
    for entry in event.workers:
        worker = state.workers.get(entry.worker)
        if worker is None or worker.life != entry.life:
            continue
        if entry.worker not in event.missing:
            worker.capacity_seen_at = max(worker.capacity_seen_at, reported_at)


def is_capacity_known(worker: Worker, now: Instant) -> bool:
    """Return whether the worker's capacity is known well enough for starts.

    It always is where workers do not number their reports.
    """
    return not worker.listed.sequence or now <= worker.capacity_seen_at + MAX_ENTRY_AGE_MS

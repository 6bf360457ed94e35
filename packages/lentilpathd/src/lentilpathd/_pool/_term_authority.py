"""Whether a leader may send commands, and how long the leases may last that they grant."""

from __future__ import annotations

from lentilpath_core.ids import Epoch, Instant, WorkerId
from lentilpath_core.pool import (
    Life,
    PauseWatch,
    PoolState,
    get_unconfirmed_lease_ms,
    may_lead_on,
)
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._pool._context import PoolContext
from lentilpathd._pool._leadership import PoolLeadership

JUDGEMENT_AGE_MS = 50
"""How long it is remembered whether a leader without word from the table may act."""


class TermAuthority:
    """The authority of one leader by its lease, its pauses and the workers' answers."""

    def __init__(
        self,
        context: PoolContext,
        epoch: Epoch,
        leadership: PoolLeadership,
        state: PoolState,
        now: Instant,
    ) -> None:
        self._context = context
        self._epoch = epoch
        self._leadership = leadership
        self._state = state
        self._pauses = PauseWatch(now)
        self._is_withheld = False
        """Whether commands are withheld, since another host may lead."""
        self._judged_at = Instant(0)

    def may_command(self) -> bool:
        """Return whether the leader may send commands now."""
        now = read_instant()
        is_confirmed = self._leadership.is_confirmed(now)
        may_command = self._pauses.may_command(now, is_confirmed)
        return may_command and not self._withhold(is_confirmed, now)

    def _withhold(self, is_confirmed: bool, now: Instant) -> bool:
        """Return whether commands are withheld, judged a short time ago at most."""
        if not is_confirmed and now < self._judged_at + JUDGEMENT_AGE_MS:
            return self._is_withheld
        self._judged_at = now
        unconfirmed_ms = self._leadership.get_unconfirmed_ms(now)
        is_withheld = not is_confirmed and not may_lead_on(self._state, unconfirmed_ms, now)
        if is_withheld is not self._is_withheld:
            self._is_withheld = is_withheld
            event = Event.COMMANDS_WITHHELD if is_withheld else Event.COMMANDS_RESUMED
            log_event(event, epoch=self._epoch, unconfirmed_ms=unconfirmed_ms)
        return is_withheld

    def get_lease_ms(self, worker_id: WorkerId, life: Life) -> int:
        """Return how long a lease to a worker may last, in ms.

        0 while the stored list suspends the worker, or without any majority of the workers. Also
        for a worker that is not stored and has no runs: if it restarts, its next life may take the
        lease, and no later leader would know of that.
        """
        worker = self._state.workers.get(worker_id)
        if worker is not None and worker.life == life:
            is_stored = worker.is_recorded or bool(worker.attempts)
            if worker.awaits_record or not is_stored:
                return 0
        return self._get_longest_lease_ms(read_instant())

    def _get_longest_lease_ms(self, now: Instant) -> int:
        lease_ms = self._context.settings.lease_ms
        if self._leadership.is_confirmed(now):
            return lease_ms
        return min(lease_ms, get_unconfirmed_lease_ms(self._state, now))

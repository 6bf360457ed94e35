"""Makes the leader's digests, which answer the heartbeats of the other hosts."""

from __future__ import annotations

from lentilpath_core.ids import Epoch, Instant
from lentilpath_core.pool import PoolState, measure_loads, measure_shares
from lentilpathd._pool._members import Members, fingerprint_hosts
from lentilpathd._pool._messages import Digest

DIGEST_REUSE_MS = 250
"""A digest is reused for heartbeats within this time, so its cost does not grow with the number of
hosts. With the heartbeat interval it stays under the maximum age of its counts, 2 s."""


class Digests:
    """The digest of a leader's state, at most `DIGEST_REUSE_MS` old."""

    def __init__(self, epoch: Epoch, members: Members, state: PoolState) -> None:
        self._epoch = epoch
        self._members = members
        self._state = state
        self._digest: Digest | None = None
        self._made_at = Instant(0)

    def get(self, now: Instant) -> Digest:
        """Return the digest of queue loads, customers' shares and known hosts."""
        if self._digest is None or now >= self._made_at + DIGEST_REUSE_MS:
            hosts = self._members.list_known_hosts(now)
            loads, shares = measure_loads(self._state, now), measure_shares(self._state, now)
            self._digest = Digest(self._epoch, loads, hosts, fingerprint_hosts(hosts), shares)
            self._made_at = now
        return self._digest

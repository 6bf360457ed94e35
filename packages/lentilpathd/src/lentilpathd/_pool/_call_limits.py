"""Bounds the callers' operations that are in progress on a host at one time."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from lentilpath_core.errors import Unavailable
from lentilpath_core.ids import Instant
from lentilpath_core.pool import MAX_HELD_BYTES

MAX_CALLS = 600
"""A host with this many calls in progress takes 200 a second beside a table that answers none for
the 3 s of a deadline, eight times its share of the largest deployment's calls. Each has up to three
connections to the table, so all take 1,800 of the 4,100 descriptors of a host."""
MAX_CALL_BYTES = 4_194_304
"""Over 6 KB for each call; the longest jobs have 4 KB of text. With its repeated writes a job takes
up to 15 times its length, so all take 60 MB."""

RECENT_MS = 2_000
"""A digest that counts the job is in use by then; hosts use one for 1.7 s at most."""
MAX_RECENT_BYTES = 8_388_608
"""An eighth of what the leader holds, and 400 jobs a second with the longest text."""
LARGEST_SHARE = 8
"""A job may take an eighth of the memory that is left, so that large jobs leave some to others."""


class TooManyCalls(Unavailable):
    """As many calls are in progress on this host as it can bear."""

    code = "too-many-calls"


class CallLimit:
    """Counts the calls in progress, and their bytes."""

    def __init__(self, max_calls: int, max_bytes: int = 0) -> None:
        self._max_calls = max_calls
        self._max_bytes = max_bytes
        self._calls = 0
        self._bytes = 0

    @contextmanager
    def admit(self, size_bytes: int = 0) -> Iterator[None]:
        """Count a call while the context is open; raises `TooManyCalls` if it does not fit.

        A call of any size fits while no other is in progress.
        """
        is_full = self._calls >= self._max_calls
        if is_full or (self._calls and self._bytes + size_bytes > self._max_bytes):
            raise TooManyCalls(f"{self._calls} calls of {self._bytes} bytes are in progress")
        self._calls += 1
        self._bytes += size_bytes
        try:
            yield
        finally:
            self._calls -= 1
            self._bytes -= size_bytes


class RecentJobs:
    """The memory of the leader that this host has promised to jobs and no digest counts yet."""

    def __init__(self) -> None:
        self._jobs: deque[tuple[Instant, int]] = deque()
        self._bytes = 0

    def admit(self, size_bytes: int, held_bytes: int, now: Instant) -> bool:
        """Return whether the leader has memory for a job, and count the job if so.

        `held_bytes` is what the leader holds by its last digest.
        """
        while self._jobs and now >= self._jobs[0][0] + RECENT_MS:
            self._bytes -= self._jobs.popleft()[1]
        left_bytes = MAX_HELD_BYTES - held_bytes - self._bytes
        if self._bytes + size_bytes > MAX_RECENT_BYTES or size_bytes * LARGEST_SHARE > left_bytes:
            return False
        self._jobs.append((now, size_bytes))
        self._bytes += size_bytes
        return True

"""Conditional writes whose answer was lost, and a gate before a table that is out of reach."""

from __future__ import annotations

from lentilpath_core.errors import OutcomeUnknown, TableUnavailable
from lentilpath_core.ids import Instant
from lentilpath_core.requests.keys import StoredAnswer
from lentilpath_core.requests.messages import ServiceAnswer
from lentilpathd._ports import CommitResult, ObjectStore, Table, Transaction

TABLE_TIMEOUT_SECONDS = 1.0
COMMIT_ATTEMPTS = 2
RETRY_AFTER_MS = 1_000
MAX_ROW_BODY_BYTES = 131_072


class TableGate:
    """Refuses at once, for `RETRY_AFTER_MS` after a failure, what would only wait for the table.

    When that time is over a single request tries the table, so that its return meets no stampede.
    """

    def __init__(self) -> None:
        self._closed_until: Instant | None = None
        self._trying = False

    def is_closed(self) -> bool:
        """Return whether the last known word of the table was a failure."""
        return self._closed_until is not None

    def enter(self, now: Instant) -> bool:
        """Return whether the table may be asked at `now`."""
        if self._closed_until is None:
            return True
        if self._trying or now < self._closed_until:
            return False
        self._trying = True
        return True

    def record(self, reached: bool, now: Instant) -> None:
        """Take the end of a call into account."""
        self._trying = False
        self._closed_until = None if reached else Instant(now + RETRY_AFTER_MS)


async def commit_surely(table: Table, transaction: Transaction) -> CommitResult:
    """Apply `transaction`, also when an answer of the table is lost.

    Raises `TableUnavailable` if it was surely not applied and `OutcomeUnknown` if it may have been
    or may still be. The values put must be unique to this transaction.
    """
    unclear: OutcomeUnknown | None = None
    for _ in range(COMMIT_ATTEMPTS):
        try:
            result = await table.commit(transaction, TABLE_TIMEOUT_SECONDS)
        except OutcomeUnknown as error:
            unclear = error
            continue
        except TableUnavailable as error:
            if unclear is not None:
                raise unclear from error
            raise
        if unclear is not None and _is_own_work(transaction, result):
            return CommitResult(applied=True)
        return result
    assert unclear is not None
    raise unclear


def _is_own_work(transaction: Transaction, result: CommitResult) -> bool:
    puts = dict(transaction.puts)
    return all(
        row.value == puts[row.key] if row.key in puts else row.version == 0
        for row in result.conflicts
    )


async def store_answer(answer: ServiceAnswer, objects: ObjectStore, name: str) -> StoredAnswer:
    """Return `answer` as it goes into a row; a large body goes into the object store before."""
    if len(answer.body) <= MAX_ROW_BODY_BYTES:
        return StoredAnswer(answer.status, answer.headers, answer.body)
    key = f"requests/answers/{name}"
    await objects.put_object(key, answer.body, TABLE_TIMEOUT_SECONDS)
    return StoredAnswer(answer.status, answer.headers, b"", key)


async def load_answer(stored: StoredAnswer, objects: ObjectStore) -> ServiceAnswer:
    """Return the answer that `stored` stands for; raises `Unavailable`."""
    if not stored.body_object:
        return ServiceAnswer(stored.status, stored.headers, stored.body)
    body = await objects.get_object(stored.body_object, TABLE_TIMEOUT_SECONDS)
    if body is None:
        raise TableUnavailable(f"the object {stored.body_object} is missing")
    return ServiceAnswer(stored.status, stored.headers, body)

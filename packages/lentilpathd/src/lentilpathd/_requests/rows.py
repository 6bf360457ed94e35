"""Table helpers: commits with a retry after a lost answer, a circuit breaker, stored answers."""

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


class TableCircuitBreaker:
    """Circuit breaker for requests that need the table.

    After a failure it refuses calls for `RETRY_AFTER_MS` instead of letting them wait for a
    timeout. Then it lets a single call through as a probe, so that the table is not overloaded
    when it recovers.
    """

    def __init__(self) -> None:
        self._open_until: Instant | None = None
        self._probing = False

    def is_open(self) -> bool:
        """Return whether the last call failed to reach the table, so that calls are restricted."""
        return self._open_until is not None

    def allow_call(self, now: Instant) -> bool:
        """Return whether the table may be called at `now`.

        Each allowed call is followed by `record_result`, or by `abandon_call` if it has no result.
        """
        if self._open_until is None:
            return True
        if self._probing or now < self._open_until:
            return False
        self._probing = True
        return True

    def abandon_call(self) -> None:
        """End a call without a result, which shows nothing of the table; another may probe it."""
        self._probing = False

    def record_result(self, reached: bool, now: Instant) -> None:
        """Record whether a call reached the table, which closes or opens the breaker."""
        self._probing = False
        self._open_until = None if reached else Instant(now + RETRY_AFTER_MS)


async def commit_with_retry(table: Table, transaction: Transaction) -> CommitResult:
    """Commit `transaction`, with one retry if the table's answer is lost.

    A conflict after a lost answer counts as applied if the rows hold the values of `transaction`,
    so these values must be unique to it. Raises `TableUnavailable` if the transaction was not
    applied, and `OutcomeUnknown` if it may have been or may still be.
    """
    lost_answer: OutcomeUnknown | None = None
    for _ in range(COMMIT_ATTEMPTS):
        try:
            result = await table.commit(transaction, TABLE_TIMEOUT_SECONDS)
        except OutcomeUnknown as error:
            lost_answer = error
            continue
        except TableUnavailable as error:
            if lost_answer is not None:
                raise lost_answer from error
            raise
        if lost_answer is not None and _is_own_write(transaction, result):
            return CommitResult(applied=True)
        return result
    assert lost_answer is not None
    raise lost_answer


def _is_own_write(transaction: Transaction, result: CommitResult) -> bool:
    puts = dict(transaction.puts)
    return all(
        row.value == puts[row.key] if row.key in puts else row.version == 0
        for row in result.conflicts
    )


async def store_answer(answer: ServiceAnswer, objects: ObjectStore, name: str) -> StoredAnswer:
    """Return `answer` as it is stored in a row.

    A body of more than `MAX_ROW_BODY_BYTES` is put into the object store under `name` first.
    """
    if len(answer.body) <= MAX_ROW_BODY_BYTES:
        return StoredAnswer(answer.status, answer.headers, answer.body)
    key = f"requests/answers/{name}"
    await objects.put_object(key, answer.body, TABLE_TIMEOUT_SECONDS)
    return StoredAnswer(answer.status, answer.headers, b"", key)


async def load_answer(stored: StoredAnswer, objects: ObjectStore) -> ServiceAnswer:
    """Return the answer, with its body from the object store if need be; raises `Unavailable`."""
    if not stored.body_object:
        return ServiceAnswer(stored.status, stored.headers, stored.body)
    body = await objects.get_object(stored.body_object, TABLE_TIMEOUT_SECONDS)
    if body is None:
        raise TableUnavailable(f"the object {stored.body_object} is missing")
    return ServiceAnswer(stored.status, stored.headers, body)

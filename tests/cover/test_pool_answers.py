"""Callers' queries and cancellations get a truthful answer at once, with a time to come back."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from lentilpath_core.errors import LentilpathError, OutcomeUnknown, TableUnavailable
from lentilpath_core.ids import HostId, JobId
from lentilpath_core.pool import (
    NO_CUSTOMER,
    JobState,
    PoolConfiguration,
    QueueId,
    QueueLoad,
    ServicePolicy,
)
from lentilpath_http import HttpRequest, HttpResponse
from lentilpath_platform.callers import make_callers_handler
from lentilpathd._clock import read_instant
from lentilpathd._pool._jobs import Jobs
from lentilpathd._pool._members import UnclearJobs
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._refusals import SubmissionResult
from tests.common.pools import SERVICE, make_job_id, make_queue, make_record
from tests.common.tables import OnePartitionTable

JOB = JobId("00000000000000ab")
QUEUE = make_queue(QueueId("checks"))


class ScriptedTable(OnePartitionTable):
    """A table whose writes end with the scripted errors, one each, and then succeed."""

    def __init__(self, *errors: LentilpathError) -> None:
        super().__init__()
        self.errors = list(errors)
        self.writes = 0

    async def commit(self, transaction, timeout, prefer_relay=False):
        self.writes += 1
        if self.errors:
            raise self.errors.pop(0)
        return await super().commit(transaction, timeout)


def make_jobs(table: OnePartitionTable, state: JobState | None = JobState.RUNNING) -> Jobs:
    context = SimpleNamespace(
        table=table,
        settings=SimpleNamespace(host=HostId("h1")),
        metrics=PoolMetrics(),
        unclear_jobs=UnclearJobs(),
        is_leading=lambda: True,
        get_local_job_state=lambda job: state,
        get_local_job_customer=lambda job: NO_CUSTOMER,
        handle_local_notice=lambda notice: True,
        heartbeat_sender=SimpleNamespace(
            get_load=lambda queue, now: None, get_leader=lambda: HostId("h1")
        ),
    )
    return Jobs(cast(Any, context))


def call(method: str, jobs: Jobs, body: bytes = b"", deadline: str = "400") -> HttpResponse:
    configuration = PoolConfiguration(
        cast(Any, 1), {QUEUE.queue: QUEUE}, {SERVICE: ServicePolicy(SERVICE)}
    )
    host = SimpleNamespace(
        jobs=jobs,
        configuration=SimpleNamespace(get_current=lambda: configuration),
        may_check_keys=lambda configuration, queue: True,
    )
    headers = (("host", QUEUE.host), ("x-deadline-ms", deadline))
    request = HttpRequest(method, f"{QUEUE.path_prefix}{JOB}", headers, body)

    async def answer() -> HttpResponse:
        return await make_callers_handler(cast(Any, host))(request)

    return asyncio.run(answer())


def test_a_cancellation_that_was_not_sent_is_refused_at_once_with_a_time_to_come_back():
    table = ScriptedTable(*[TableUnavailable("away")] * 50)
    response = call("DELETE", make_jobs(table))
    assert response.status == 503
    assert response.get_header("retry-after")
    assert table.writes == 1


@pytest.mark.parametrize("then", [TableUnavailable("away"), OutcomeUnknown("silent")])
def test_a_cancellation_that_may_be_stored_is_never_reported_as_without_effect(
    then: LentilpathError,
):
    table = ScriptedTable(OutcomeUnknown("silent"), *[then] * 50)
    assert call("DELETE", make_jobs(table)).status == 504


def test_an_unclear_cancellation_is_settled_by_repeating_the_write():
    table = ScriptedTable(OutcomeUnknown("silent"), TableUnavailable("away"))
    assert call("DELETE", make_jobs(table)).status == 200
    assert table.writes == 3


@pytest.mark.parametrize("error", [TableUnavailable("away"), OutcomeUnknown("silent")])
def test_a_query_that_cannot_be_answered_may_be_repeated(error: LentilpathError):
    table = ScriptedTable()
    table.is_unavailable = True
    table.unavailable_error = error
    response = call("GET", make_jobs(table, state=None))
    assert response.status == 503
    assert response.get_header("retry-after")


@pytest.mark.parametrize(
    ("state", "is_unclear", "status"),
    [
        (JobState.QUEUED, False, SubmissionResult.ACCEPTED),
        (None, True, SubmissionResult.UNCLEAR),
        (None, False, SubmissionResult.REFUSED),
    ],
)
def test_a_full_pool_refuses_no_job_that_an_earlier_submission_has_stored(
    state, is_unclear, status
):
    """Guards against a refusal after a lost answer: "not accepted" of a job that runs."""
    jobs = make_jobs(ScriptedTable(), state)
    context = cast(Any, jobs)._context
    context.heartbeat_sender.get_load = lambda queue, now: QueueLoad(500, 10**6)
    if is_unclear:
        context.unclear_jobs.add(make_job_id(1), read_instant())
    answer = asyncio.run(jobs.submit(make_record(1), QUEUE, 400))
    assert answer.result is status

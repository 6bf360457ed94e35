"""Callers' queries and cancellations get a truthful answer at once, with a time to come back."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial
from types import SimpleNamespace
from typing import Any, cast

import pytest

from lentilpath_core.errors import LentilpathError, OutcomeUnknown, TableUnavailable
from lentilpath_core.ids import (
    CustomerId,
    HostId,
    Incarnation,
    JobId,
    RowVersion,
    WallTime,
    ZoneId,
)
from lentilpath_core.peers import PeerRequest
from lentilpath_core.pool import (
    NO_CUSTOMER,
    CustomerPolicy,
    FinalRecord,
    JobState,
    PoolConfiguration,
    PoolLoads,
    QueueId,
    QueuePolicy,
    ServicePolicy,
    ShareLoads,
)
from lentilpath_core.resources import Resources
from lentilpath_http import HttpRequest, HttpResponse
from lentilpath_platform.callers import make_callers_handler
from lentilpathd._clock import read_instant
from lentilpathd._pool._host import PoolHost
from lentilpathd._pool._jobs import Jobs
from lentilpathd._pool._members import UnclearJobs
from lentilpathd._pool._messages import STATE_TOPIC
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._ports import PartitionRow
from lentilpathd._pool._records import encode_record, make_final_key
from lentilpathd._pool._refusals import SubmissionResult
from tests.common.pools import SERVICE, make_job_id, make_queue, make_record
from tests.common.tables import OnePartitionTable

JOB = JobId("00000000000000ab")
QUEUE = make_queue(QueueId("checks"))
OWNER, OTHER = CustomerId("owner"), CustomerId("other")
BODY = b'{"steps": [{"cpu": 1000}]}'


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


def make_jobs(
    table: OnePartitionTable,
    state: JobState | None = JobState.RUNNING,
    owner: CustomerId = NO_CUSTOMER,
    is_leading: bool = True,
    customers: dict[CustomerId, CustomerPolicy] | None = None,
) -> Jobs:
    context = SimpleNamespace(
        table=table,
        settings=SimpleNamespace(host=HostId("h1")),
        metrics=PoolMetrics(),
        unclear_jobs=UnclearJobs(),
        is_leading=lambda: is_leading,
        get_local_job_state=lambda job: state,
        get_local_job_customer=lambda job: owner,
        handle_local_notice=lambda notice: True,
        heartbeat_sender=SimpleNamespace(
            get_loads=lambda now: None,
            get_shares=lambda now: ShareLoads(),
            get_leader=lambda: HostId("h1"),
        ),
        get_configuration=lambda: PoolConfiguration(cast(Any, 1), customers=customers or {}),
    )
    return Jobs(cast(Any, context))


def call(
    method: str,
    jobs: Jobs,
    body: bytes = b"",
    deadline: str = "400",
    queue: QueuePolicy = QUEUE,
    key: str | None = None,
    is_current: bool = True,
) -> HttpResponse:
    configuration = PoolConfiguration(
        cast(Any, 1),
        {queue.queue: queue},
        {SERVICE: ServicePolicy(SERVICE)},
        {OWNER: CustomerPolicy(OWNER), OTHER: CustomerPolicy(OTHER)},
        {"owner-key": OWNER, "other-key": OTHER},
    )
    if key is not None:
        configuration = replace(configuration, requires_keys=True)
    host = SimpleNamespace(
        jobs=jobs,
        configuration=SimpleNamespace(
            get_current=lambda: configuration,
            is_current=lambda max_age_ms, now: is_current,
            is_settled=lambda now: True,
        ),
        settings=SimpleNamespace(max_configuration_age_ms=5_000),
        report_unknown_key=lambda queue, method: None,
    )
    host.may_check_keys = partial(PoolHost.may_check_keys, cast(Any, host))
    headers: tuple[tuple[str, str], ...] = (("host", "shop.example"), ("x-deadline-ms", deadline))
    if key is not None:
        headers += (("x-credential", key),)
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


def test_a_queue_whose_host_is_configured_in_capitals_is_found():
    queue = replace(QUEUE, host="Shop.Example")
    assert call("GET", make_jobs(ScriptedTable()), queue=queue).status == 200


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
    context.heartbeat_sender.get_loads = lambda now: PoolLoads({}, ((0, 10**6),))
    if is_unclear:
        context.unclear_jobs.add(make_job_id(1), read_instant())
    answer = asyncio.run(jobs.submit(make_record(1), QUEUE, 400))
    assert answer.result is status


@pytest.mark.parametrize(("key", "status"), [("owner-key", 200), ("other-key", 403)])
def test_a_submission_that_the_table_does_not_take_is_accepted_only_for_the_jobs_own_customer(
    key: str, status: int
):
    table = ScriptedTable(*[TableUnavailable("away")] * 50)
    assert call("POST", make_jobs(table, owner=OWNER), BODY, key=key).status == status


@pytest.mark.parametrize("is_public", [False, True])
def test_a_key_is_not_used_while_the_configuration_is_too_old_on_a_public_queue_either(
    is_public: bool,
):
    queue = make_queue(QueueId("checks"), is_public=is_public)
    jobs = make_jobs(ScriptedTable(), owner=OWNER)
    for method in ("GET", "DELETE", "POST"):
        old = call(method, jobs, BODY, queue=queue, key="owner-key", is_current=False)
        assert old.status == 503
        assert old.get_header("retry-after")
        assert call(method, jobs, BODY, queue=queue, key="owner-key").status == 200


def test_a_public_queue_serves_calls_without_a_key_while_the_configuration_is_too_old():
    queue = make_queue(QueueId("checks"), is_public=True)
    jobs = make_jobs(ScriptedTable())
    assert call("GET", jobs, queue=queue, key="unknown", is_current=False).status == 200


def test_a_key_that_a_too_old_configuration_lacks_is_not_said_to_be_unknown():
    jobs = make_jobs(ScriptedTable())
    assert call("GET", jobs, key="new-key", is_current=False).status == 503
    assert call("GET", jobs, key="new-key").status == 401


@pytest.mark.parametrize(
    "number", [-1, 10**16, 10**400, -(10**400)], ids=["-1", "16", "400", "-400"]
)
def test_a_job_with_a_number_out_of_range_is_refused_as_unreadable(number: int):
    body = b'{"steps": [{"estRuntimeMs": %d}]}' % number
    assert call("POST", make_jobs(ScriptedTable()), body).status == 400


@pytest.mark.parametrize(("key", "status"), [("owner-key", 200), ("other-key", 403)])
def test_a_submission_stored_in_another_partition_is_not_accepted_if_the_job_is_another_customers(
    key: str, status: int
):
    # The row of the owner's job is in the partition that gives no answer.
    table = ScriptedTable(OutcomeUnknown("silent"))
    assert call("POST", make_jobs(table, owner=OWNER), BODY, key=key).status == status
    assert table.writes == 2


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (make_final_key(JOB), FinalRecord(JobState.COMPLETED, WallTime(5), customer=OWNER)),
        (JOB, make_record(int(JOB, 16), customer=OWNER)),
    ],
)
def test_a_stored_job_is_open_to_its_own_customer_only_while_no_leader_answers(key, value):
    table = ScriptedTable()
    table.rows[key] = PartitionRow("0", key, encode_record(value), RowVersion(1))
    jobs = make_jobs(table, is_leading=False)
    for method in ("GET", "DELETE"):
        assert call(method, jobs, key="other-key").status == 403
        assert call(method, jobs, key="owner-key").status == 200
    assert table.writes == 1


def test_the_leader_tells_other_hosts_a_jobs_customer():
    term = SimpleNamespace(get_state=lambda job: JobState.RUNNING, get_customer=lambda job: OWNER)
    host = SimpleNamespace(_require_term=lambda: term, unclear_jobs=UnclearJobs())
    request = PeerRequest(
        1, HostId("h2"), Incarnation("i"), ZoneId("z"), STATE_TOPIC, {"job": str(JOB)}
    )
    reply = asyncio.run(PoolHost._handle_state_request(cast(Any, host), request))
    assert (reply.state, reply.customer) == ("running", OWNER)


@pytest.mark.parametrize(("owner", "status"), [(NO_CUSTOMER, 200), (OWNER, 200), (OTHER, 429)])
def test_a_repeated_submission_over_the_quota_is_accepted_if_its_caller_may_use_the_known_job(
    owner: CustomerId, status: int
):
    quotas = {OWNER: CustomerPolicy(OWNER, 1.0, Resources(500, 0, 0))}
    jobs = make_jobs(ScriptedTable(), owner=owner, customers=quotas)
    assert call("POST", jobs, BODY, key="owner-key").status == status

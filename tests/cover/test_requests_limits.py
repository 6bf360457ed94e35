"""Admission limits, queue order, runner health and the retry budget."""

import asyncio
import json
from dataclasses import replace

import pytest

from lentilpath_core.ids import CustomerId, Instant, RequestId, ServiceId, UpstreamId
from lentilpath_core.requests.admission import (
    MAX_TRACKED_CUSTOMERS,
    ServiceQueue,
    admit_request,
    count_reserved_slots,
    enqueue_request,
    pop_next_request,
    release_request,
)
from lentilpath_core.requests.messages import (
    CallerRequest,
    FailureReason,
    Outcome,
    Priority,
    RequestFailed,
)
from lentilpath_core.requests.policy import RegionPolicy, RequestPolicy
from lentilpath_core.requests.retries import add_retry_credit, create_retry_budget, try_spend_retry
from lentilpath_core.requests.routing import (
    Candidate,
    Distance,
    RunnerHealth,
    apply_slow_start,
    choose_runner,
    is_in_pool,
    may_leave_region,
    record_failure,
    record_success,
)
from lentilpathd._requests.rows import RETRY_AFTER_MS, TableCircuitBreaker
from tests.common.requests import TEST_POLICY, open_cell, read_failure, wait_until

START = Instant(1_000)


def make_request(number, priority=Priority.NORMAL, deadline=100_000, body=b"", **changes):
    request = CallerRequest(
        RequestId(str(number)),
        CustomerId("harbor"),
        ServiceId("boxplanner"),
        "POST",
        "/x",
        (),
        body,
        priority,
        Instant(deadline),
    )
    return replace(request, **changes)


def make_health(name, distance=Distance.ZONE, first_seen=START):
    return RunnerHealth(UpstreamId(name), distance, first_seen, listed_at_start=False)


def test_refuses_a_customer_over_its_rate_and_says_when_to_retry():
    policy = RequestPolicy(customer_requests_per_second=10.0, customer_burst=1.0)
    queue = ServiceQueue()
    admit_request(queue, make_request(1), policy, START)
    with pytest.raises(RequestFailed) as failure:
        admit_request(queue, make_request(2), policy, START)
    assert failure.value.reason is FailureReason.LIMIT_REACHED
    assert failure.value.retry_after_ms == 100
    admit_request(queue, make_request(3), policy, Instant(START + 100))


def test_refuses_a_customer_over_its_concurrency_without_touching_another():
    policy = RequestPolicy(customer_in_flight=1)
    queue = ServiceQueue()
    first = make_request(1)
    admit_request(queue, first, policy, START)
    with pytest.raises(RequestFailed):
        admit_request(queue, make_request(2), policy, START)
    admit_request(queue, make_request(3, customer=CustomerId("grants")), policy, START)
    release_request(queue, first)
    admit_request(queue, make_request(4), policy, START)


def test_the_number_of_tracked_customers_is_bounded():
    policy = RequestPolicy(customer_burst=1.0, customer_requests_per_second=1.0)
    queue = ServiceQueue()
    for number in range(MAX_TRACKED_CUSTOMERS):
        request = make_request(number, customer=CustomerId(str(number)))
        admit_request(queue, request, policy, START)
        release_request(queue, request)
    new_customer_request = make_request(0, customer=CustomerId("newcomer"))
    with pytest.raises(RequestFailed):
        admit_request(queue, new_customer_request, policy, START)
    admit_request(queue, new_customer_request, policy, Instant(START + 1_000))
    assert len(queue.customers) == 1


def test_one_request_at_a_time_probes_a_table_that_was_unavailable():
    breaker = TableCircuitBreaker()
    assert breaker.allow_call(START)
    assert breaker.allow_call(START)
    breaker.record_result(False, START)
    assert not breaker.allow_call(START)
    later = Instant(START + RETRY_AFTER_MS)
    assert [breaker.allow_call(later) for _ in range(3)] == [True, False, False]
    breaker.record_result(True, later)
    assert breaker.allow_call(later)


def test_urgent_requests_go_first_and_displace_waiting_ones_when_the_queue_is_full():
    policy = RequestPolicy(queue_bytes=10)
    queue = ServiceQueue()
    old, new = make_request(1, body=b"12"), make_request(2, body=b"34")
    assert enqueue_request(queue, old, 8, policy, START) == ()
    assert enqueue_request(queue, new, 8, policy, START) == ()
    urgent = make_request(3, Priority.URGENT, body=b"567")
    assert enqueue_request(queue, urgent, 8, policy, START) == (new,)
    assert pop_next_request(queue) is urgent
    assert pop_next_request(queue) is old
    assert pop_next_request(queue) is None
    assert queue.queued_bytes == 0


def test_refuses_at_once_what_would_begin_after_its_deadline():
    queue = ServiceQueue(average_run_ms=100.0)
    enqueue_request(queue, make_request(1), 1, RequestPolicy(), START)
    with pytest.raises(RequestFailed) as failure:
        enqueue_request(queue, make_request(2, deadline=START + 150), 1, RequestPolicy(), START)
    assert failure.value.reason is FailureReason.OVERLOADED
    assert failure.value.retry_after_ms > 0


def test_retries_stay_within_a_budget_and_skip_requests_that_must_not_run_twice():
    policy = RequestPolicy(retry_burst=2.0, retry_ratio=0.5)
    budget = create_retry_budget(policy)
    post, get = make_request(1), make_request(2, method="GET")
    keyed = make_request(3, method="PUT", idempotency_key="k")
    assert not try_spend_retry(budget, post, Outcome.UNKNOWN)
    assert not try_spend_retry(budget, keyed, Outcome.UNKNOWN)
    assert try_spend_retry(budget, post, Outcome.NOT_RUN)
    assert try_spend_retry(budget, get, Outcome.UNKNOWN)
    assert not try_spend_retry(budget, get, Outcome.NOT_RUN)
    add_retry_credit(budget, policy)
    add_retry_credit(budget, policy)
    assert try_spend_retry(budget, get, Outcome.NOT_RUN)


def test_ejection_never_empties_the_pool():
    policy = RequestPolicy()
    pool = tuple(make_health(str(i)) for i in range(8))
    for health in pool:
        for _ in range(3 * policy.eject_after_failures):
            record_failure(pool, health, policy, START)
    assert sum(is_in_pool(health, START) for health in pool) == 4
    assert all(is_in_pool(health, Instant(START + policy.eject_ms)) for health in pool)


def test_a_runner_that_fails_again_is_ejected_for_longer():
    policy = RequestPolicy()
    pool = (make_health("a"), make_health("b"))
    for _ in range(policy.eject_after_failures):
        record_failure(pool, pool[0], policy, START)
    first_ejection_end = pool[0].ejected_until
    assert record_failure(pool, pool[0], policy, first_ejection_end)
    assert pool[0].ejected_until == first_ejection_end + 2 * policy.eject_ms
    record_success(pool[0], 5.0)
    assert pool[0].failures_in_row == 0


def test_a_new_runner_reaches_its_slot_limit_gradually():
    policy = RequestPolicy(slow_start_ms=1_000)
    health = make_health("new")
    limits = [apply_slow_start(health, 8, policy, Instant(START + ms)) for ms in (0, 500, 1_000)]
    assert limits == [1, 4, 8]


def test_prefers_its_own_zone_then_the_least_load():
    busy, slow, far = make_health("busy"), make_health("slow"), make_health("far", Distance.REGION)
    slow.latency_ms = 500.0
    candidates = (Candidate(slow, 0, 8), Candidate(busy, 3, 8), Candidate(far, 0, 8))
    chosen = choose_runner(candidates)
    assert chosen is not None
    assert chosen.health is busy


def test_leaves_the_region_only_if_policy_allows_it_the_wait_is_long_and_the_body_is_small():
    policy = RequestPolicy()
    assert may_leave_region(policy, 1_000, policy.cross_region_wait_ms + 1)
    assert not may_leave_region(policy, 1_000, policy.cross_region_wait_ms)
    assert not may_leave_region(policy, policy.cross_region_body_bytes + 1, 10_000)
    own_region_policy = RequestPolicy(region_policy=RegionPolicy.OWN_REGION)
    assert not may_leave_region(own_region_policy, 1_000, 10_000)


def test_an_urgent_request_overtakes_waiting_ones():
    async def scenario():
        async with open_cell(slots=1, service_ms=50.0) as cell:
            first = asyncio.create_task(cell.call("host-1", "/first"))
            await wait_until(cell.list_runs)
            waiting = [asyncio.create_task(cell.call("host-1", "/waits")) for _ in range(3)]
            service = cell.hosts["host-1"].registry.services["boxplanner"]
            await wait_until(lambda: service.queue.count_waiting() == 3)
            await cell.call("host-1", "/urgent", x_priority="urgent")
            await asyncio.gather(first, *waiting)
            assert [run["target"] for run in cell.list_runs()][:2] == ["/first", "/urgent"]

    asyncio.run(scenario())


def test_waiting_normal_requests_leave_a_slot_free_for_urgent_ones():
    async def scenario():
        async with open_cell(runners=5, service_ms=300.0) as cell:
            await cell.call("host-1", "/wakes", x_priority="urgent")
            calls = [asyncio.create_task(cell.call("host-1", "/normal")) for _ in range(60)]
            await wait_until(lambda: len(cell.list_runs()) == 39)
            urgent = asyncio.create_task(cell.call("host-1", "/urgent", x_priority="urgent"))
            await wait_until(lambda: len(cell.list_runs()) >= 40)
            assert cell.hosts["host-1"].registry.services["boxplanner"].count_in_flight() == 39
            await asyncio.gather(urgent, *calls)
            assert cell.count_excess() == 0

    asyncio.run(scenario())


def test_overload_is_shed_at_once_and_what_is_shed_did_not_run():
    async def scenario():
        policy = replace(TEST_POLICY, queue_wait_ms=200)
        async with open_cell(slots=2, service_ms=40.0, policy=policy) as cell:
            calls = [cell.call("host-1", f"/{i}") for i in range(100)]
            responses = await asyncio.gather(*calls)
            refused = [r for r in responses if r.status != 200]
            ran = {run["request"] for run in cell.list_runs()}
            assert refused
            for response in refused:
                assert read_failure(response)[1] == "not-run"
                assert int(response.get_header("retry-after")) >= 1
                assert response.get_header("x-request-id") not in ran
            assert len(ran) + len(refused) == 100
            assert cell.count_excess() == 0

    asyncio.run(scenario())


def test_work_is_dropped_when_its_caller_has_gone():
    async def scenario():
        async with open_cell(slots=1, service_ms=200.0) as cell:
            first = asyncio.create_task(cell.call("host-1", "/first"))
            await wait_until(cell.list_runs)
            gone = asyncio.create_task(cell.call("host-1", "/gone"))
            service = cell.hosts["host-1"].registry.services["boxplanner"]
            await wait_until(lambda: service.queue.count_waiting() == 1)
            gone.cancel()
            await wait_until(lambda: service.queue.count_waiting() == 0)
            await first
            await cell.call("host-1", "/last")
            assert [run["target"] for run in cell.list_runs()] == ["/first", "/last"]

    asyncio.run(scenario())


def test_a_slot_stays_taken_while_the_runner_works_on_what_its_caller_gave_up():
    async def scenario():
        async with open_cell(slots=1, service_ms=200.0) as cell:
            late = await cell.call("host-1", x_deadline_ms="50")
            assert read_failure(late)[1] == "unknown"
            assert (await cell.call("host-1")).status == 200
            assert cell.count_excess() == 0

    asyncio.run(scenario())


def test_a_leaving_runner_gets_no_new_work_and_finishes_what_it_has():
    async def scenario():
        async with open_cell(runners=2, service_ms=100.0) as cell:
            calls = [asyncio.create_task(cell.call("host-1", f"/{i}")) for i in range(12)]
            await wait_until(lambda: len(cell.list_runs()) == 12)
            runs_before = len(cell.runners["runner-0"].request_log)
            cell.listed["runner-0"] = replace(cell.listed["runner-0"], leaving=True)
            cell.publish()
            more = [cell.call("host-1", f"/more-{i}") for i in range(8)]
            responses = await asyncio.gather(*calls, *more)
            assert {r.status for r in responses} == {200}
            assert len(cell.runners["runner-0"].request_log) == runs_before

    asyncio.run(scenario())


def test_a_new_entry_in_the_list_replaces_a_runner_at_another_address():
    async def scenario():
        async with open_cell() as cell:
            await cell.call("host-1")
            old = cell.runners["runner-0"]
            await cell.add_runner("runner-0")
            response = await cell.call("host-1", "/second")
            assert json.loads(response.body)["target"] == "/second"
            assert len(old.request_log) == 1

    asyncio.run(scenario())


def test_silent_connections_are_replaced_before_a_request_uses_them():
    async def scenario():
        policy = replace(TEST_POLICY, probe_every_ms=50, probe_timeout_ms=100)
        async with open_cell(policy=policy) as cell:
            await asyncio.gather(*(cell.call("host-1") for _ in range(4)))
            state = cell.runners["runner-0"]
            silent = set(state.open_connections)
            state.silenced_connections |= silent
            await wait_until(lambda: not (silent & state.open_connections))
            assert (await cell.call("host-1", x_deadline_ms="2000")).status == 200

    asyncio.run(scenario())


def test_a_planned_stop_of_an_entry_host_cuts_off_no_request():
    async def scenario():
        async with open_cell(service_ms=150.0) as cell:
            calls = [asyncio.create_task(cell.call("host-1", f"/{i}")) for i in range(20)]
            await wait_until(lambda: len(cell.list_runs()) >= 4)
            await cell.hosts["host-1"].drain(10.0)
            responses = await asyncio.gather(*calls)
            assert [r.status for r in responses] == [200] * 20

    asyncio.run(scenario())


def test_a_request_on_a_connection_that_looked_idle_is_answered_during_a_planned_stop():
    async def scenario():
        async with open_cell() as cell:
            host = cell.hosts["host-1"]
            reader, writer = await asyncio.open_connection("127.0.0.1", host.get_port())
            await asyncio.sleep(0.05)
            stop = asyncio.create_task(host.drain(10.0))
            await asyncio.sleep(0.05)
            writer.write(b"GET /services/boxplanner/x HTTP/1.1\r\nhost: a\r\nx-customer: c\r\n\r\n")
            answer = await reader.read(-1)
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"connection: close" in answer.lower()
            await stop
            writer.close()

    asyncio.run(scenario())


def test_a_cancelled_probe_leaves_the_breaker_open_for_the_next_probe():
    breaker = TableCircuitBreaker()
    breaker.record_result(False, START)
    later = Instant(START + RETRY_AFTER_MS)
    assert breaker.allow_call(later)
    breaker.abandon_call()
    assert breaker.is_open()
    assert [breaker.allow_call(later) for _ in range(2)] == [True, False]


def test_a_refused_urgent_request_reserves_no_slots():
    policy = RequestPolicy(queue_bytes=5, urgent_reserve_fraction=0.5)
    queue = ServiceQueue()
    with pytest.raises(RequestFailed):
        enqueue_request(queue, make_request(1, Priority.URGENT, body=b"123456"), 8, policy, START)
    assert count_reserved_slots(queue, 8, policy, START) == 0
    enqueue_request(queue, make_request(2, Priority.URGENT), 8, policy, START)
    assert count_reserved_slots(queue, 8, policy, START) == 4

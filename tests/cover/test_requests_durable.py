"""Idempotency keys and deferred requests while the table, entry hosts or runners fail."""

import asyncio
import json
from dataclasses import replace

from lentilpath_core.requests.keys import KEY_PREFIX, KEY_RETENTION_MS
from lentilpathd._clock import read_wall_time
from tests.common.requests import TEST_POLICY, open_cell, read_failure, wait_until

HOSTS = {"host-1": "a", "host-2": "a"}
SHORT_RUN_POLICY = replace(TEST_POLICY, max_run_ms=400)


def test_the_same_key_through_any_host_runs_once_and_gets_the_first_answer():
    async def scenario():
        async with open_cell(hosts=HOSTS, service_ms=30.0) as cell:
            calls = [
                cell.call(host, body=b"notice", idempotency_key="k-1")
                for host in ("host-1", "host-2", "host-1", "host-2")
            ]
            answers = {r.body for r in await asyncio.gather(*calls)}
            answers.add((await cell.call("host-2", body=b"notice", idempotency_key="k-1")).body)
            assert len(answers) == 1
            assert len(cell.list_runs()) == 1

    asyncio.run(scenario())


def test_a_key_is_never_shared_between_customers_or_unlike_requests():
    async def scenario():
        async with open_cell() as cell:
            await cell.call("host-1", body=b"1", idempotency_key="k")
            other = await cell.call("host-1", body=b"1", idempotency_key="k", x_customer="grants")
            reused = await cell.call("host-1", body=b"2", idempotency_key="k")
            assert other.status == 200
            assert read_failure(reused) == ("key-reused", "not-run")
            assert len(cell.list_runs()) == 2

    asyncio.run(scenario())


def test_a_keyed_request_is_refused_at_once_as_not_run_while_the_table_is_down():
    async def scenario():
        async with open_cell() as cell:
            cell.table.down = True
            keyed = await cell.call("host-1", idempotency_key="k")
            unkeyed = await cell.call("host-1")
            assert read_failure(keyed) == ("table-unavailable", "not-run")
            assert int(keyed.get_header("retry-after")) >= 1
            assert unkeyed.status == 200
            assert len(cell.list_runs()) == 1

    asyncio.run(scenario())


def test_a_keyed_request_runs_once_when_the_table_s_answers_are_lost():
    async def scenario():
        async with open_cell(hosts=HOSTS) as cell:
            cell.table.lose_answers = 1
            first = await cell.call("host-1", idempotency_key="k")
            second = await cell.call("host-2", idempotency_key="k")
            assert first.status == 200
            assert second.body == first.body
            assert len(cell.list_runs()) == 1

    asyncio.run(scenario())


def test_a_keyed_request_of_unknown_outcome_stays_unknown_through_any_host():
    async def scenario():
        async with open_cell(hosts=HOSTS) as cell:
            cell.runners["runner-0"].cut = 1
            for host in ("host-1", "host-2"):
                response = await cell.call(host, method="PUT", idempotency_key="k")
                assert read_failure(response) == ("outcome-unknown", "unknown")
            assert len(cell.list_runs()) == 1

    asyncio.run(scenario())


def test_a_keyed_request_that_did_not_run_may_run_later():
    async def scenario():
        async with open_cell() as cell:
            cell.runners["runner-0"].leaving = True
            first = await cell.call("host-1", idempotency_key="k")
            assert read_failure(first)[1] == "not-run"
            cell.runners["runner-0"].leaving = False
            health = next(iter(cell.hosts["host-1"].registry.list_runners())).health
            health.leaving = False
            await wait_until(lambda: not cell.table.rows)
            assert (await cell.call("host-1", idempotency_key="k")).status == 200

    asyncio.run(scenario())


def test_the_answer_is_recorded_when_the_table_comes_back():
    async def scenario():
        async with open_cell(hosts=HOSTS, service_ms=100.0) as cell:
            call = asyncio.create_task(cell.call("host-1", idempotency_key="k"))
            await wait_until(lambda: cell.list_runs())
            cell.table.down = True
            first = await call
            await asyncio.sleep(0.3)
            cell.table.down = False
            await wait_until(lambda: "answered" in str(cell.table.rows))
            assert (await cell.call("host-2", idempotency_key="k")).body == first.body
            assert len(cell.list_runs()) == 1

    asyncio.run(scenario())


def test_old_records_are_swept_and_young_ones_are_kept():
    async def scenario():
        async with open_cell() as cell:
            await cell.call("host-1", idempotency_key="k")
            await wait_until(lambda: "answered" in str(cell.table.rows))
            sweeper = cell.hosts["host-1"]._sweeper
            now = read_wall_time()
            await sweeper.sweep_page(KEY_PREFIX, now)
            assert len(cell.table.rows) == 1
            await sweeper.sweep_page(KEY_PREFIX, now + KEY_RETENTION_MS + 1_000)
            assert not cell.table.rows

    asyncio.run(scenario())


async def read_state(cell, host, accepted):
    status_path = accepted.get_header("location")
    response = await cell.call(host, status_path, method="GET", timeout=20.0)
    return json.loads(response.body)["state"]


async def wait_for_state(cell, host, accepted, expected_states):
    async with asyncio.timeout(20.0):
        while True:
            state = await read_state(cell, host, accepted)
            if state in expected_states:
                return state
            await asyncio.sleep(0.02)


def test_a_deferred_request_is_delivered_once_and_any_host_reports_its_state():
    async def scenario():
        async with open_cell(hosts=HOSTS) as cell:
            accepted = await cell.call("host-1", prefer="respond-async", idempotency_key="s-1")
            again = await cell.call("host-2", prefer="respond-async", idempotency_key="s-1")
            assert accepted.status == again.status == 202
            assert accepted.get_header("location") == again.get_header("location")
            assert await wait_for_state(cell, "host-2", accepted, {"delivered"})
            assert len(cell.list_runs()) == 1

    asyncio.run(scenario())


def test_a_deferred_request_waits_until_a_runner_takes_it():
    async def scenario():
        async with open_cell() as cell:
            await cell.stop_runner("runner-0")
            accepted = await cell.call("host-1", prefer="respond-async")
            assert accepted.status == 202
            await asyncio.sleep(0.2)
            await cell.restart_runner("runner-0")
            await wait_for_state(cell, "host-1", accepted, {"delivered"})
            assert len(cell.list_runs()) == 1

    asyncio.run(scenario())


def test_a_deferred_request_is_delivered_by_another_host_when_its_host_dies_before_sending():
    async def scenario():
        async with open_cell(hosts=HOSTS, policy=SHORT_RUN_POLICY) as cell:
            cell.hosts["host-1"]._deferred._stopping = True
            accepted = await cell.call("host-1", prefer="respond-async")
            await cell.kill_host("host-1")
            await wait_for_state(cell, "host-2", accepted, {"delivered"})
            assert len(cell.list_runs()) == 1

    asyncio.run(scenario())


def test_a_deferred_request_is_unknown_and_not_sent_again_when_its_host_dies_while_sending():
    async def scenario():
        async with open_cell(hosts=HOSTS, policy=SHORT_RUN_POLICY, service_ms=150.0) as cell:
            accepted = await cell.call("host-1", prefer="respond-async")
            await wait_until(lambda: cell.list_runs())
            await cell.kill_host("host-1")
            await wait_for_state(cell, "host-2", accepted, {"unknown"})
            assert len(cell.list_runs()) == 1

    asyncio.run(scenario())


def test_a_deferred_request_is_delivered_once_when_the_table_s_answers_are_lost():
    async def scenario():
        async with open_cell(hosts=HOSTS, policy=SHORT_RUN_POLICY) as cell:
            cell.table.lose_answers = 2
            accepted = await cell.call("host-1", prefer="respond-async")
            if accepted.status == 202:
                await wait_for_state(cell, "host-2", accepted, {"delivered"})
            else:
                assert read_failure(accepted)[1] == "unknown"
                await wait_until(lambda: "delivered" in str(cell.table.rows))
            assert len(cell.list_runs()) == 1

    asyncio.run(scenario())

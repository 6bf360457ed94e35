"""A caller's request through one entry host: the runner's answer, or the error without one."""

import asyncio
import json

from tests.common.requests import open_cell, read_failure, wait_until


def test_returns_the_runner_s_whole_answer():
    async def scenario():
        async with open_cell() as cell:
            response = await cell.call("host-1", "/plan?week=3", body=b"x" * 100_000)
            answer = json.loads(response.body)
            assert response.status == 200
            assert answer["target"] == "/plan?week=3"
            assert answer["body"] == "x" * 100_000

    asyncio.run(scenario())


def test_each_caller_gets_its_own_answer_when_answers_come_out_of_order():
    async def scenario():
        async with open_cell(runners=2) as cell:
            for runner in cell.runners.values():
                runner.delay_ms, runner.delay_odd = 60.0, True
            calls = [cell.call("host-1", f"/{i}", body=b"%d" % i) for i in range(60)]
            for number, response in enumerate(await asyncio.gather(*calls)):
                answer = json.loads(response.body)
                assert (answer["target"], answer["body"]) == (f"/{number}", str(number))
            assert cell.count_excess() == 0

    asyncio.run(scenario())


def test_never_returns_a_truncated_answer_as_complete():
    async def scenario():
        async with open_cell() as cell:
            cell.runners["runner-0"].cut = 1
            response = await cell.call("host-1")
            assert read_failure(response) == ("outcome-unknown", "unknown")
            assert len(cell.list_runs()) == 1

    asyncio.run(scenario())


def test_never_returns_an_overlong_answer_as_complete_nor_its_surplus_to_another_caller():
    async def scenario():
        async with open_cell() as cell:
            cell.runners["runner-0"].longer = 1
            first = await cell.call("host-1", "/1")
            second = await cell.call("host-1", "/2")
            assert read_failure(first) == ("outcome-unknown", "unknown")
            assert json.loads(second.body)["target"] == "/2"

    asyncio.run(scenario())


def test_sends_a_request_elsewhere_that_a_runner_refused_before_it_began():
    async def scenario():
        async with open_cell(runners=2) as cell:
            cell.runners["runner-0"].leaving = True
            responses = [await cell.call("host-1") for _ in range(6)]
            assert [r.status for r in responses] == [200] * 6
            assert len(cell.list_runs()) == 6

    asyncio.run(scenario())


def test_says_not_run_and_when_to_retry_if_no_runner_can_be_reached():
    async def scenario():
        async with open_cell() as cell:
            await cell.stop_runner("runner-0")
            response = await cell.call("host-1")
            assert read_failure(response)[1] == "not-run"
            assert int(response.get_header("retry-after")) >= 1
            assert cell.list_runs() == []

    asyncio.run(scenario())


def test_says_unknown_when_the_deadline_passes_after_the_request_was_sent():
    async def scenario():
        async with open_cell(service_ms=400.0) as cell:
            response = await cell.call("host-1", x_deadline_ms="50")
            assert read_failure(response) == ("outcome-unknown", "unknown")
            assert len(cell.list_runs()) == 1

    asyncio.run(scenario())


def test_a_part_that_failed_and_is_run_again_serves_callers():
    async def scenario():
        async with open_cell() as cell:
            host = cell.hosts["host-1"]
            await cell.call("host-1")
            run_task = cell.tasks["host-1"][0]
            run_task.cancel()
            await asyncio.gather(run_task, return_exceptions=True)
            assert not host.is_listening()
            cell.tasks["host-1"][0] = asyncio.create_task(host.run())
            await wait_until(host.is_listening)
            assert (await cell.call("host-1")).status == 200

    asyncio.run(scenario())


def test_a_non_idempotent_request_is_never_sent_twice():
    async def scenario():
        async with open_cell(runners=2) as cell:
            for runner in cell.runners.values():
                runner.cut = 1
            post = await cell.call("host-1")
            assert read_failure(post) == ("outcome-unknown", "unknown")
            assert len(cell.list_runs()) == 1
            get = await cell.call("host-1", method="GET")
            assert get.status == 200

    asyncio.run(scenario())

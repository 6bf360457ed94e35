"""A runner in a separate process, which is killed while it handles a request."""

import asyncio
import json
import sys
from dataclasses import replace

from lentilpath_core.settings import Address
from lentilpath_http import HttpError, HttpRequest, create_client
from lentilpath_standins._free_ports import allocate_port
from tests.common.requests import LOOPBACK, SERVICE, open_cell, read_failure


async def start_runner_process(port, service_ms):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "lentilpath_standins.runner", "--address", LOOPBACK, "--port", str(port)),
        *("--name", "runner-0", "--service", SERVICE, "--service-ms", str(service_ms)),
    )
    client = create_client(LOOPBACK, port)
    async with asyncio.timeout(30.0):
        while True:
            try:
                await client.send(HttpRequest("GET", "/log"), 1.0)
                break
            except HttpError:
                await asyncio.sleep(0.05)
    return process, client


async def wait_for_run(client):
    async with asyncio.timeout(30.0):
        while True:
            log = (await client.send(HttpRequest("GET", "/log"), 5.0)).parse_json()
            if log["requests"]:
                return log
            await asyncio.sleep(0.02)


def test_a_request_whose_runner_is_killed_is_unknown_and_the_next_one_is_not_run():
    async def scenario():
        port = allocate_port()
        process, client = await start_runner_process(port, 2_000.0)
        async with open_cell() as cell:
            listed = cell.listed["runner-0"]
            cell.listed["runner-0"] = replace(listed, address=Address(LOOPBACK, port))
            cell.publish()
            call = asyncio.create_task(cell.call("host-1", body=b"notice"))
            log = await wait_for_run(client)
            assert log["requests"][0]["body"] == "notice"
            process.kill()
            await process.wait()
            assert read_failure(await call) == ("outcome-unknown", "unknown")
            assert read_failure(await cell.call("host-1"))[1] == "not-run"
        client.close()

    asyncio.run(scenario())


def test_a_runner_process_answers_through_an_entry_host():
    async def scenario():
        port = allocate_port()
        process, client = await start_runner_process(port, 1.0)
        async with open_cell() as cell:
            listed = cell.listed["runner-0"]
            cell.listed["runner-0"] = replace(listed, address=Address(LOOPBACK, port))
            cell.publish()
            answer = json.loads((await cell.call("host-1", "/plan")).body)
            assert (answer["runner"], answer["target"]) == ("runner-0", "/plan")
        client.close()
        process.kill()
        await process.wait()

    asyncio.run(scenario())

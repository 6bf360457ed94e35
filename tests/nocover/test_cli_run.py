# mypy: no-check-untyped-defs
import asyncio
import json
import os
import subprocess
import sys
import threading
from contextlib import contextmanager

from lentilpath_http import serve_http
from tests.common.operators import create_cell


@contextmanager
def serving_cell(tls=None):
    """Serve the operator API of an in-memory cell's first host; yield its address and the cell."""
    loop = asyncio.new_event_loop()
    cell = loop.run_until_complete(create_cell())
    server = loop.run_until_complete(
        serve_http(cell.hosts["za-0"].operators.api.handle, "127.0.0.1", 0, tls=tls)
    )
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield f"127.0.0.1:{server.get_port()}", cell
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.run_until_complete(server.close(0))
        loop.close()


def run_lentilpath(*arguments, host="", **variables):
    environment = {**os.environ, "LENTILPATH_HOST": host, "LENTILPATH_SETTINGS": "/nonexistent"}
    environment.update(variables)
    return subprocess.run(
        [sys.executable, "-m", "lentilpath", *arguments],
        capture_output=True,
        text=True,
        env=environment,
        timeout=60,
        check=False,
    )


def test_prints_tables_for_people_and_json_for_programs():
    with serving_cell() as (host, _):
        submitted = run_lentilpath("submit batch j tasks=2 team=t customer=c zones=za", host=host)
        assert submitted.returncode == 0, submitted.stderr
        listed = run_lentilpath("jobs where team = t", host=host)
        assert "j    batch  t" in listed.stdout
        answer = json.loads(run_lentilpath("run", "--json", "jobs", host=host).stdout)
        assert answer["table"]["rows"][0][0] == "j"


def test_exit_codes_tell_what_went_wrong():
    assert run_lentilpath("jobs").returncode == 2
    assert run_lentilpath("jobs", host="127.0.0.1:1").returncode == 4
    with serving_cell() as (host, cell):
        misspelt = run_lentilpath("stpo job j", host=host)
        assert misspelt.returncode == 2
        assert "did you mean stop?" in misspelt.stderr
        cell.cut.add("zb-0")
        assert run_lentilpath("jobs", host=host).returncode == 8
        submit = "submit batch j team=t customer=c zones=za"
        assert run_lentilpath("run", submit, "--id", "a", host=host).returncode == 0
        assert run_lentilpath("run", submit, "--id", "b", host=host).returncode == 3
        cell.table.down = True
        assert run_lentilpath("run", submit, "--id", "c", host=host).returncode == 4

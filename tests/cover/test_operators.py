# mypy: no-check-untyped-defs
import asyncio
from functools import wraps

from tests.common.operators import NOW, create_cell

SUBMIT = (
    "submit batch nightly tasks=2 cpu=1 memory=1GiB run=2s team=packing customer=spoon zones=za"
)


def run_in_event_loop(test):
    @wraps(test)
    def run():
        asyncio.run(test())

    return run


@run_in_event_loop
async def test_acknowledges_a_submission_only_when_it_is_durable():
    cell = await create_cell()
    cell.table.down = True
    status, answer = await cell.hosts["zb-0"].run(SUBMIT)
    assert (status, answer["error"]) == (503, "table-unavailable")
    cell.table.down = False
    cell.hosts["za-0"].zone.leading = False
    status, answer = await cell.hosts["zb-0"].run(SUBMIT, id="c1")
    assert (status, answer["outcome"]) == (200, "accepted")
    assert "inbox/za/c1" in cell.table.rows


@run_in_event_loop
async def test_answers_what_ran_where_and_why():
    cell = await create_cell()
    status, answer = await cell.hosts["zb-0"].run(SUBMIT)
    assert (status, answer["outcome"]) == (200, "done")
    cell.hosts["za-0"].zone.run_attempt("nightly/0", 1, NOW, NOW + 2_000)
    _, answer = await cell.hosts["zb-0"].run("tasks where team = packing and state = succeeded")
    assert [row[0] for row in answer["table"]["rows"]] == ["nightly/0"]
    _, answer = await cell.hosts["zb-0"].run("why task nightly/0")
    assert "first fit" in answer["table"]["rows"][0]
    _, answer = await cell.hosts["zb-0"].run("history job nightly")
    events = [row[2] for row in answer["table"]["rows"]]
    assert sorted(events) == ["accepted", "placed", "started", "succeeded"]


@run_in_event_loop
async def test_a_repeated_command_has_no_second_effect():
    cell = await create_cell()
    await cell.hosts["za-0"].run(SUBMIT, id="c1")
    status, answer = await cell.hosts["zb-0"].run(SUBMIT, id="c1")
    assert status == 200
    assert not [key for key in cell.table.rows if key.startswith("inbox/")]
    status, answer = await cell.hosts["zb-0"].run("stop job nightly", id="c1")
    assert (status, answer["error"]) == (409, "conflict")
    assert "nightly" in answer["message"]


@run_in_event_loop
async def test_a_lost_answer_of_the_table_neither_loses_nor_doubles_a_command():
    cell = await create_cell()
    cell.table.lose_answers = 2
    status, _ = await cell.hosts["zb-0"].run(SUBMIT)
    assert status == 200
    _, answer = await cell.hosts["zb-0"].run("jobs")
    assert len(answer["table"]["rows"]) == 1


@run_in_event_loop
async def test_tells_by_whom_a_job_name_is_taken():
    cell = await create_cell()
    await cell.hosts["za-0"].post(
        "/v1/commands", {"command": SUBMIT}, [("x-lentilpath-operator", "mira")]
    )
    status, answer = await cell.hosts["zb-0"].run(SUBMIT)
    assert (status, answer["error"]) == (409, "conflict")
    assert "mira" in answer["message"]


@run_in_event_loop
async def test_a_dry_run_changes_nothing_and_counts_the_tasks():
    cell = await create_cell()
    await cell.hosts["za-0"].run(SUBMIT)
    before = dict(cell.table.rows)
    _, answer = await cell.hosts["zb-0"].run("stop job nightly", dry_run=True)
    assert answer["outcome"] == "dry-run"
    assert "2 tasks" in answer["message"]
    assert cell.table.rows == before


@run_in_event_loop
async def test_names_the_zones_that_did_not_answer():
    cell = await create_cell()
    cell.cut.add("zb-0")
    status, answer = await cell.hosts["za-0"].run("jobs")
    assert (status, answer["partial"]) == (200, ["zb"])
    status, answer = await cell.hosts["za-0"].run("why task x/0")
    assert (status, answer["error"]) == (503, "no-leader")


@run_in_event_loop
async def test_refuses_unusable_bodies_with_typed_errors():
    cell = await create_cell()
    host = cell.hosts["za-0"]
    for body in (b"", b"{", b"[]", b'{"command": 4}', b'{"cmd": "jobs"}', b"\xff", b"[" * 9_000):
        status, answer = await host.post("/v1/commands", body)
        assert (status, answer["error"]) == (400, "invalid-command")
    status, answer = await host.run("jobs", id="a/b")
    assert (status, answer["error"]) == (400, "invalid-command")
    status, answer = await host.run("stop jbo x")
    assert (status, answer["column"]) == (400, 6)
    status, answer = await host.post("/v1/nothing", {})
    assert (status, answer["error"]) == (404, "unknown-route")
    status, answer = await host.run("drain worker w-99")
    assert (status, answer["error"]) == (404, "unknown-name")
    status, answer = await host.run("submit batch j team=t customer=c zones=moon")
    assert (status, answer["error"]) == (400, "invalid-job")


@run_in_event_loop
async def test_a_stale_expected_version_is_refused_naming_the_operator_and_command():
    cell = await create_cell()
    first, second = cell.hosts["za-0"], cell.hosts["zb-0"]
    _, preview = await first.run("drain worker w-1", dry_run=True)
    version = preview["version"]
    mira = [("x-lentilpath-operator", "mira")]
    body = {"command": "drain worker w-1", "expect_version": version}
    status, answer = await first.post("/v1/commands", body, mira)
    assert status == 200
    assert answer["version"] > version
    status, refused = await second.run("undrain worker w-1", expect_version=version)
    assert (status, refused["error"]) == (409, "conflict")
    assert "mira" in refused["message"]
    assert "drain worker w-1" in refused["message"]
    status, _ = await second.run("undrain worker w-1", expect_version=answer["version"])
    assert status == 200


@run_in_event_loop
async def test_concurrent_stops_without_an_expected_version_all_succeed():
    cell = await create_cell()
    await cell.hosts["za-0"].run(SUBMIT)
    answers = await asyncio.gather(
        *(host.run("stop job nightly") for host in cell.hosts.values() for _ in range(2))
    )
    assert [status for status, _ in answers] == [200] * 4


@run_in_event_loop
async def test_a_job_goes_to_the_host_s_region_while_resources_are_free_there():
    cell = await create_cell()
    for host in cell.hosts.values():
        host.zone.offer_worker(millicores=4_000)
    command = "submit batch {} cpu=3 memory=1GiB team=t customer=c"
    _, first = await cell.hosts["zb-0"].run(command.format("first"), dry_run=True)
    assert "zone zb" in first["message"]
    cell.hosts["zb-0"].zone.add_running_task("zb-busy")
    cell.hosts["zb-0"].operators.api._changes.zone_chooser._digests.clear()
    _, second = await cell.hosts["zb-0"].run(command.format("second"), dry_run=True)
    assert "zone za" in second["message"]
    status, answer = await cell.hosts["zb-0"].run(
        "submit batch huge cpu=64 memory=1GiB team=t customer=c"
    )
    assert (status, answer["error"]) == (400, "invalid-job")


@run_in_event_loop
async def test_a_zone_that_has_not_found_its_workers_yet_refuses_no_job():
    cell = await create_cell()
    _, answer = await cell.hosts["za-0"].run("submit batch j team=t customer=c", dry_run=True)
    assert answer["outcome"] == "dry-run"


@run_in_event_loop
async def test_a_submission_is_durable_though_no_zone_answers():
    cell = await create_cell()
    for host in cell.hosts.values():
        host.zone.leading = False
    status, answer = await cell.hosts["za-0"].run("submit batch j team=t customer=c", id="c1")
    assert (status, answer["outcome"]) == (200, "accepted")
    assert [key for key in cell.table.rows if key.startswith("inbox/")]

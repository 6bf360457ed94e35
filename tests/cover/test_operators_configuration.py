# mypy: no-check-untyped-defs
import asyncio
import json

from lentilpathd._operators import create_configuration_keeper
from tests.common.operators import create_cell
from tests.cover.test_operators import SUBMIT, run_in_event_loop

FIRST_DOCUMENT = {"teams": {"packing": {"quota": {"millicores": 1_000}}}}


async def apply(host, document, **fields):
    return await host.post("/v1/config/apply", {"text": json.dumps(document), **fields})


async def list_versions(cell):
    return {name: host.operators.configuration.get_version() for name, host in cell.hosts.items()}


@run_in_event_loop
async def test_an_accepted_version_is_durable_and_in_force_on_every_host():
    cell = await create_cell(("za", "zb", "zc"), hosts_per_zone=3)
    status, answer = await apply(cell.hosts["zb-1"], FIRST_DOCUMENT)
    assert (status, answer["version"]) == (200, 1)
    assert "9 of 9 hosts" in answer["message"]
    assert set((await list_versions(cell)).values()) == {1}
    assert "config/version/000000000001" in cell.table.rows
    status, answer = await cell.hosts["za-0"].run("set quota team packing cpu=2")
    assert answer["version"] == 2
    current = cell.hosts["zc-2"].operators.configuration.get_current()
    assert current.teams["packing"].quota.millicores == 2_000


@run_in_event_loop
async def test_nothing_is_in_force_that_is_not_durable():
    cell = await create_cell()
    cell.table.down = True
    status, answer = await apply(cell.hosts["za-0"], FIRST_DOCUMENT)
    assert (status, answer["error"]) == (503, "table-unavailable")
    assert set((await list_versions(cell)).values()) == {0}


@run_in_event_loop
async def test_a_change_whose_answer_was_lost_makes_one_version():
    cell = await create_cell()
    cell.table.lose_answers = 1
    status, answer = await apply(cell.hosts["za-0"], FIRST_DOCUMENT, id="c1")
    assert (status, answer["version"]) == (200, 1)
    status, answer = await apply(cell.hosts["zb-0"], FIRST_DOCUMENT, id="c1")
    assert set((await list_versions(cell)).values()) == {1}


@run_in_event_loop
async def test_a_host_that_missed_versions_finds_them_at_a_peer_or_the_table():
    cell = await create_cell(("za", "zb"), hosts_per_zone=2)
    await apply(cell.hosts["za-0"], FIRST_DOCUMENT)
    cell.cut.update(("zb-0", "zb-1"))
    for cores in (2, 3, 4):
        await cell.hosts["za-0"].run(f"set quota team packing cpu={cores}")
    assert (await list_versions(cell))["zb-0"] == 1
    cell.cut.clear()
    await cell.hosts["zb-0"].operators.configuration.refresh()
    assert (await list_versions(cell))["zb-0"] == 4
    cell.table.down = True
    await cell.hosts["zb-1"].operators.configuration.refresh()
    assert (await list_versions(cell))["zb-1"] == 4


@run_in_event_loop
async def test_a_host_never_goes_back_to_a_lower_version():
    cell = await create_cell(("za",), hosts_per_zone=3)
    await apply(cell.hosts["za-0"], FIRST_DOCUMENT)
    keeper = cell.hosts["za-1"].operators.configuration
    old_snapshot, old_change = keeper.get_snapshot(), keeper._changes[0]
    await cell.hosts["za-0"].run("set quota team packing cpu=2")
    keeper.install_snapshot(old_snapshot, "stale peer")
    assert keeper.install_change(old_change, "stale peer")
    assert keeper.get_version() == 2


@run_in_event_loop
async def test_a_host_that_starts_in_an_outage_is_not_set_back_by_a_stale_peer():
    for stale in ("za-0", "za-2"):
        cell = await create_cell(("za",), hosts_per_zone=3)
        await apply(cell.hosts["za-1"], FIRST_DOCUMENT)
        stale_keeper = cell.hosts[stale].operators.configuration
        old_snapshot, old_changes = stale_keeper.get_snapshot(), stale_keeper._changes.copy()
        await cell.hosts["za-1"].run("set quota team packing cpu=2")
        stale_keeper._snapshot, stale_keeper._changes = old_snapshot, old_changes
        cell.table.down = True
        restarted = create_configuration_keeper(cell.hosts["za-1"].context)
        await restarted.refresh()
        assert restarted.get_version() == 2


@run_in_event_loop
async def test_a_host_that_knows_no_configuration_refuses_commands():
    cell = await create_cell(("za",), hosts_per_zone=2)
    host = cell.hosts["za-0"]
    cell.table.down = True
    cell.cut.add("za-1")
    host.operators.configuration._known = False
    await host.operators.configuration.refresh()
    status, answer = await host.run("jobs")
    assert (status, answer["error"]) == (503, "configuration-unknown")
    cell.cut.clear()
    await host.operators.configuration.refresh()
    status, _ = await host.run("zones")
    assert status == 200


@run_in_event_loop
async def test_a_conflicting_version_is_refused_naming_the_operator_and_command():
    cell = await create_cell()
    await apply(cell.hosts["za-0"], FIRST_DOCUMENT)
    status, answer = await apply(cell.hosts["zb-0"], {}, expect_version=0)
    assert (status, answer["error"]) == (409, "conflict")
    assert "anonymous" in answer["message"]
    assert "config apply" in answer["message"]
    answers = await asyncio.gather(
        *(apply(host, {"teams": {name: {}}}, expect_version=1) for name, host in cell.hosts.items())
    )
    assert sorted(status for status, _ in answers) == [200, 409]


@run_in_event_loop
async def test_a_rollback_is_a_new_version_with_the_old_document():
    cell = await create_cell()
    host = cell.hosts["za-0"]
    await apply(host, FIRST_DOCUMENT)
    await host.run("set quota team packing cpu=8")
    status, answer = await host.post("/v1/config/rollback", {"version": 1})
    assert (status, answer["version"]) == (200, 3)
    assert host.operators.configuration.get_snapshot().document == FIRST_DOCUMENT
    _, answer = await host.post("/v1/config/history", b"", method="GET")
    assert [row[3] for row in answer["table"]["rows"]] == [
        "config rollback 1",
        "set quota team packing cpu=8",
        "config apply",
    ]
    status, answer = await host.post("/v1/config/rollback", {"version": 9})
    assert (status, answer["error"]) == (404, "unknown-name")


@run_in_event_loop
async def test_a_dry_run_and_a_diff_show_what_would_change():
    cell = await create_cell()
    host = cell.hosts["za-0"]
    await apply(host, FIRST_DOCUMENT)
    changed = {"teams": {"packing": {"quota": {"millicores": 5}}}}
    for path, fields in (("apply", {"dry_run": True}), ("diff", {})):
        body = {"text": json.dumps(changed), **fields}
        status, answer = await host.post(f"/v1/config/{path}", body)
        assert status == 200
        assert answer["table"]["rows"] == [["teams.packing.quota.millicores", "1000", "5"]]
    assert host.operators.configuration.get_version() == 1


@run_in_event_loop
async def test_every_problem_of_a_configuration_is_in_the_answer():
    cell = await create_cell()
    body = {"text": "{teems: {}, customers: {c: {price_rule: 1}}}"}
    for path in ("check", "diff", "apply"):
        status, answer = await cell.hosts["za-0"].post(f"/v1/config/{path}", body)
        assert (status, answer["error"]) == (400, "invalid-configuration")
        assert len(answer["problems"]) == 2
    for broken in (b"", b"[]", b'{"txt": ""}', b'{"text": 1}'):
        status, answer = await cell.hosts["za-0"].post("/v1/config/apply", broken)
        assert (status, answer["error"]) == (400, "invalid-input")


@run_in_event_loop
async def test_amounts_of_a_price_rule_that_was_in_force_cannot_change():
    cell = await create_cell()
    host = cell.hosts["za-0"]
    await apply(host, {"price_rules": {"standard": {"per_core_hour_micros": 1}}})
    status, answer = await apply(host, {"price_rules": {"standard": {"per_core_hour_micros": 2}}})
    assert (status, answer["error"]) == (400, "invalid-configuration")


@run_in_event_loop
async def test_status_lists_the_version_of_each_host_and_the_hosts_that_are_cut_off():
    cell = await create_cell(("za", "zb"))
    await apply(cell.hosts["za-0"], FIRST_DOCUMENT)
    cell.cut.add("zb-0")
    _, answer = await cell.hosts["za-0"].post("/v1/config/status", b"", method="GET")
    rows = {row[0]: row for row in answer["table"]["rows"]}
    assert (rows["za-0"][2], rows["za-0"][6]) == (1, "")
    assert rows["zb-0"][6] == "no answer"
    cell.hosts["zb-0"].operators.configuration._confirmed_at = None
    _, answer = await cell.hosts["zb-0"].post("/v1/config/status", b"", method="GET")
    rows = {row[0]: row for row in answer["table"]["rows"]}
    assert "cut off" in rows["zb-0"][6]


@run_in_event_loop
async def test_teams_show_their_quota_and_their_work():
    cell = await create_cell()
    await apply(cell.hosts["za-0"], FIRST_DOCUMENT)
    await cell.hosts["za-0"].run(SUBMIT)
    await cell.hosts["za-0"].run("submit batch j team=menus customer=spoon zones=zb")
    _, answer = await cell.hosts["zb-0"].run("teams")
    assert answer["table"]["rows"] == [["menus", 0, 0, 0, 1, 1], ["packing", 1_000, 0, 0, 1, 2]]


@run_in_event_loop
async def test_listeners_are_called_once_per_version():
    cell = await create_cell()
    notified_versions = []
    keeper = cell.hosts["zb-0"].operators.configuration
    keeper.add_listener(lambda: notified_versions.append(keeper.get_version()))
    await apply(cell.hosts["za-0"], FIRST_DOCUMENT)
    await keeper.refresh()
    assert notified_versions == [1]

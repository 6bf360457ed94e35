# mypy: no-check-untyped-defs
import json

import pytest

from lentilpath_core.access import (
    ExpiredKey,
    Forbidden,
    KeySettings,
    MissingKey,
    Principal,
    Role,
    UnknownKey,
    authenticate_key,
    check_permission,
    hash_key,
)
from lentilpath_core.ids import TeamId
from lentilpath_core.language import parse_command
from tests.common.operators import create_cell
from tests.cover.test_operators import SUBMIT, run_in_event_loop

NOW = 1_796_108_400_000
KEYS = {
    "mira": KeySettings(hash_key("m"), Role.READER),
    "olaf": KeySettings(hash_key("o"), Role.OPERATOR, (TeamId("packing"),), expires_at_ms=NOW),
}


def test_finds_the_operator_of_a_key():
    assert authenticate_key(KEYS, "m", NOW)[0] == "mira"
    assert authenticate_key(KEYS, "o", NOW - 1)[1].teams == ("packing",)


@pytest.mark.parametrize(
    ("key", "refusal"),
    [
        (None, MissingKey),
        ("", MissingKey),
        ("M", UnknownKey),
        ("é" * 9, UnknownKey),
        ("o", ExpiredKey),
    ],
)
def test_refuses_a_missing_wrong_or_expired_key_without_repeating_it(key, refusal):
    with pytest.raises(refusal) as caught:
        authenticate_key(KEYS, key, NOW)
    assert not key or len(key) == 1 or key not in str(caught.value)


@pytest.mark.parametrize(
    ("text", "needed"),
    [
        ("jobs", Role.READER),
        ("stop job j", Role.OPERATOR),
        ("drain worker w", Role.OPERATOR),
        ("undrain worker w", Role.OPERATOR),
        (SUBMIT, Role.OPERATOR),
        ("set quota team t cpu=1", Role.ADMINISTRATOR),
        ("set policy service s queue_wait_ms=1", Role.ADMINISTRATOR),
    ],
)
def test_each_command_needs_its_role(text, needed):
    command = parse_command(text, NOW)
    order = list(Role)
    for role in order:
        principal = Principal("mira", role)
        if order.index(role) >= order.index(needed):
            check_permission(command, principal)
        else:
            with pytest.raises(Forbidden):
                check_permission(command, principal)


def test_a_key_of_one_team_changes_no_other_teams_work():
    principal = Principal("olaf", Role.OPERATOR, ("packing",))
    command = parse_command("stop job j", NOW)
    check_permission(command, principal, "packing")
    with pytest.raises(Forbidden):
        check_permission(command, principal, "menus")
    with pytest.raises(Forbidden):
        check_permission(parse_command("drain worker w", NOW), principal)


def make_auth_headers(key):
    return [("authorization", f"Bearer {key}")]


@run_in_event_loop
async def test_the_api_refuses_by_key_role_and_team():
    cell = await create_cell()
    host = cell.hosts["za-0"]
    document = {
        "teams": {"menus": {}},
        "keys": {
            "ada": {"sha256": hash_key("admin-key"), "role": "administrator"},
            "mira": {"sha256": hash_key("reader-key"), "role": "reader"},
            "olaf": {
                "sha256": hash_key("team-key"),
                "role": "operator",
                "teams": ["menus"],
            },
            "old": {"sha256": hash_key("old-key"), "role": "reader", "expires_at_ms": 1},
        },
    }
    await host.post("/v1/config/apply", {"text": json.dumps(document)})
    other = cell.hosts["zb-0"]

    async def post_command(command, key=None):
        headers = make_auth_headers(key) if key else ()
        status, answer = await other.post("/v1/commands", {"command": command}, headers)
        return status, answer.get("error")

    assert await post_command("jobs") == (401, "missing-key")
    assert await post_command("jobs", "guess") == (401, "unknown-key")
    assert await post_command("jobs", "old-key") == (401, "expired-key")
    assert await post_command("jobs", "reader-key") == (200, None)
    assert await post_command(SUBMIT, "reader-key") == (403, "forbidden")
    assert await post_command(SUBMIT, "team-key") == (403, "forbidden")
    assert await post_command(SUBMIT, "admin-key") == (200, None)
    assert await post_command("stop job nightly", "team-key") == (403, "forbidden")
    assert await post_command("set quota team menus cpu=1", "team-key") == (403, "forbidden")
    for path in ("apply", "rollback"):
        body = {"text": "{}", "version": 0}
        status, answer = await other.post(f"/v1/config/{path}", body, make_auth_headers("team-key"))
        assert (status, answer["error"]) == (403, "forbidden")
    status, answer = await other.post(
        "/v1/config", b"", make_auth_headers("reader-key"), method="GET"
    )
    assert status == 403


@run_in_event_loop
async def test_no_key_appears_in_the_audit_trail_or_an_answer():
    cell = await create_cell()
    host = cell.hosts["za-0"]
    keys = {"ada": {"sha256": hash_key("admin-key"), "role": "administrator"}}
    await host.post("/v1/config/apply", {"text": json.dumps({"keys": keys})})
    await host.post("/v1/commands", {"command": "jobs"}, make_auth_headers("wrong-key"))
    await host.post("/v1/commands", {"command": "jbos"}, make_auth_headers("admin-key"))
    await host.operators.trail.flush()
    stored = str(cell.table.rows) + str(cell.objects.objects)
    assert "admin-key" not in stored
    assert "wrong-key" not in stored

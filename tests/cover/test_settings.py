import pytest
from typer.testing import CliRunner

from lentilpath_core.errors import InvalidSettings
from lentilpath_core.settings import parse_settings
from lentilpathd.main import EXIT_BAD_SETTINGS, app

SETTINGS_TEMPLATE = """{
  // One entry host.
  host: "portland-dock-1", region: "coastal-maine", zone: "portland-dock",
  callers: {host: "127.0.0.1", port: 7001},
  operators: {host: "127.0.0.1", port: 7002},
  peers: {host: "127.0.0.1", port: 7003},
  platform: {host: "127.0.0.1", port: 7000},
  EXTRA
}"""


def write_settings(extra="", old="", new=""):
    return (
        SETTINGS_TEMPLATE.replace("EXTRA", extra).replace(old, new)
        if old
        else SETTINGS_TEMPLATE.replace("EXTRA", extra)
    )


def test_reads_json_with_comments():
    assert parse_settings(write_settings(), "host.json5").zone == "portland-dock"


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("{", "not JSON with comments"),
        ("[" * 5_000, "host.json5"),
        ("7", "host.json5"),
        (write_settings("lease: 3"), "unknown key 'lease'"),
        (
            write_settings("leadership: {leese_ms: 3}"),
            "host.json5.leadership: unknown key 'leese_ms'",
        ),
        (write_settings("entry_hosts: [{hots: 1}]"), "entry_hosts[0]: unknown key 'hots'"),
        (write_settings("log_level: 3"), "$.log_level"),
        (write_settings(old="port: 7001", new="port: 70010"), "callers.port is 70010"),
        (write_settings(old='zone: "portland-dock",', new=""), "zone"),
        (write_settings("leadership: {renew_every_ms: 1999}"), "renew_every_ms is 1999"),
        (write_settings("worker_leases: {sync_wait_ms: 9999}"), "sync_wait_ms is 9999"),
    ],
)
def test_names_file_key_value_and_reason(text, named):
    with pytest.raises(InvalidSettings) as refused:
        parse_settings(text, "host.json5")
    assert named in str(refused.value)
    assert "host.json5" in str(refused.value)


def test_the_command_says_what_is_wrong_with_a_settings_file(tmp_path):
    file = tmp_path / "host.json5"
    file.write_text(write_settings('tls: {certificate: "missing.pem", key: "missing.pem"}'))
    result = CliRunner().invoke(app, ["check", str(file)])
    assert result.exit_code == EXIT_BAD_SETTINGS
    assert "missing.pem" in result.output
    result = CliRunner().invoke(app, ["check", str(tmp_path / "none.json5")])
    assert result.exit_code == EXIT_BAD_SETTINGS
    assert "cannot be read" in result.output


def test_the_command_finds_nothing_wrong_with_good_settings(tmp_path):
    file = tmp_path / "host.json5"
    file.write_text(write_settings())
    result = CliRunner().invoke(app, ["check", str(file)])
    assert result.exit_code == 0

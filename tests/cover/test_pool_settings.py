"""A changed settings file takes effect while the process runs, with or without a signal."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from lentilpath_core.errors import InvalidSettings
from lentilpath_core.settings import Address
from lentilpath_platform.settings import SettingsFile, parse_settings
from lentilpathd._pool import _settings_watch
from lentilpathd._pool._settings import PoolHostSettings
from lentilpathd._pool._settings_watch import SettingsWatcher

FILE = {
    "nodeName": "edge-1",
    "ip": "10.0.0.1",
    "zone": "z1",
    "region": "r",
    "listenAddrs": {"frontend": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "portRange": [7000, 7010],
    "platform": {"address": "10.0.0.9:8000"},
    "bounds": {"graceS": 6, "holdMaxMs": 6000, "status_s": 120},
}


def write(path: Path, **changes: object) -> None:
    path.write_text(json.dumps({**FILE, **changes}))


class ScriptedSettings:
    """A settings watcher whose loads return or raise the given results, in order."""

    def __init__(self, *scripted_loads: PoolHostSettings | InvalidSettings | None) -> None:
        self.current = parse_settings(json.dumps(FILE)).host
        self.scripted_loads = list(scripted_loads)
        self.applied: list[PoolHostSettings] = []
        self.changed = asyncio.Event()
        self.watcher = SettingsWatcher(self.load, lambda: self.current, self.apply)

    def load(self) -> PoolHostSettings | None:
        result = self.scripted_loads.pop(0) if self.scripted_loads else None
        if isinstance(result, InvalidSettings):
            raise result
        return result

    def apply(self, settings: PoolHostSettings) -> None:
        self.current = settings
        self.applied.append(settings)
        self.changed.set()


def parse(**changes: object) -> PoolHostSettings:
    return parse_settings(json.dumps({**FILE, **changes})).host


def test_a_file_is_read_again_only_when_its_text_has_changed(tmp_path):
    path = tmp_path / "node.yaml"
    write(path)
    file = SettingsFile(path)
    assert file.load_change() is not None
    assert file.load_change() is None
    write(path, platform={"address": "10.0.0.8:8001"})
    changed = file.load_change()
    assert changed is not None
    assert changed.table == Address("10.0.0.8", 8001)


def test_an_unusable_file_is_reported_once_and_loaded_when_it_is_fixed(tmp_path):
    path = tmp_path / "node.yaml"
    file = SettingsFile(path)
    with pytest.raises(InvalidSettings, match="cannot be read"):
        file.load_change()
    assert file.load_change() is None
    path.write_text("nodeName: [")
    with pytest.raises(InvalidSettings, match=r"node\.yaml"):
        file.load_change()
    assert file.load_change() is None
    write(path)
    assert file.load_change() is not None


def test_changed_bounds_take_effect_and_addresses_wait_for_a_restart():
    bounds = {
        "graceS": 9,
        "holdMaxMs": 3000,
        "status_s": 60,
        "cancel_ms": 5000,
        "stopTimeoutMs": 200,
    }
    changed = parse(bounds=bounds, listenAddrs={"frontend": "10.0.0.1:90", "ready": "10.0.0.1:81"})
    scripted = ScriptedSettings(changed)
    scripted.watcher.check()
    (applied,) = scripted.applied
    assert (applied.cancel_ms, applied.longest_stop_ms) == (5_000, 200)
    assert (applied.stop_grace_ms, applied.lease_ms, applied.job_memory_ms) == (
        9_000,
        3_000,
        60_000,
    )
    assert applied.callers == Address("10.0.0.1", 80)


def test_settings_that_cannot_be_used_change_nothing():
    scripted = ScriptedSettings(InvalidSettings("no address"))
    scripted.watcher.check()
    assert scripted.applied == []


def test_a_signal_and_the_periodic_check_both_load_a_change(monkeypatch):
    monkeypatch.setattr(_settings_watch, "CHECK_INTERVAL_SECONDS", 0.01)
    first, second = parse(bounds={"graceS": 7}), parse(bounds={"graceS": 8})
    scripted = ScriptedSettings(None, first, second)

    async def scenario() -> None:
        task = asyncio.create_task(scripted.watcher.run())
        async with asyncio.timeout(5.0):
            await scripted.changed.wait()
            monkeypatch.setattr(_settings_watch, "CHECK_INTERVAL_SECONDS", 60.0)
            scripted.changed.clear()
            scripted.watcher.request()
            await scripted.changed.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    assert [each.stop_grace_ms for each in scripted.applied] == [7_000, 8_000]


def test_contention_is_expected_only_where_the_platform_says_so():
    assert not parse().expects_contention
    assert not parse(contracts=["base", "quota"]).expects_contention
    assert parse(contracts=["base", "pressure"]).expects_contention


def test_the_age_of_the_configuration_is_limited_only_where_revocation_is_strict():
    assert parse().max_configuration_age_ms is None
    assert parse(bounds={"revokeMs": 4_000}).max_configuration_age_ms is None
    strict = parse(bounds={"revokeMs": 4_000, "strictRevoke": True})
    assert strict.max_configuration_age_ms == 4_000

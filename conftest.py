"""Settings shared by all tests: Hypothesis profiles and the list of known red tests."""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

KNOWN_RED_FILE = Path(__file__).parent / "KNOWN-RED.txt"

# CI must give the same verdict every time, so examples are derived from the test alone and a
# slow machine may not fail an example by its deadline.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")


def read_known_red_tests() -> list[str]:
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return [line.removeprefix("test:").strip() for line in lines if line.startswith("test:")]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red = set(read_known_red_tests())
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for node_id in read_known_red_tests():
        terminalreporter.write_line(f"KNOWN RED: {node_id}")

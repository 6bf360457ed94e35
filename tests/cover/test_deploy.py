"""The pinned deployment requirements suffice to start the program and match the tested versions."""

from __future__ import annotations

import re
import subprocess
import sys
from importlib.metadata import packages_distributions
from pathlib import Path

ROOT = Path(__file__).parents[2]
PROGRAM = """
import sys

unpinned = set(sys.argv[1].split(","))


class UnpinnedModuleFinder:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in unpinned:
            raise ModuleNotFoundError(f"{name} is not pinned in deploy/requirements.txt")
        return None


sys.meta_path.insert(0, UnpinnedModuleFinder())
import lentilpath_platform.main
import lentilpath_platform._process
"""


def read_pins(path: Path) -> dict[str, str]:
    pins = (line.strip().split("==") for line in path.read_text().splitlines() if "==" in line)
    return {re.sub(r"[-_.]+", "-", name).lower(): version for name, version in pins}


def list_modules_that_are_not_pinned() -> list[str]:
    pins = read_pins(ROOT / "deploy" / "requirements.txt")
    return [
        module
        for module, names in packages_distributions().items()
        if not module.startswith("lentilpath")
        and not any(re.sub(r"[-_.]+", "-", name).lower() in pins for name in names)
    ]


def test_the_program_starts_with_the_pinned_libraries_alone():
    subprocess.run(
        [sys.executable, "-c", PROGRAM, ",".join(list_modules_that_are_not_pinned())],
        check=True,
        env={"PYTHONPATH": str(ROOT / "platform")},
    )


def test_the_platform_gets_the_versions_that_are_tested():
    tested = read_pins(ROOT / "constraints.txt")
    for name, version in read_pins(ROOT / "deploy" / "requirements.txt").items():
        assert tested[name] == version

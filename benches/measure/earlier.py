"""Loads the placement package of an earlier commit from the Git history, for comparison."""

from __future__ import annotations

import importlib
import io
import subprocess
import sys
import tarfile
import tempfile
from pathlib import Path
from types import ModuleType

COMMIT = "a1d5310"
"""The first engine that orders jobs by guarantee, priority class and share."""
SOURCE = "packages/lentilpath-core/src/lentilpath_core/placement"
PACKAGE = "lentilpath_earlier_placement"
PACKAGE_IMPORT = "from lentilpath_core.placement._"
MESSAGES_IMPORT = "from lentilpath_core.placement._messages "


class CommitNotFound(Exception):
    """The earlier commit is not in this checkout, for example in a shallow clone."""


def load_earlier_placement() -> ModuleType:
    """Return the placement package of `COMMIT`, which uses the present message classes.

    Raises `CommitNotFound` if the checkout lacks that commit.
    """
    directory = Path(tempfile.mkdtemp(prefix="lentilpath-earlier-"))
    package = directory / PACKAGE
    package.mkdir()
    for name, text in _read_sources().items():
        (package / name).write_text(_point_imports_at_package(text))
    sys.path.insert(0, str(directory))
    return importlib.import_module(PACKAGE)


def _read_sources() -> dict[str, str]:
    command = ["git", "archive", "--format=tar", COMMIT, SOURCE]
    archived = subprocess.run(command, capture_output=True, check=False)
    if archived.returncode != 0:
        raise CommitNotFound(
            f"commit {COMMIT} is not in this checkout ({archived.stderr.decode().strip()}); "
            "fetch the full history"
        )
    sources: dict[str, str] = {}
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        for member in archive.getmembers():
            file = archive.extractfile(member) if member.isfile() else None
            name = Path(member.name).name
            if file is not None and name != "_messages.py":
                sources[name] = file.read().decode()
    return sources


def _point_imports_at_package(text: str) -> str:
    lines = []
    for line in text.splitlines():
        if line.startswith(PACKAGE_IMPORT) and not line.startswith(MESSAGES_IMPORT):
            line = line.replace(PACKAGE_IMPORT, f"from {PACKAGE}._")
        lines.append(line)
    return "\n".join(lines) + "\n"

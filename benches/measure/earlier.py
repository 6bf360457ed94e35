"""The placement of an earlier commit, taken from the repository's own history to compare with."""

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
"""The first engine with an order by guarantee, class and share."""
SOURCE = "packages/lentilpath-core/src/lentilpath_core/placement"
PACKAGE = "lentilpath_earlier_placement"
OWN_IMPORT = "from lentilpath_core.placement._"
SHARED_IMPORT = "from lentilpath_core.placement._messages "


class HistoryMissing(Exception):
    """The checkout does not hold the earlier commit; a full clone does."""


def load_earlier_placement() -> ModuleType:
    """Return the placement package of `COMMIT`, which takes and gives the present messages.

    Raises `HistoryMissing` in a clone without that commit.
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
        raise HistoryMissing(
            f"commit {COMMIT} is not in this checkout ({archived.stderr.decode().strip()}); "
            "fetch the whole history"
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
        if line.startswith(OWN_IMPORT) and not line.startswith(SHARED_IMPORT):
            line = line.replace(OWN_IMPORT, f"from {PACKAGE}._")
        lines.append(line)
    return "\n".join(lines) + "\n"

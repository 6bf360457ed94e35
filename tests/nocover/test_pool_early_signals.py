"""Signals that reach an entry host's process while it starts do it no harm.

A process that got SIGTERM or SIGHUP up to 0.25 s after its start ended by the signal, as its
handlers were installed last. Here a named pipe holds the start, in place of a module that is about
to be imported, or of the settings file, which is read after all imports and before a host runs.
"""

from __future__ import annotations

import errno
import os
import signal
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

import pytest

from lentilpath_platform.settings import FILE_VARIABLE

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = "settings"
HOLDING_PLACES = ("asyncio", "msgspec", SETTINGS)
"""The first large module that the program imports, one of a library, and the settings file."""
HOLDING_MODULE = """
import sys

with open({pipe!r}) as pipe:
    pipe.read()
sys.exit("the settings cannot be used")
"""
UNUSABLE = "the settings cannot be used"
"""What a process that gets past the place writes, in the stand-in's words or its own."""
TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.01


def open_for_reader(pipe: Path, process: subprocess.Popen[str]):
    """Open the pipe for writing once the process has opened it for reading."""
    while process.poll() is None:
        try:
            return os.fdopen(os.open(pipe, os.O_WRONLY | os.O_NONBLOCK), "w")
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"the process ended before it was held: {process.communicate()}")


@contextmanager
def hold_start(place: str, directory: Path):
    """Yield the process while it reads the pipe at a place of its start, and the pipe's end.

    The process fails once it gets past this place.
    """
    pipe = directory / "pipe"
    os.mkfifo(pipe)
    if place != SETTINGS:
        (directory / f"{place}.py").write_text(HOLDING_MODULE.format(pipe=str(pipe)))
    process = subprocess.Popen(
        [sys.executable, "-m", "lentilpath_platform.main"],
        env={
            **os.environ,
            "PYTHONPATH": os.pathsep.join((str(directory), str(ROOT / "platform"))),
            FILE_VARIABLE: str(pipe),
        },
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        with open_for_reader(pipe, process) as writer:
            yield process, writer
    finally:
        process.kill()
        process.communicate()


@pytest.mark.parametrize("place", HOLDING_PLACES)
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_process_that_is_stopped_while_it_starts_ends_as_planned(number, place, tmp_path):
    with hold_start(place, tmp_path) as (process, writer):
        process.send_signal(number)
        # A signal that comes right before the read does not interrupt it: Python handles it once
        # the read returns. The process fails if it then gets past this place.
        writer.close()
        _, output = process.communicate(timeout=TIMEOUT_SECONDS)
    assert (process.returncode, output) == (0, "")


@pytest.mark.parametrize("place", HOLDING_PLACES)
def test_a_process_whose_settings_change_while_it_starts_goes_on(place, tmp_path):
    with hold_start(place, tmp_path) as (process, writer):
        process.send_signal(signal.SIGHUP)
        writer.close()
        _, output = process.communicate(timeout=TIMEOUT_SECONDS)
    assert process.returncode > 0
    assert UNUSABLE in output

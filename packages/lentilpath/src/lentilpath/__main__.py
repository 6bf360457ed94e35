"""Runs `lentilpath` for `python -m lentilpath`."""

from lentilpath.main import run

run()

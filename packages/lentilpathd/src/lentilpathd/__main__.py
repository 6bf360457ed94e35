"""Runs the command for `python -m lentilpathd`."""

from lentilpathd.main import run

run()

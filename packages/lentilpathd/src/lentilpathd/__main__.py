"""Lets `python -m lentilpathd` run the command."""

from lentilpathd.main import run

run()

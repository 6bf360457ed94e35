"""`python -m lentilpath` is the same as `lentilpath`."""

from lentilpath.main import run

run()

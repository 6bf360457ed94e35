"""Failures that end a term of leading the zone."""

from lentilpath_core.errors import LentilpathError


class Deposed(LentilpathError):
    """Another process has taken the zone over."""

    code = "deposed"


class TermEnded(LentilpathError):
    """The authority of this term is gone or was handed over."""

    code = "term-ended"

"""Errors that end a leadership term of the zone."""

from lentilpath_core.errors import LentilpathError


class Deposed(LentilpathError):
    """Another process has taken over the leadership of the zone."""

    code = "deposed"


class TermEnded(LentilpathError):
    """The authority of this term has expired or was released."""

    code = "term-ended"

"""Exit codes of `lentilpath`."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What a script can tell from the exit code."""

    OK = 0
    FAILED = 1
    """The cell failed in a way of its own; its host's log has the reason."""
    INVALID = 2
    """The command or its values cannot be used; nothing was changed."""
    CONFLICT = 3
    """Another operator was first; nothing was changed."""
    UNAVAILABLE = 4
    """Nothing was changed, because something could not be reached; try again."""
    UNKNOWN = 5
    """It may have taken effect; repeat it with the same --id."""
    FORBIDDEN = 6
    """The key is missing, wrong, expired or not allowed to do this."""
    REFUSED = 7
    """The command was accepted and then refused by its zone."""
    PARTIAL = 8
    """Some zones did not answer, so rows may be missing."""


_CODES = {
    "conflict": ExitCode.CONFLICT,
    "outcome-unknown": ExitCode.UNKNOWN,
    "internal": ExitCode.FAILED,
    "error": ExitCode.FAILED,
    "unknown-key": ExitCode.FORBIDDEN,
    "expired-key": ExitCode.FORBIDDEN,
    "missing-key": ExitCode.FORBIDDEN,
    "forbidden": ExitCode.FORBIDDEN,
}
STATUS_UNAVAILABLE = 503


def choose_exit_code(status: int, error: str) -> ExitCode:
    """Return the exit code for an error of the API."""
    if error in _CODES:
        return _CODES[error]
    if status == STATUS_UNAVAILABLE:
        return ExitCode.UNAVAILABLE
    return ExitCode.INVALID

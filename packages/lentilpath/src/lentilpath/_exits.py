"""Exit codes of `lentilpath`."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The result of a command, as seen by a script."""

    OK = 0
    FAILED = 1
    """Internal error of the entry host; the host's log has the reason."""
    INVALID = 2
    """The command or its values are invalid; nothing was changed."""
    CONFLICT = 3
    """The command conflicts with another operator's change; nothing was changed."""
    UNAVAILABLE = 4
    """A required service could not be reached; nothing was changed, so try again."""
    UNKNOWN = 5
    """The outcome is unknown; repeat the command with the same --id."""
    FORBIDDEN = 6
    """The key is missing, wrong, expired or not allowed to do this."""
    REFUSED = 7
    """The command was accepted and then refused by its zone."""
    PARTIAL = 8
    """Some zones did not answer, so rows may be missing."""


_EXIT_CODES = {
    "conflict": ExitCode.CONFLICT,
    "outcome-unknown": ExitCode.UNKNOWN,
    "internal": ExitCode.FAILED,
    "error": ExitCode.FAILED,
    "unknown-key": ExitCode.FORBIDDEN,
    "expired-key": ExitCode.FORBIDDEN,
    "missing-key": ExitCode.FORBIDDEN,
    "forbidden": ExitCode.FORBIDDEN,
}
HTTP_SERVICE_UNAVAILABLE = 503


def choose_exit_code(status: int, error: str) -> ExitCode:
    """Return the exit code for an error of the API."""
    if error in _EXIT_CODES:
        return _EXIT_CODES[error]
    if status == HTTP_SERVICE_UNAVAILABLE:
        return ExitCode.UNAVAILABLE
    return ExitCode.INVALID

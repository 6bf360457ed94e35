"""The hierarchy of the errors that lentilpath reports.

`LentilpathError`
    `InvalidInput`: the caller's input is invalid; nothing was changed.
        `InvalidSettings`, `InvalidJob`, `QuotaTooSmall`, `InvalidCommand`, `UnknownName`,
        `WriteRejected`
    `AccessDenied`: the caller may not do this; nothing was changed.
        `UnknownKey`, `NotPermitted`
    `Conflict`: another writer changed the same thing first; the message says who and what.
    `Unavailable`: a required component cannot be reached; nothing was changed.
        `TableUnavailable`, `TableBusy`, `PeerUnavailable`, `WorkerUnavailable`, `NoLeader`
    `OutcomeUnknown`: the action may or may not have taken effect.

Messages name the problem, the value and the remedy. Programs compare `code`, which is stable; the
text may change between releases.
"""


class LentilpathError(Exception):
    """Base class of all errors that lentilpath reports."""

    code = "error"


class InvalidInput(LentilpathError):
    """The caller's input is invalid. Nothing was changed."""

    code = "invalid-input"


class InvalidSettings(InvalidInput):
    """A settings file is invalid; the message names file, key, value and reason."""

    code = "invalid-settings"


class InvalidJob(InvalidInput):
    """A job could never run as it was submitted."""

    code = "invalid-job"


class QuotaTooSmall(InvalidJob):
    """A task or gang of a job needs more than its customer's quota allows at any time."""

    code = "quota-too-small"


class InvalidCommand(InvalidInput):
    """A command of the operators' language cannot be parsed."""

    code = "invalid-command"


class WriteRejected(InvalidInput):
    """The platform's table found a write invalid, such as a value that is too long."""

    code = "write-rejected"


class UnknownName(InvalidInput):
    """No job, task, worker, service or customer of this name is known."""

    code = "unknown-name"


class AccessDenied(LentilpathError):
    """The caller may not do this. Nothing was changed."""

    code = "access-denied"


class UnknownKey(AccessDenied):
    """The call carries no key, or one that is not in force."""

    code = "unknown-key"


class NotPermitted(AccessDenied):
    """The caller's key is valid but does not permit the action."""

    code = "not-permitted"


class Conflict(LentilpathError):
    """Another writer changed the same thing first."""

    code = "conflict"


class Unavailable(LentilpathError):
    """A component that the action needs cannot be reached. Nothing was changed."""

    code = "unavailable"


class TableUnavailable(Unavailable):
    """The platform's table did not accept the request."""

    code = "table-unavailable"


class TableNotReached(TableUnavailable):
    """There was no connection to the platform's table, so nothing was sent to it."""

    code = "table-not-reached"


class TableBusy(TableUnavailable):
    """The platform's table is overloaded and rejected the request without any effect."""

    code = "table-busy"


class PeerUnavailable(Unavailable):
    """Another entry host could not be reached."""

    code = "peer-unavailable"


class PeerNotReached(PeerUnavailable):
    """There was no connection to another entry host, so nothing was sent to it."""

    code = "peer-not-reached"


class WorkerUnavailable(Unavailable):
    """A worker refused the connection, so the command did not reach it."""

    code = "worker-unavailable"


class NoLeader(Unavailable):
    """No entry host leads the zone at the moment."""

    code = "no-leader"


class OutcomeUnknown(LentilpathError):
    """The action may or may not have taken effect; query it by its id to find out."""

    code = "outcome-unknown"

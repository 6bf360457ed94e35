"""Every failure that lentilpath reports, as one hierarchy.

`LentilpathError`
    `InvalidInput`: what the caller gave cannot be used; nothing was changed.
        `InvalidSettings`, `InvalidJob`, `InvalidCommand`, `UnknownName`
    `Conflict`: another writer was first; the message says who and what.
    `Unavailable`: something needed cannot be reached now; nothing was changed.
        `TableUnavailable`, `TableBusy`, `PeerUnavailable`, `WorkerUnavailable`, `NoLeader`
    `OutcomeUnknown`: the action may or may not have taken effect.

Messages say what was wrong, with which value, and what to do about it. `code` is stable and is
what programs compare; the text may improve between releases.
"""


class LentilpathError(Exception):
    """The base of all failures that lentilpath reports."""

    code = "error"


class InvalidInput(LentilpathError):
    """What the caller gave cannot be used. Nothing was changed."""

    code = "invalid-input"


class InvalidSettings(InvalidInput):
    """A settings file is broken; the message names file, key, value and reason."""

    code = "invalid-settings"


class InvalidJob(InvalidInput):
    """A job can never run as it was submitted."""

    code = "invalid-job"


class InvalidCommand(InvalidInput):
    """A command of the operators' language cannot be read."""

    code = "invalid-command"


class UnknownName(InvalidInput):
    """A job, task, worker, service or customer of this name is not known."""

    code = "unknown-name"


class Conflict(LentilpathError):
    """Another writer changed the same thing first."""

    code = "conflict"


class Unavailable(LentilpathError):
    """Something that the action needs cannot be reached. Nothing was changed."""

    code = "unavailable"


class TableUnavailable(Unavailable):
    """The platform's table did not take the request."""

    code = "table-unavailable"


class TableBusy(TableUnavailable):
    """The platform's table has more requests than it takes. It did nothing."""

    code = "table-busy"


class PeerUnavailable(Unavailable):
    """Another entry host could not be reached."""

    code = "peer-unavailable"


class WorkerUnavailable(Unavailable):
    """A worker refused the connection, so the command did not reach it."""

    code = "worker-unavailable"


class NoLeader(Unavailable):
    """No entry host of the zone decides for its workers at the moment."""

    code = "no-leader"


class OutcomeUnknown(LentilpathError):
    """The action may or may not have taken effect; asking again by its id will tell."""

    code = "outcome-unknown"

"""The state machine of a zone's leader: recovery, inbox, workers and journal.

`create_controller` takes the state replayed from the journal; `decide_zone` handles one event at
a time and returns effects; `begin_journal_write` returns the next transaction to write. Nothing
here does I/O.
"""

from lentilpath_core.zone._control_messages import (
    AuthorityBackingChanged,
    BatchApplied,
    ConfirmWorker,
    ControlEffect,
    ControlEvent,
    ForgetAttempt,
    InboxRead,
    JournalWrite,
    ListedWorker,
    QuotasSet,
    RenewalSending,
    RequestFullReport,
    SendStart,
    SendStop,
    StartAnswered,
    TimePassed,
    WorkerPhase,
    WorkersListed,
    WorkerSynced,
)
from lentilpath_core.zone._control_state import ControllerState, WorkerView
from lentilpath_core.zone._controller import (
    begin_journal_write,
    create_controller,
    decide_zone,
    is_command_durable,
)

__all__ = [
    "AuthorityBackingChanged",
    "BatchApplied",
    "ConfirmWorker",
    "ControlEffect",
    "ControlEvent",
    "ControllerState",
    "ForgetAttempt",
    "InboxRead",
    "JournalWrite",
    "ListedWorker",
    "QuotasSet",
    "RenewalSending",
    "RequestFullReport",
    "SendStart",
    "SendStop",
    "StartAnswered",
    "TimePassed",
    "WorkerPhase",
    "WorkerSynced",
    "WorkerView",
    "WorkersListed",
    "begin_journal_write",
    "create_controller",
    "decide_zone",
    "is_command_durable",
]

"""Leader election for a zone: event-driven decisions of one process, without I/O.

`decide` takes an event, the state and the current time and returns the new state and effects.
docs/design/leadership.md states the rules; `spec/` contains the model whose states were searched.
"""

from lentilpath_core.leadership._decisions import (
    decide,
    is_released,
    list_release_effects,
)
from lentilpath_core.leadership._messages import (
    AnnounceRelease,
    AnswerPromise,
    AskPromises,
    ClockAdvanced,
    Effects,
    HelloReceived,
    LeadershipEffect,
    LeadershipEvent,
    ListenerBound,
    PromiseAsked,
    PromiseGiven,
    ReadFailed,
    ReadRows,
    ReleaseAnnounced,
    ReleaseRequested,
    WriteAnswered,
    WriteOutcome,
    WriteRows,
    ZoneWasRead,
)
from lentilpath_core.leadership._rows import (
    EpochRow,
    Member,
    ReadZone,
    ZoneRow,
    decode_zone_row,
    encode_row,
    get_epoch_key,
    get_zone_key,
)
from lentilpath_core.leadership._state import (
    Lead,
    LeadershipState,
    PendingWrite,
    WriteKind,
    create_state,
)
from lentilpath_core.leadership._table import POLL_INTERVAL_MS

__all__ = [
    "POLL_INTERVAL_MS",
    "AnnounceRelease",
    "AnswerPromise",
    "AskPromises",
    "ClockAdvanced",
    "Effects",
    "EpochRow",
    "HelloReceived",
    "Lead",
    "LeadershipEffect",
    "LeadershipEvent",
    "LeadershipState",
    "ListenerBound",
    "Member",
    "PendingWrite",
    "PromiseAsked",
    "PromiseGiven",
    "ReadFailed",
    "ReadRows",
    "ReadZone",
    "ReleaseAnnounced",
    "ReleaseRequested",
    "WriteAnswered",
    "WriteKind",
    "WriteOutcome",
    "WriteRows",
    "ZoneRow",
    "ZoneWasRead",
    "create_state",
    "decide",
    "decode_zone_row",
    "encode_row",
    "get_epoch_key",
    "get_zone_key",
    "is_released",
    "list_release_effects",
]

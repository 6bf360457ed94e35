"""Bodies of the HTTP requests that a worker accepts. Times are readings of its own clock in ms."""

from __future__ import annotations

import msgspec

from lentilpath_core.resources import Resources


class Start(msgspec.Struct, frozen=True):
    """Start one attempt of a task; refused if the worker's clock is past `not_after`."""

    task: str
    attempt: int
    resources: Resources
    run_ms: int
    parameters: dict[str, str]
    lease_ms: int
    not_after: int


class Forget(msgspec.Struct, frozen=True):
    """An ended attempt that the leader has recorded, so the worker may delete it."""

    task: str
    attempt: int


class Sync(msgspec.Struct, frozen=True):
    """Renew all leases by `renew_ms`, delete attempts and report those changed after `since`.

    If nothing has changed, the worker answers after `wait_ms`. It reports all attempts, and answers
    at once, if `since` is 0 or ahead of its own sequence number.
    """

    since: int
    wait_ms: int
    renew_ms: int
    not_after: int
    forget: tuple[Forget, ...] = ()


class End(msgspec.Struct, frozen=True):
    """Stop or checkpoint one attempt within `grace_ms`."""

    task: str
    attempt: int
    not_after: int
    grace_ms: int = 0


class Throttle(msgspec.Struct, frozen=True):
    """Limit the processor use of one attempt."""

    task: str
    attempt: int
    millicores: int
    not_after: int

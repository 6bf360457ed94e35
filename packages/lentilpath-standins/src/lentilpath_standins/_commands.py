"""The commands of a worker as they arrive over HTTP."""

from __future__ import annotations

import msgspec

from lentilpath_core.resources import Resources


class Start(msgspec.Struct, frozen=True):
    """Start one attempt."""

    task: str
    attempt: int
    resources: Resources
    run_ms: int
    parameters: dict[str, str]
    lease_ms: int
    not_after: int


class Forget(msgspec.Struct, frozen=True):
    """An ended attempt that is recorded elsewhere."""

    task: str
    attempt: int


class Sync(msgspec.Struct, frozen=True):
    """Renew, forget and report."""

    since: int
    wait_ms: int
    renew_ms: int
    not_after: int
    forget: tuple[Forget, ...] = ()


class End(msgspec.Struct, frozen=True):
    """Stop or checkpoint one attempt."""

    task: str
    attempt: int
    not_after: int
    grace_ms: int = 0


class Throttle(msgspec.Struct, frozen=True):
    """Hold one attempt to an amount of processor."""

    task: str
    attempt: int
    millicores: int
    not_after: int

"""Who sent a command."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Caller:
    """The operator behind a request."""

    operator: str
    role: str

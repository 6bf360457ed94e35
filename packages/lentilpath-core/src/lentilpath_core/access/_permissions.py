"""What a command needs, and whether its sender has it."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from lentilpath_core.access._keys import Forbidden, Role
from lentilpath_core.ids import TeamId
from lentilpath_core.language import Drain, SetPolicy, SetQuota, Stop, Submit, Undrain

ROLE_ORDER = (Role.READER, Role.OPERATOR, Role.ADMINISTRATOR)


@dataclass(frozen=True, slots=True)
class Holder:
    """The operator behind a request, with the permissions of the key that came with it."""

    operator: str
    role: Role
    teams: tuple[TeamId, ...] = ()
    """Empty for all teams."""

    def has_role(self, needed: Role) -> bool:
        """Return whether the role is `needed` or more."""
        return ROLE_ORDER.index(self.role) >= ROLE_ORDER.index(needed)

    def has_team(self, team: TeamId) -> bool:
        """Return whether jobs of `team` may be changed."""
        return not self.teams or team in self.teams


def check_permission(command: object, holder: Holder, team: TeamId | None = None) -> None:
    """Raise `Forbidden` unless `holder` may give `command` for `team` (if it concerns one)."""
    needed = get_needed_role(command)
    if not holder.has_role(needed):
        raise Forbidden(
            f"{holder.operator} is {holder.role.value}; this needs {needed.value}: ask someone "
            "with that role"
        )
    if holder.teams and isinstance(command, Drain | Undrain):
        raise Forbidden(
            f"{holder.operator} may change jobs of {', '.join(holder.teams)} only; a worker runs "
            "jobs of all teams: ask someone without that limit"
        )
    if team is not None and not holder.has_team(team):
        raise Forbidden(
            f"{holder.operator} may change jobs of {', '.join(holder.teams)}, not of {team}"
        )


@singledispatch
def get_needed_role(command: object) -> Role:
    """Return the least role that may give `command`; reading is for all."""
    return Role.READER


@get_needed_role.register
def _(command: Submit | Stop) -> Role:
    return Role.OPERATOR


@get_needed_role.register
def _(command: Drain | Undrain) -> Role:
    return Role.OPERATOR


@get_needed_role.register
def _(command: SetQuota | SetPolicy) -> Role:
    return Role.ADMINISTRATOR

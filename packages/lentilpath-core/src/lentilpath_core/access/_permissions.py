"""Permissions that commands require, and their check."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from lentilpath_core.access._keys import Forbidden, Role
from lentilpath_core.ids import TeamId
from lentilpath_core.language import Drain, SetPolicy, SetQuota, Stop, Submit, Undrain

ROLE_ORDER = (Role.READER, Role.OPERATOR, Role.ADMINISTRATOR)


@dataclass(frozen=True, slots=True)
class Principal:
    """The authenticated operator of a request, with the permissions of the key used."""

    operator: str
    role: Role
    teams: tuple[TeamId, ...] = ()
    """Empty for all teams."""

    def has_role(self, required: Role) -> bool:
        """Return whether the role is `required` or higher."""
        return ROLE_ORDER.index(self.role) >= ROLE_ORDER.index(required)

    def has_team(self, team: TeamId) -> bool:
        """Return whether the operator may change jobs of `team`."""
        return not self.teams or team in self.teams


def check_permission(command: object, principal: Principal, team: TeamId | None = None) -> None:
    """Raise `Forbidden` unless `principal` may issue `command` for `team` (if it concerns one)."""
    required = get_required_role(command)
    if not principal.has_role(required):
        raise Forbidden(
            f"{principal.operator} is {principal.role.value}; this needs {required.value}: "
            "ask someone with that role"
        )
    if principal.teams and isinstance(command, Drain | Undrain):
        raise Forbidden(
            f"{principal.operator} may change jobs of {', '.join(principal.teams)} only; "
            "a worker runs jobs of all teams: ask someone without that limit"
        )
    if team is not None and not principal.has_team(team):
        raise Forbidden(
            f"{principal.operator} may change jobs of {', '.join(principal.teams)}, not of {team}"
        )


@singledispatch
def get_required_role(command: object) -> Role:
    """Return the lowest role that may issue `command`; every role may query."""
    return Role.READER


@get_required_role.register
def _(command: Submit | Stop) -> Role:
    return Role.OPERATOR


@get_required_role.register
def _(command: Drain | Undrain) -> Role:
    return Role.OPERATOR


@get_required_role.register
def _(command: SetQuota | SetPolicy) -> Role:
    return Role.ADMINISTRATOR

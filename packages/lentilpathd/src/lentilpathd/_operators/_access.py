"""Authenticates requests to the administration API."""

from __future__ import annotations

from lentilpath_core.access import Principal, Role, authenticate_key
from lentilpath_core.errors import Unavailable
from lentilpath_core.ids import WallTime
from lentilpath_http import HttpRequest
from lentilpathd._operators._configuration import ConfigurationKeeper

BEARER_PREFIX = "bearer "
MAX_OPERATOR_LENGTH = 120
ANONYMOUS_OPERATOR = "anonymous"


class ConfigurationUnknown(Unavailable):
    """The host has not loaded the configuration yet, so it cannot check keys and permissions."""

    code = "configuration-unknown"


def authenticate(
    request: HttpRequest, configuration: ConfigurationKeeper, now: WallTime
) -> Principal:
    """Return the authenticated operator of `request`.

    While the configuration has no keys, every sender is an administrator, so that the first key
    can be added. Raises `AccessDenied` or `ConfigurationUnknown`.
    """
    if not configuration.is_known():
        raise ConfigurationUnknown(
            "this host has just started and has reached neither the platform nor a peer that "
            "knows the keys; try again, or another entry host"
        )
    keys = configuration.get_current().keys
    if not keys:
        name = request.get_header("x-lentilpath-operator") or ANONYMOUS_OPERATOR
        return Principal(name[:MAX_OPERATOR_LENGTH], Role.ADMINISTRATOR)
    name, settings = authenticate_key(keys, _parse_bearer_key(request), now)
    return Principal(name, settings.role, settings.teams)


def _parse_bearer_key(request: HttpRequest) -> str | None:
    header = request.get_header("authorization") or ""
    if not header.lower().startswith(BEARER_PREFIX):
        return None
    return header[len(BEARER_PREFIX) :].strip()

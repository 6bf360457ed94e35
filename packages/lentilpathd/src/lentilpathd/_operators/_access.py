"""Who is behind a request."""

from __future__ import annotations

from lentilpath_core.access import Holder, Role, find_key
from lentilpath_core.errors import Unavailable
from lentilpath_core.ids import WallTime
from lentilpath_http import HttpRequest
from lentilpathd._operators._configuration import ConfigurationKeeper

SCHEME = "bearer "
MAX_OPERATOR_LENGTH = 120
ANONYMOUS = "anonymous"


class ConfigurationUnknown(Unavailable):
    """The host has not seen the configuration yet, so it cannot tell who may do what."""

    code = "configuration-unknown"


def identify_holder(
    request: HttpRequest, configuration: ConfigurationKeeper, now: WallTime
) -> Holder:
    """Return the operator behind `request`; raises `AccessDenied` or `ConfigurationUnknown`.

    While the configuration holds no key, everybody is an administrator, so that the first key can
    be added.
    """
    if not configuration.is_known():
        raise ConfigurationUnknown(
            "this host has just started and has reached neither the platform nor a peer that "
            "knows the keys; try again, or another entry host"
        )
    keys = configuration.get_current().keys
    if not keys:
        name = request.get_header("x-lentilpath-operator") or ANONYMOUS
        return Holder(name[:MAX_OPERATOR_LENGTH], Role.ADMINISTRATOR)
    name, settings = find_key(keys, _read_key(request), now)
    return Holder(name, settings.role, settings.teams)


def _read_key(request: HttpRequest) -> str | None:
    header = request.get_header("authorization") or ""
    if not header.lower().startswith(SCHEME):
        return None
    return header[len(SCHEME) :].strip()

"""The administration API for operators and customers, and the services that implement it."""

from lentilpathd._operators._burn import BurnRecorder, create_burn_recorder
from lentilpathd._operators._configuration import ConfigurationKeeper, create_configuration_keeper
from lentilpathd._operators._part import Operators, create_operators
from lentilpathd._operators._zone import ZoneAccess

__all__ = [
    "BurnRecorder",
    "ConfigurationKeeper",
    "Operators",
    "ZoneAccess",
    "create_burn_recorder",
    "create_configuration_keeper",
    "create_operators",
]

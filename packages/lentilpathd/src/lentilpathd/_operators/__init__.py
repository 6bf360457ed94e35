"""What operators and customers see: the administration API and what stands behind it."""

from lentilpathd._operators._part import Operators, create_operators
from lentilpathd._operators._zone import ZoneAccess

__all__ = ["Operators", "ZoneAccess", "create_operators"]

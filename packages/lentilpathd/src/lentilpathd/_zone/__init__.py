"""The part that leads the availability zone while this process has the authority."""

from lentilpathd._zone._service import ZoneService, create_zone_service

__all__ = ["ZoneService", "create_zone_service"]

"""Leads the availability zone while this process holds the authority for it."""

from lentilpathd._zone._service import ZoneService, create_zone_service

__all__ = ["ZoneService", "create_zone_service"]

"""Chooses the availability zone of a job: a pure function of one digest for each zone.

Digests are small and some seconds old. No other data crosses regions for this choice.
"""

from lentilpath_core.zone_choice._choice import ZoneChoice, choose_zone, make_zone_digest
from lentilpath_core.zone_choice._digest import ZoneDigest

__all__ = ["ZoneChoice", "ZoneDigest", "choose_zone", "make_zone_digest"]

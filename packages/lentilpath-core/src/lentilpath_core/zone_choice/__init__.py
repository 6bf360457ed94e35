"""Which availability zone takes a job: a pure choice from one digest for each zone.

Digests are small, lag by seconds, and are all that crosses regions for this choice.
"""

from lentilpath_core.zone_choice._choice import ZoneChoice, choose_zone, digest_zone
from lentilpath_core.zone_choice._digest import ZoneDigest

__all__ = ["ZoneChoice", "ZoneDigest", "choose_zone", "digest_zone"]

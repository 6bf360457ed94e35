from lentilpath_core.resources import Resources


def test_refuses_room_that_lacks_one_resource():
    needed = Resources(millicores=1000, memory_mib=512, accelerators=1)
    assert not needed.fits_in(Resources(millicores=32_000, memory_mib=131_072, accelerators=0))
    assert needed.fits_in(needed)

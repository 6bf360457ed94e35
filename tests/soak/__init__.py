"""A randomized soak: real hosts as processes, faults from outside, promises checked meanwhile."""

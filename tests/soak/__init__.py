"""A randomized soak test: runs entry hosts as processes, injects faults and checks guarantees."""

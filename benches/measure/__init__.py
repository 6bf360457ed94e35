"""Placement under load: fixed-seed workloads through the real decision code.

`python -m benches.measure` prints waiting time, packing, control cost and fairness of first fit,
of the previous engine and of the present one, with a lower bound beside them.
"""

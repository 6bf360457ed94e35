"""Placement benchmark: simulates fixed-seed workloads with the real decision code.

`python -m benches.measure` prints waiting times, packing, control cost and fairness of first fit,
the previous engine and the present engine, next to a bound that no engine can beat.
"""

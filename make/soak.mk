# Real hosts as processes under randomized faults. A seed gives the same plan of faults.
.PHONY: soak soak-cuts soak-renewals

SEEDS ?= 50
# 0 for seeds that were never played.
FIRST ?= 1

soak: setup
	PYTHONPATH=.:platform $(BIN)/python -m tests.soak --seeds $(SEEDS) --first $(FIRST)

# The leader is cut off with some of the workers.
soak-cuts: setup
	PYTHONPATH=.:platform $(BIN)/python -m tests.soak --cuts-leader --seeds $(SEEDS) --first $(FIRST)

# Writes of the leader get no answer, and are done late, in any order, or never.
soak-renewals: setup
	PYTHONPATH=.:platform $(BIN)/python -m tests.soak --loses-renewals --seeds $(SEEDS) --first $(FIRST)

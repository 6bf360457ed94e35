# Placement under load, beside a baseline and a lower bound. Not shipped.
.PHONY: measure

measure: setup
	$(BIN)/python -m benches.measure

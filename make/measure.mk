# Placement under load, beside a baseline and a lower bound. Not shipped.
.PHONY: measure measure-slopes measure-knobs

measure: setup
	$(BIN)/python -m benches.measure

measure-slopes: setup
	$(BIN)/python -m benches.measure.slopes

measure-knobs: setup
	$(BIN)/python -m benches.measure.knobs

# Placement under load, beside a baseline and a lower bound. Not shipped.
.PHONY: measure check-benches

measure: setup
	$(BIN)/python -m benches.measure

check: check-benches

check-benches: setup
	$(BIN)/black --check --quiet --diff benches
	$(BIN)/ruff check benches

format-benches: setup
	$(BIN)/black --quiet benches
	$(BIN)/ruff check --quiet --fix benches

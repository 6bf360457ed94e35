# What one more worker, task or host costs, for docs/CAPACITY.md.
.PHONY: slopes

slopes: setup
	$(BIN)/python -m benches.slopes

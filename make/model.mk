# Exhaustive searches of the specification. They need Debian's spin and gcc.
.PHONY: model model-mutants

model:
	$(PYTHON) spec/check.py model

model-mutants:
	$(PYTHON) spec/check.py mutants

.PHONY: bench-leadership

bench-leadership: setup
	$(BIN)/python -m benches.leadership

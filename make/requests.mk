.PHONY: measure-requests

# Seconds of each load; the results go to docs/MEASURES-requests.md.
MEASURE_SECONDS ?= 10

measure-requests: setup
	$(BIN)/python benches/requests/measure.py --seconds $(MEASURE_SECONDS) \
		--report docs/MEASURES-requests.md

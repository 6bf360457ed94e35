# Plays a calm day of each site with the users' bench, where the kit is there.
.PHONY: bench-day

KIT ?= ../given/kit/more/system

bench-day:
	@if [ -x $(KIT)/bin/fleetbench ]; then \
		for site in harborspoon-lentil dhunge-grants; do \
			$(KIT)/bin/fleetbench run $(KIT)/sites/$$site.toml quiet-1 || exit 1; \
		done; \
	else \
		echo "no kit at $(KIT): nothing was played"; \
	fi

# Load patterns through the pool's decisions, beside first fit. The table goes to docs/MEASURES-platform.md.
.PHONY: measure-pool

measure-pool: setup
	$(BIN)/python -m benches.pool

# Processor time of a line of the log. The figure goes to docs/MEASURES-platform.md.
.PHONY: measure-logs

measure-logs: setup
	$(BIN)/python -m benches.logs

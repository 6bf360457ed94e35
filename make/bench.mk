# Plays a calm day of each regression site with the users' bench, where the kit is there.
.PHONY: bench-day

KIT ?= ../given/kit/more/system
BENCH ?= $(KIT)/more/bench-d17393/bin/fleetbench
REGRESSION_SITES ?= large/harborspoon-lentil-large further-grown/kwad-gifts-grown further/kwad-gifts

bench-day:
	@if [ -x $(BENCH) ]; then \
		for site in $(REGRESSION_SITES); do \
			$(BENCH) run $(KIT)/$$site.toml quiet-1 || exit 1; \
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

# The worst loads of the market and the charges office by queue; prints tables.
.PHONY: measure-contention

measure-contention: setup
	$(BIN)/python -m benches.pool.contention

# What one customer at six times its usual load leaves to nineteen others, and the cost of a pass.
.PHONY: measure-customers

measure-customers: setup
	$(BIN)/python -m benches.pool.customers
	$(BIN)/python -m benches.pool.customers passes

# Leaderships on a table that is slow, loses answers or refuses calls. The table goes to docs/MEASURES-platform.md.
.PHONY: measure-leases

measure-leases: setup
	PYTHONPATH=. $(BIN)/python -m benches.leases

# Costs of what operators see. Not shipped.
.PHONY: config-bytes config-delay usage-cost

config-bytes: setup
	$(BIN)/python -m benches.operators.config_bytes

config-delay: setup
	$(BIN)/python -m benches.operators.config_delay

usage-cost: setup
	$(BIN)/python -m benches.operators.usage_cost

# Costs of what operators see. Not shipped.
.PHONY: config-bytes config-delay

config-bytes: setup
	$(BIN)/python -m benches.operators.config_bytes

config-delay: setup
	$(BIN)/python -m benches.operators.config_delay

# Costs of what operators see. Not shipped.
.PHONY: config-bytes

config-bytes: setup
	$(BIN)/python -m benches.operators.config_bytes

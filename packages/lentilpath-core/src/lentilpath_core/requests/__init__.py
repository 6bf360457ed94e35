"""Decision logic for callers' requests: admission, routing, slot sharing, retries and delivery."""

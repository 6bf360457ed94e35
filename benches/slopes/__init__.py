"""What one more worker, task, event or host costs, from which docs/CAPACITY.md is worked out."""

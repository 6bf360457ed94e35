"""One module for each outside system. Nothing outside this package knows an outside format."""

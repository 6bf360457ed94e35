"""Components of the entry host process that runs a pool."""

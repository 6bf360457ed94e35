"""Load patterns of the users' deployments, played through the pool's decisions in virtual time."""

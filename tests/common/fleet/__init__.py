"""A stand-in of the users' platform: table service, workers and advice on loopback addresses."""

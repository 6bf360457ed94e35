"""Stand-ins for the platform's services on loopback: table service, workers and advice service."""

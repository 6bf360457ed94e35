"""Stand-ins for the platform's store, runners and clients, and a launcher of entry hosts."""

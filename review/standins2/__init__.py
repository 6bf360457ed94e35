"""Stand-ins for the platform's store, runners and clients, used by the cases 6 to 10."""

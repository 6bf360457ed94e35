"""State and decisions of a zone's leader: the journal, its replayed state and recovery."""

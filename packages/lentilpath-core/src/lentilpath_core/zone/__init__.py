"""What a zone's leader knows and decides: the journal, its fold, and recovery."""

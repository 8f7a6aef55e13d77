"""State replicated to all limiters of a fleet: rows by owner, their propagation, and conflict resolution."""

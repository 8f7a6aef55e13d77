"""The ways in: bytes to arrivals, decisions to answers."""

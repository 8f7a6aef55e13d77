"""Soak test: many limiter processes under random, overlapping faults, checked against invariants."""

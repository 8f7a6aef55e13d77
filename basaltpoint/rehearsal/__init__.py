"""Runs a fleet of limiters, or its model in virtual time, with injected faults, and checks the outcome."""

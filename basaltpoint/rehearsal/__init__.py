"""Runs a fleet of real limiters, or its model in virtual time, with injected faults, and checks the outcome."""

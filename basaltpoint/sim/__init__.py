"""The simulator's wire and its adapter."""

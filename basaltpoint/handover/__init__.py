"""Passes state and connections from a process to its successor; both share the limits meanwhile."""

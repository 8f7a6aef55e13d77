"""Open-loop load generator for scenarios and traces; flags results distorted by its own delays."""

"""Counts and gauges, each defined once; no I/O."""

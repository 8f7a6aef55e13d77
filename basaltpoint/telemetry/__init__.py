"""Figures and the trace: each figure is defined once; no I/O."""

"""Fault injection into the system calls of real processes: a preloaded library and its control file."""

"""Processes that are built from the other packages: start, reload, drain."""

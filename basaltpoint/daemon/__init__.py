"""Putting parts together: start, reload, drain."""

"""Decisions on an incoming request, without I/O: path normalization, routes, accounts."""

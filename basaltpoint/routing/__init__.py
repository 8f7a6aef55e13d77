"""Decisions on the way in, free of I/O: normal form of a path, routes, accounts."""

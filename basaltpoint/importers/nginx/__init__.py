"""Reads nginx configuration files and evaluates requests against them by the documented rules."""

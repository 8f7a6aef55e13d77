"""Connections to servers and attempts on the wire."""

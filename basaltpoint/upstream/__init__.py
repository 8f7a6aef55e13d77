"""Connections to servers, and attempts on them."""

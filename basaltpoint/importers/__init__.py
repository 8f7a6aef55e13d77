"""Readers of other programs' configurations."""

"""Connections between processes of one installation: framing, greeting and mutual TLS.

Used by the store's replicas and by the limiters of a fleet.
"""

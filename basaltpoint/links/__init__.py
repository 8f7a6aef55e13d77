"""Connections between processes of one installation: frames, greeting, certificates; for store and peers."""

"""The replicated store: consensus, log on disk, keys and values, transport, client."""

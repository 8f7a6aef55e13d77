"""Fixed seeds for property tests: CI gives the same verdict every time."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")

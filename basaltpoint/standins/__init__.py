"""Stand-ins for the systems around a limiter: HTTP servers and discovery with configurable behaviour."""

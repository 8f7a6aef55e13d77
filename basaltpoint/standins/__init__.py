"""Stand-ins for what the limiter works with: servers, peers and tools that behave as stated."""

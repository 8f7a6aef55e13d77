"""Settings, read and checked."""

"""The simulator's protocol and the adapter that serves it."""

"""The request table: events and the time in, actions out."""

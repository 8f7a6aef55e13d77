"""nginx: its files, and what its documented rules make of a request."""

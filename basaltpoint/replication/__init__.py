"""State that every limiter holds a copy of: rows by owner, how they travel, what wins where copies differ."""

"""What one process leaves to the next, and who owns what while both live."""

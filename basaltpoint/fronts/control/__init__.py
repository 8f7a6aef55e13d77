"""Where operators call: one line in, the answer out."""

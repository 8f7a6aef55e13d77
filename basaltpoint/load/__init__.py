"""Open-loop load: bursts and recorded traces, honest about the generator's own delays."""

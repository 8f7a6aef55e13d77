"""The request table: a state machine that turns events into effects."""

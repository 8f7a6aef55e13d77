"""Membership of a fleet of limiters: failure detection, suspicion and gossip, without I/O."""

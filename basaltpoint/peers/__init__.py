"""Who of the limiters is there: probes, suspicion, views. Free of I/O."""

"""The real limiter round the decision module: sockets, clocks and timers, no policy."""

"""The fronts: they turn received bytes into arrivals and decisions into responses."""

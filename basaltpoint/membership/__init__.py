"""Who serves: the lists of servers and what changes them."""

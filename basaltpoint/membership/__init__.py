"""Server membership: the lists of servers from discovery, and everything that changes them."""

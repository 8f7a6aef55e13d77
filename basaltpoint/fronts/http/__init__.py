"""The HTTP front: routes any HTTP/1.1 request to a pool and streams the server's response to the client."""

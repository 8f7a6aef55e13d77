"""The platform's way in: PROTOCOL's headers over HTTP/1.1."""

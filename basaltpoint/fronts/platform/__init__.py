"""The platform's front: HTTP/1.1 with the headers of the platform's protocol."""

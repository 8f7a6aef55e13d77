"""The ordinary way in: any HTTP/1.1 request, matched by routes, answers streamed through."""

"""Messages between boxes, and their client and server."""

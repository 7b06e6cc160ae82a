"""Messages between boxes and the client that sends them."""

"""Fleet membership of boxes and replication of the store's contents to them."""

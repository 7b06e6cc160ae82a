"""Selection among uneven targets, by what boxes know of them together."""

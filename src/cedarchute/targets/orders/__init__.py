"""Orders to engines: which model and version they serve."""

"""Small stand-ins for the systems that Cedarchute meets, for demo and tests."""

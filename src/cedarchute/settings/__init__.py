"""The settings of one box, read from an INI file."""

"""Copies of the records of programs, on boxes in other failure domains."""

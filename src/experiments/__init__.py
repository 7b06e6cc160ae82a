"""Demo, load, measurements: everything that starts the processes of a site."""

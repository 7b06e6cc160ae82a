"""What operators declare: the applied file, its revision and its spread."""

"""Serves the stand-in of the platform's key-value service as a process."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import argparse

from standins.key_value_store import Store


def main() -> None:
    """Serve the store."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    Store().serve(arguments.host, arguments.port)


if __name__ == "__main__":
    main()

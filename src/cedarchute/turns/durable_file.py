"""Durable creation of folders and atomic, durable replacement of small files."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def replace_file(path: Path, data: bytes) -> None:
    """Write `data` to a temporary file, sync it, and rename it to `path`.

    Raises
    ------
    OSError
        If a write or sync fails; the old content remains unless the rename is done.
    """
    new = path.with_name(path.name + ".new")
    with new.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    new.replace(path)
    sync_folder(path.parent)


def make_folder(path: Path) -> None:
    """Create a folder and its missing parents durably.

    A file in a folder whose own name was not synced is lost with that name.

    Raises
    ------
    OSError
        If a folder cannot be created or synced.
    """
    if path.is_dir():
        return
    make_folder(path.parent)
    path.mkdir(exist_ok=True)
    sync_folder(path.parent)


def sync_folder(path: Path) -> None:
    """Wait until the names in a folder are durable."""
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)

"""Files as a loss of power may leave them: records what is written and synced."""

from __future__ import annotations

import io
import os
from pathlib import Path


class RecordedFile:
    """One file: its content at the last sync, and the writes since."""

    def __init__(self):
        self.synced = b""
        self.has_synced = False
        self.content = b""
        self.writes = []

    def write(self, data):
        self.writes.append((len(self.content), bytes(data)))
        self.content += data

    def sync(self):
        self.synced = self.content
        self.has_synced = True
        self.writes = []

    def draw_content(self, chance):
        """Return the content with each later write kept, lost or torn."""
        content = bytearray(self.synced)
        for position, data in self.writes:
            kept = chance.choice((0, len(data), chance.randrange(len(data) + 1)))
            if kept:
                content.extend(bytes(max(0, position - len(content))))
                content[position : position + kept] = data[:kept]
        return bytes(content)


class RecordedDisk:
    """Records the calls of one process below a folder.

    Attributes
    ----------
    keeps_synced_files : bool
        Whether the name of a new file lasts once the file is synced; otherwise only
        once its folder is.
    """

    def __init__(self, root, chance, keeps_synced_files):
        self.root = str(root)
        self.chance = chance
        self.keeps_synced_files = keeps_synced_files
        self.names = {}
        self.durable = {}
        self.pending = []
        self.descriptors = {}
        self.folders = {}

    def install(self, patch):
        """Record through the calls that the code under test uses."""
        real = {name: getattr(os, name) for name in ("open", "write", "close")}
        real_replace, real_unlink, real_mkdir = Path.replace, Path.unlink, Path.mkdir
        real_path_open = Path.open

        def open_file(path, flags, mode=0o777, **more):
            descriptor = real["open"](path, flags, mode, **more)
            self.note_open(descriptor, os.fspath(path))
            return descriptor

        def write(descriptor, data):
            count = real["write"](descriptor, data)
            if descriptor in self.descriptors:
                self.descriptors[descriptor].write(bytes(data[:count]))
            return count

        def close(descriptor):
            self.descriptors.pop(descriptor, None)
            self.folders.pop(descriptor, None)
            real["close"](descriptor)

        def path_open(path, mode="r", *arguments, **more):
            if mode != "wb" or not self.covers(str(path)):
                return real_path_open(path, mode, *arguments, **more)
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
            return io.BufferedWriter(RawFile(path, flags))

        def replace(path, target):
            real_replace(path, target)
            self.note_rename(str(path), str(target))

        def unlink(path, missing_ok=False):
            real_unlink(path, missing_ok=missing_ok)
            self.note_unlink(str(path))

        def mkdir(path, *arguments, **more):
            is_new = not path.exists()
            real_mkdir(path, *arguments, **more)
            if is_new:
                self.note_new(str(path), None)

        patch.setattr(os, "open", open_file)
        patch.setattr(os, "write", write)
        patch.setattr(os, "close", close)
        patch.setattr(os, "fsync", self.sync)
        patch.setattr(os, "fdatasync", self.sync)
        patch.setattr(Path, "open", path_open)
        patch.setattr(Path, "replace", replace)
        patch.setattr(Path, "unlink", unlink)
        patch.setattr(Path, "mkdir", mkdir)

    def covers(self, path):
        return path.startswith(self.root + "/")

    def note_open(self, descriptor, path):
        if os.path.isdir(path):
            self.folders[descriptor] = path
        elif self.covers(path):
            if path not in self.names:
                self.note_new(path, RecordedFile())
            self.descriptors[descriptor] = self.names[path]

    def note_new(self, path, file):
        if self.covers(path):
            self.names[path] = file
            self.pending.append(("new", path, file))

    def note_rename(self, path, target):
        if self.covers(path):
            file = self.names.pop(path)
            self.names[target] = file
            self.pending.append(("rename", target, (path, file)))

    def note_unlink(self, path):
        if self.covers(path) and path in self.names:
            del self.names[path]
            self.pending.append(("unlink", path, None))

    def sync(self, descriptor):
        if descriptor in self.descriptors:
            self.descriptors[descriptor].sync()
        elif descriptor in self.folders:
            folder = self.folders[descriptor]
            for change in self.pending:
                if os.path.dirname(change[1]) == folder:
                    self.apply(self.durable, change)
            self.pending = [c for c in self.pending if os.path.dirname(c[1]) != folder]

    @staticmethod
    def apply(names, change):
        kind, path, what = change
        if kind == "new":
            names[path] = what
        elif kind == "rename":
            source, file = what
            names.pop(source, None)
            names[path] = file
        else:
            names.pop(path, None)

    def lasts(self, change):
        """Return whether a change that its folder's sync does not cover is kept."""
        kind, _, what = change
        if kind == "new" and self.keeps_synced_files and what and what.has_synced:
            return True
        return self.chance.random() < 0.5

    def draw_state(self):
        """Return the files that are left after a loss of power, with their content."""
        names = dict(self.durable)
        for change in self.pending:
            if self.lasts(change):
                self.apply(names, change)
        found = {}
        for path, file in names.items():
            parents = [str(parent) for parent in Path(path).parents]
            if all(names.get(p, 0) is None for p in parents if self.covers(p)):
                found[path] = file
        return {
            path: file if file is None else file.draw_content(self.chance)
            for path, file in found.items()
        }


class RawFile(io.FileIO):
    """A raw file whose writes go through `os.write`."""

    def __init__(self, path, flags):
        super().__init__(os.open(path, flags, 0o666), "wb", closefd=False)

    def write(self, data):
        return os.write(self.fileno(), bytes(data))

    def close(self):
        if not self.closed:
            descriptor = self.fileno()
            super().close()
            os.close(descriptor)


def lose_power(disk, empty_folder):
    """Write what a loss of power leaves to another folder; return it as one root."""
    for path, content in sorted(disk.draw_state().items()):
        copy = empty_folder / Path(path).relative_to(disk.root)
        if content is None:
            copy.mkdir()
        else:
            copy.write_bytes(content)
    return empty_folder

"""Reading INI files, with errors that name the place."""

from __future__ import annotations

import configparser
from pathlib import Path


class IniError(Exception):
    """A file that cannot be used; says file, section, key and mend."""

    code = "bad_file"

    def __init__(self, file: str, faults: list[str]) -> None:
        super().__init__("\n".join(f"{file}: {fault}" for fault in faults))
        self.file = file
        self.faults = faults


def read_sections(file: str) -> dict[str, dict[str, str]]:
    """Return the sections of an INI file.

    Raises
    ------
    IniError
        When the file cannot be read or is not INI.
    """
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise IniError(
            file, [f"cannot be read: {error}; give --settings FILE"]
        ) from None
    return parse_sections(text, file)


def parse_sections(text: str, file: str) -> dict[str, dict[str, str]]:
    """Return the sections of an INI text.

    Raises
    ------
    IniError
        When the text is not INI, or holds a section or key twice.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        message = str(error).replace("\n", " ")
        raise IniError(
            file, [f"{message} (write 'key = value' lines under [section])"]
        ) from None
    return {name: dict(parser[name]) for name in parser.sections()}


def split_words(value: object) -> object:
    """Split a comma-separated text into a tuple; leave anything else alone."""
    if isinstance(value, str):
        return tuple(word.strip() for word in value.split(",") if word.strip())
    return value

"""Reading INI files into checked models, with errors that name the place."""

from __future__ import annotations

import configparser
from typing import TYPE_CHECKING, TypeVar

from pydantic import BaseModel, ValidationError

if TYPE_CHECKING:
    from collections.abc import Mapping

ModelT = TypeVar("ModelT", bound=BaseModel)


class IniError(Exception):
    """A file that cannot be used; says file, section, key and mend."""

    code = "bad_file"

    def __init__(self, file: str, faults: list[str]) -> None:
        super().__init__("\n".join(f"{file}: {fault}" for fault in faults))
        self.file = file
        self.faults = faults


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


def build_model(
    model: type[ModelT], values: Mapping[str, object], file: str, section: str
) -> ModelT:
    """Check `values` against `model`.

    Raises
    ------
    IniError
        Names the section and every key at fault, with what to write instead.
    """
    try:
        return model.model_validate(values)
    except ValidationError as error:
        raise IniError(file, describe_faults(model, error, section)) from None


def describe_faults(
    model: type[BaseModel], error: ValidationError, section: str
) -> list[str]:
    """Return one sentence for each fault of a section."""
    faults = []
    for fault in error.errors():
        key = ".".join(str(part) for part in fault["loc"]) or "(section)"
        if fault["type"] == "extra_forbidden":
            known = ", ".join(sorted(model.model_fields))
            faults.append(f"[{section}] {key}: unknown key; known keys are {known}")
        elif fault["type"] == "missing":
            faults.append(f"[{section}] {key}: missing; add '{key} = ...'")
        else:
            faults.append(f"[{section}] {key}: {fault['msg']}, got {fault['input']!r}")
    return faults


def split_words(value: object) -> object:
    """Split a comma-separated text into a tuple; leave anything else alone."""
    if isinstance(value, str):
        return tuple(word.strip() for word in value.split(",") if word.strip())
    return value

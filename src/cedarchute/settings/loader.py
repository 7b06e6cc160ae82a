"""Loads and checks the settings file of a box."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from cedarchute.ini import IniError, parse_sections
from cedarchute.ini_models import build_model
from cedarchute.settings.box_settings import BoxSettings

if TYPE_CHECKING:
    from pydantic import BaseModel


def load_settings(file: str) -> BoxSettings:
    """Return the settings in `file`.

    Raises
    ------
    IniError
        When the file cannot be read or any section, key or value is wrong.
    """
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise IniError(
            file, [f"cannot be read: {error}; give --settings FILE"]
        ) from None
    return parse_settings(text, file)


def parse_settings(text: str, file: str) -> BoxSettings:
    """Return the settings in `text`; `file` is used in errors."""
    sections = parse_sections(text, file)
    fields = BoxSettings.model_fields
    faults = []
    built: dict[str, BaseModel] = {}
    for section in sections:
        if section not in fields:
            known = ", ".join(f"[{name}]" for name in fields)
            faults.append(f"[{section}]: unknown section; known sections are {known}")
    for section, field in fields.items():
        model: type[BaseModel] = field.annotation  # type: ignore[assignment]
        if section not in sections and not field.is_required():
            continue
        try:
            values = sections.get(section, {})
            built[section] = build_model(model, values, file, section)
        except IniError as error:
            faults.extend(error.faults)
    if not faults:
        settings = BoxSettings.model_validate(built)
        faults = validate_settings(settings)
    if faults:
        raise IniError(file, faults)
    return settings


def validate_settings(settings: BoxSettings) -> list[str]:
    """Return the faults that involve more than the type of one key."""
    faults = []
    box = settings.box
    if box.caller_address == box.peer_address:
        faults.append("[box] peer_address: same as caller_address; give it a port")
    folder = box.data_folder
    if folder is not None and not folder.is_dir():
        faults.append(f"[box] data_folder: '{folder}' is no folder; create it first")
    membership = settings.membership
    if membership.heartbeat_seconds * 2 > membership.takeover_seconds:
        faults.append(
            "[membership] takeover_seconds: must be at least twice heartbeat_seconds"
        )
    return faults

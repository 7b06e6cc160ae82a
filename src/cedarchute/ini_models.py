"""Building checked models from the sections of an INI file."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from pydantic import BaseModel, ValidationError

from cedarchute.ini import IniError

if TYPE_CHECKING:
    from collections.abc import Mapping

ModelT = TypeVar("ModelT", bound=BaseModel)


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

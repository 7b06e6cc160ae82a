"""Reads an operators' file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.ini import IniError, parse_sections
from cedarchute.ini_models import build_model
from cedarchute.operators.site_file import (
    ServiceKind,
    ServiceSection,
    SiteFile,
    SiteSection,
    TargetSection,
    WorkspaceSection,
)

if TYPE_CHECKING:
    from pydantic import BaseModel

SECTION_MODELS: Final[dict[str, type[BaseModel]]] = {
    "service": ServiceSection,
    "target": TargetSection,
    "workspace": WorkspaceSection,
}


def parse_site_file(text: str, file: str = "file") -> SiteFile:
    """Return the checked operators' file in `text`.

    Raises
    ------
    IniError
        Lists every fault with its section, its key and how to mend it.
    """
    sections = parse_sections(text, file)
    faults: list[str] = []
    found: dict[str, dict[str, BaseModel]] = {kind: {} for kind in SECTION_MODELS}
    site = None
    if "site" not in sections:
        faults.append("[site]: missing; add a [site] section with 'name = ...'")
    for title, values in sections.items():
        kind, _, name = title.partition(" ")
        try:
            if title == "site":
                site = build_model(SiteSection, values, file, title)
            elif kind in SECTION_MODELS and name.strip():
                model = SECTION_MODELS[kind]
                found[kind][name.strip()] = build_model(model, values, file, title)
            else:
                faults.append(
                    f"[{title}]: unknown section; write [site], [service NAME], "
                    "[target NAME] or [workspace NAME]"
                )
        except IniError as error:
            faults.extend(error.faults)
    if not faults:
        built = SiteFile.model_validate(
            {
                "site": site,
                "services": found["service"],
                "targets": found["target"],
                "workspaces": found["workspace"],
            }
        )
        faults = validate_references(built)
    if faults:
        raise IniError(file, faults)
    return built


def validate_references(site: SiteFile) -> list[str]:
    """Return the faults between sections."""
    faults = []
    for name, target in site.targets.items():
        if target.service not in site.services:
            known = ", ".join(site.services) or "none"
            faults.append(
                f"[target {name}] service: no [service {target.service}]; "
                f"declared services are {known}"
            )
    addresses: dict[str, str] = {}
    for name, target in site.targets.items():
        other = addresses.setdefault(str(target.address), name)
        if other != name:
            faults.append(f"[target {name}] address: also used by [target {other}]")
    for name, service in site.services.items():
        if service.kind is ServiceKind.MODEL and service.model is None:
            faults.append(f"[service {name}] model: missing; a model service names one")
    return faults

"""A mix of programs and the engines that serve it, read from an INI file."""

from __future__ import annotations

import configparser
from dataclasses import dataclass
from pathlib import Path
from typing import Final

FOLDER: Final = Path(__file__).parent / "scenarios"


@dataclass(frozen=True)
class Between:
    """A range from which numbers are drawn evenly."""

    low: float
    high: float

    @classmethod
    def parse(cls, text: str) -> Between:
        """Read ``LOW,HIGH``."""
        low, _, high = text.partition(",")
        return cls(float(low), float(high))


@dataclass(frozen=True)
class ProgramKind:
    """One kind of program of a mix."""

    name: str
    share: float
    turns: Between
    shared_texts: int
    shared_tokens: int
    input_tokens: Between
    output_tokens: Between
    pause_seconds: Between
    sub_agent_share: float


@dataclass(frozen=True)
class Scenario:
    """A whole scenario."""

    name: str
    engines: int
    domains: int
    boxes: int
    latency_weight: float
    engine: dict[str, str]
    kinds: tuple[ProgramKind, ...]


def load_scenario(name: str) -> Scenario:
    """Return the scenario in ``scenarios/NAME.ini``."""
    parser = configparser.ConfigParser()
    parser.read(FOLDER / f"{name}.ini")
    kinds = []
    for section in parser.sections():
        if not section.startswith("kind "):
            continue
        keys = parser[section]
        kinds.append(
            ProgramKind(
                name=section.removeprefix("kind "),
                share=float(keys["share"]),
                turns=Between.parse(keys["turns"]),
                shared_texts=int(keys["shared_texts"]),
                shared_tokens=int(keys["shared_tokens"]),
                input_tokens=Between.parse(keys["input_tokens"]),
                output_tokens=Between.parse(keys["output_tokens"]),
                pause_seconds=Between.parse(keys["pause_seconds"]),
                sub_agent_share=float(keys["sub_agent_share"]),
            )
        )
    site = parser["site"]
    return Scenario(
        name=name,
        engines=int(site["engines"]),
        domains=int(site["domains"]),
        boxes=int(site["boxes"]),
        latency_weight=float(site["latency_weight"]),
        engine=dict(parser["engine"]),
        kinds=tuple(kinds),
    )

"""Field types of the settings models."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, PlainSerializer, PlainValidator

from cedarchute.address import Address


def read_address(value: object) -> Address:
    """Return `value` as an address, parsed if it is text."""
    if isinstance(value, Address):
        return value
    return Address.parse(str(value))


AddressField = Annotated[
    Address, PlainValidator(read_address), PlainSerializer(str, return_type=str)
]
Seconds = Annotated[float, Field(gt=0, le=86_400)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$")]

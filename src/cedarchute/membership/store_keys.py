"""The keys under which the boxes share what they must agree on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StoreKeys:
    """Every key that the system uses in the platform's store."""

    prefix: str

    @property
    def boxes(self) -> str:
        """The prefix of the records of boxes."""
        return f"{self.prefix}boxes/"

    @property
    def partitions(self) -> str:
        """The prefix of the records of partitions."""
        return f"{self.prefix}partitions/"

    @property
    def configuration(self) -> str:
        """The key of the accepted file."""
        return f"{self.prefix}configuration"

    def box(self, name: str) -> str:
        """Return the key of the record of a box."""
        return f"{self.boxes}{name}"

    def incarnation(self, name: str) -> str:
        """Return the key of the last incarnation of a box."""
        return f"{self.prefix}incarnations/{name}"

    def partition(self, partition: str) -> str:
        """Return the key of the record of a partition."""
        return f"{self.partitions}{partition}"

    def order(self, target: str) -> str:
        """Return the key of the last order to a target."""
        return f"{self.prefix}orders/{target}"

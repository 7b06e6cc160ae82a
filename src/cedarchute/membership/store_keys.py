"""Keys of the shared state in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StoreKeys:
    """Builds the keys of all entries; each starts with `prefix`."""

    prefix: str

    @property
    def boxes(self) -> str:
        """The prefix of the box records."""
        return f"{self.prefix}boxes/"

    @property
    def partitions(self) -> str:
        """The prefix of the partition records."""
        return f"{self.prefix}partitions/"

    @property
    def configuration(self) -> str:
        """The key of the accepted configuration file."""
        return f"{self.prefix}configuration"

    def box(self, name: str) -> str:
        """Return the key of a box record."""
        return f"{self.boxes}{name}"

    def incarnation(self, name: str) -> str:
        """Return the key of the latest incarnation number of a box."""
        return f"{self.prefix}incarnations/{name}"

    def partition(self, partition: str) -> str:
        """Return the key of a partition record."""
        return f"{self.partitions}{partition}"

    def order(self, target: str) -> str:
        """Return the key of the last command to a target."""
        return f"{self.prefix}orders/{target}"

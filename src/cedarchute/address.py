"""A TCP address by IP number."""

from __future__ import annotations

import ipaddress

from cedarchute.record import Record


class Address(Record):
    """An IP number and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Read ``IP:PORT``.

        Raises
        ------
        ValueError
            When `text` is not an IP number and a port from 1 to 65535.
        """
        host, separator, port = text.strip().rpartition(":")
        if not separator or not port.isdigit() or not 0 < int(port) < 65536:
            raise ValueError(f"'{text}' is not IP:PORT, such as 10.1.2.3:7000")
        try:
            ipaddress.ip_address(host.strip("[]"))
        except ValueError:
            raise ValueError(
                f"'{host}' is not an IP number; names are not looked up, "
                "write the number, such as 10.1.2.3:7000"
            ) from None
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

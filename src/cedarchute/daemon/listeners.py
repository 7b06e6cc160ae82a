"""Opens the ports of a box before anything else happens."""

from __future__ import annotations

import errno
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet.greenio import GreenSocket

from cedarchute.address import Address
from cedarchute.daemon.early_listener import BACKLOG, EARLY
from cedarchute.fleet.metrics_app import MetricsApp
from cedarchute.metrics import Metrics
from cedarchute.pressure.descriptor_budget import ListenerKind
from cedarchute.pressure.peer_bounds_factory import make_peer_bounds

if TYPE_CHECKING:
    from cedarchute.pressure.peer_bounds import PeerBounds
    from cedarchute.settings.box_settings import BoxSection

log = logging.getLogger("cedarchute.daemon")


class PortInUseError(Exception):
    """An address of the settings cannot be listened on."""

    code = "port_in_use"


@dataclass(frozen=True)
class Listeners:
    """The sockets towards callers and towards boxes and operators."""

    caller: Any
    peer: Any


def open_listeners(box: BoxSection, file: str) -> Listeners:
    """Listen on both addresses of a box.

    Raises
    ------
    PortInUseError
        Names the key whose address is taken or not of this box.
    """
    return Listeners(
        caller=open_first(
            {"caller_listen": box.caller_listen, "caller_address": box.caller_address},
            file,
        ),
        peer=open_first(
            {"peer_listen": box.peer_listen, "peer_address": box.peer_address}, file
        ),
    )


def open_first(addresses: dict[str, Address | None], file: str) -> Any:
    """Listen on the first address that is given, by its key in ``[box]``."""
    key, address = next((k, a) for k, a in addresses.items() if a is not None)
    return open_listener(address, f"{file}: [box] {key}")


def open_listener(address: Address, place: str) -> Any:
    """Listen on one address; two daemons must never share a port."""
    early = EARLY.take(address)
    if early is not None:
        return GreenSocket(early)
    try:
        return eventlet.listen(
            (address.host, address.port), reuse_port=False, backlog=BACKLOG
        )
    except OSError as error:
        if error.errno == errno.EADDRINUSE:
            mend = "in use by another process; stop it or give another port"
        else:
            mend = f"cannot be listened on ({error.strerror}); use an IP of this box"
        raise PortInUseError(f"{place}: {address} {mend}") from error


def serve_metrics(
    address: str, metrics: Metrics, file: str, bounds: PeerBounds | None = None
) -> None:
    """Serve the page of metrics at an address of its own, if one is given.

    A port that is taken is reported and no more: no call depends on this page.
    """
    if not address:
        return
    try:
        listener = open_listener(Address.parse(address), f"{file}: [listen] metrics")
    except PortInUseError as error:
        log.error("Metrics not served.", extra={"why": str(error)})
        return
    app = MetricsApp(metrics)
    eventlet.spawn_n(serve_app, listener, app, bounds, ListenerKind.METRICS)


def load_server() -> None:
    """Import what serves pages, before unused modules are let in again.

    An entry does so once it serves callers: after a loss of power they wait for every
    import before.
    """
    import cedarchute.daemon.page_server  # noqa: F401


def serve_app(
    listener: object,
    app: object,
    bounds: PeerBounds | None = None,
    kind: ListenerKind = ListenerKind.PEERS,
) -> None:
    """Serve a WSGI application, within the bounds of the smallest box by default."""
    load_server()
    from cedarchute.daemon.page_server import PageServer

    bounds = bounds or make_peer_bounds(Metrics())
    server = PageServer(
        listener,
        app,
        kind.name.lower(),
        bounds.limit_connections(kind),
        bounds.metrics,
        bounds.held,
    )
    server.serve_forever()

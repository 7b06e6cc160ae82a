"""What every box on the users' platform has: its view of the store and the fleet."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import eventlet

from cedarchute.address import Address
from cedarchute.decisions.knowledge_age import StalenessLimits
from cedarchute.fleet.configuration_prover import ConfigurationProver
from cedarchute.fleet.followers import SEATS_KEY, BoxFollower, SeatFollower
from cedarchute.fleet.reader_choice import ReaderChoice
from cedarchute.fleet.registration import BOXES_PREFIX, Registration
from cedarchute.fleet.state_puller import StatePuller
from cedarchute.fleet.store_mirror import StoreMirror
from cedarchute.fleet.store_reader import StoreReader
from cedarchute.platform.keys import CONFIGURATION
from cedarchute.platform.store_client import StoreClient
from cedarchute.turns.active_seat_table import ActiveSeatTable

if TYPE_CHECKING:
    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.fleet.box_entry import BoxEntry
    from cedarchute.fleet.news_exchange import NewsExchange
    from cedarchute.fleet.store_follower import StoreFollower
    from cedarchute.fleet.turned_away import TurnedAway
    from cedarchute.metrics import Metrics
    from cedarchute.settings.node_settings import NodeSettings
    from cedarchute.supervisor import Supervisor

STORE_SECONDS = 1.5
EXPIRE_SECONDS = 0.5


class NodeParts:
    """The store's client and mirror, the list of boxes and this box's entry in it."""

    def __init__(
        self,
        settings: NodeSettings,
        me: BoxEntry,
        directory: BoxDirectory,
        followers: dict[str, StoreFollower],
        turned_away: TurnedAway,
        supervisor: Supervisor,
        metrics: Metrics,
        news: NewsExchange | None = None,
    ) -> None:
        address = Address.parse(settings.platform.store)
        self.store = StoreClient(address, metrics, STORE_SECONDS)
        self.seats = ActiveSeatTable()
        self.directory = directory
        own: dict[str, StoreFollower] = {
            BOXES_PREFIX: BoxFollower(self.directory, turned_away),
            SEATS_KEY: SeatFollower(self.seats, turned_away),
        }
        self.mirror = StoreMirror(
            {**own, **followers}, CONFIGURATION, settings.known_seconds
        )
        self.readers = ReaderChoice(self.directory, me)
        self.supervisor = supervisor
        self.reader = StoreReader(
            self.store, self.mirror, self.readers, supervisor, metrics, news
        )
        chance = random.Random()
        self.puller = StatePuller(
            self.mirror,
            self.directory,
            self.readers,
            settings.seeds,
            me.name,
            chance,
            metrics,
        )
        self.prover = ConfigurationProver(
            self.store,
            self.mirror,
            self.readers,
            self.reader,
            self.puller,
            StalenessLimits(settings.known_seconds, chance),
            metrics,
        )
        self.registration = Registration(
            self.store, me, self.note_reachable, metrics, self.mirror
        )

    def start(self) -> None:
        """Start the tasks."""
        self.reader.start()
        start = self.supervisor.start
        start("registration", self.registration.run_forever)
        start("state of other boxes", self.puller.run_forever)
        start("proof of the configuration", self.prover.run_forever)
        start("lapsed boxes", self.expire_forever)

    def note_reachable(self, reachable: bool) -> None:
        """Take in whether a renewal was answered."""
        self.reader.note_reachable(reachable)
        if reachable:
            self.prover.note_reachable()

    def expire_forever(self) -> None:
        """Drop the boxes whose entries did not come back."""
        while True:
            eventlet.sleep(EXPIRE_SECONDS)
            self.directory.known.expire()

"""Exchanges news with the other boxes of a failure domain, over its reader."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

from cedarchute.fleet.box_news import BoxNews, DomainNews
from cedarchute.placement.domain_knowledge import DomainKnowledge

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.metrics import Metrics
    from cedarchute.placement.target_belief import TargetBelief

log = logging.getLogger("cedarchute.fleet")

# News that is not repeated is dropped: twice the period in which a box polls its
# reader, so that one lost poll changes nothing.
NEWS_VALID_SECONDS: Final = 2.5
# Several times the boxes that one reader serves.
MAX_BOXES: Final = 1024


class NewsExchange:
    """Keeps what boxes told this one as their reader, and what its reader told it.

    Attributes
    ----------
    is_isolated : bool
        Whether this box reaches no quorum of holders.
    isolated_at : dict of str to float
        When each isolated box said so last; monotonic seconds.
    targets : DomainKnowledge
        What boxes told each other of targets.
    """

    def __init__(
        self, box: str, is_enabled: Callable[[], bool], metrics: Metrics
    ) -> None:
        self.box = box
        self.is_enabled = is_enabled
        self.metrics = metrics
        self.is_isolated = False
        self.isolated_at: dict[str, float] = {}
        self.targets = DomainKnowledge(box)

    def make_own(self) -> BoxNews | None:
        """Return what this box tells its reader; None if news are off."""
        if not self.is_enabled():
            return None
        return BoxNews(self.box, self.is_isolated, self.targets.make_own())

    def take_own(self, is_isolated: bool) -> bool:
        """Take in whether this box reaches holders; return whether that has changed."""
        self.is_isolated = is_isolated
        return self.note(self.box, is_isolated)

    def take_box(self, news: BoxNews) -> bool:
        """Take in what a box tells this one as its reader; return whether it is new."""
        if not self.is_enabled():
            return False
        self.targets.take_box(news.box, news.reports)
        return self.note(news.box, news.is_isolated)

    def make_domain(self, box: str = "") -> DomainNews | None:
        """Return what this box tells `box` as its reader; None if news are off."""
        if not self.is_enabled():
            return None
        return DomainNews(tuple(self.list_isolated()), self.targets.make_domain(box))

    def find(self, incarnation: str) -> TargetBelief | None:
        """Return what other boxes told of a target; None if nothing recent is known."""
        return self.targets.find(incarnation)

    def take_domain(self, news: DomainNews | None) -> None:
        """Take in what the reader of this box told it."""
        if news is None or not self.is_enabled():
            return
        self.targets.take_domain(news.reports)
        # A reader may not have heard of this box yet.
        told = {*news.isolated, self.box}
        for name in [name for name in self.isolated_at if name not in told]:
            self.note(name, False)
        for name in news.isolated:
            if name != self.box:
                self.note(name, True)

    def note(self, box: str, is_isolated: bool) -> bool:
        """Record whether a box reaches holders; return whether that has changed."""
        was_isolated = box in self.list_isolated()
        if is_isolated and len(self.isolated_at) < MAX_BOXES:
            self.isolated_at[box] = time.monotonic()
        elif not is_isolated:
            self.isolated_at.pop(box, None)
        if is_isolated == was_isolated:
            return False
        self.metrics.count("news.isolated" if is_isolated else "news.rejoined")
        log.info(
            "Callers are sent to a box no more." if is_isolated else "Box is back.",
            extra={"box": box, "isolated": len(self.isolated_at)},
        )
        return True

    def list_isolated(self) -> list[str]:
        """Return the boxes that said lately that they reach no holders."""
        oldest = time.monotonic() - NEWS_VALID_SECONDS
        self.isolated_at = {
            name: at for name, at in self.isolated_at.items() if at >= oldest
        }
        return list(self.isolated_at)

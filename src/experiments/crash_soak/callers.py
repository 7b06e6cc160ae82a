"""Callers of the crash soak: some of what crashes targets, some of what does not."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING, Final

from experiments.crash_soak.crash_site import FATAL, describe_route
from experiments.raw_caller import RawCaller, build_request, call

if TYPE_CHECKING:
    from experiments.crash_soak.crash_site import CrashSite

# Attempts of a caller for one request, and how often it is sent anew after those.
ATTEMPTS: Final = 3
ROUNDS: Final = 2
SOUND_PAUSE_SECONDS: Final = 0.1
FATAL_PAUSE_SECONDS: Final = 1.0
OK: Final = 200
PATIENCE_MS: Final = 2000
# Share of attempts that a caller leaves, and the longest time after which it does.
LEFT_SHARE: Final = 0.1
MAX_STAY_SECONDS: Final = 0.05


class SoakCaller:
    """Sends requests, each several times until it is answered.

    Attributes
    ----------
    refused : list of tuple
        Attempts that were refused since targets had crashed under their request, by
        body and id.
    unanswered : int
        Requests that no attempt got answered.
    """

    def __init__(
        self, site: CrashSite, name: str, service: str, is_fatal: bool, seed: int
    ) -> None:
        self.site = site
        self.name = name
        self.service = service
        self.is_fatal = is_fatal
        self.chance = random.Random(f"{seed} {name}")
        self.refused: list[tuple[bytes, str]] = []
        self.unanswered = 0
        self.count = 0
        self.going = True
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Send one request after the other."""
        while self.going:
            self.count += 1
            prefix = FATAL if self.is_fatal else b"sound"
            body = b"%s-%s-%d" % (prefix, self.name.encode(), self.count)
            if not any(self.send(body, round_) for round_ in range(ROUNDS)):
                self.unanswered += 1
            pause = FATAL_PAUSE_SECONDS if self.is_fatal else SOUND_PAUSE_SECONDS
            time.sleep(self.chance.uniform(0, 2 * pause))

    def send(self, body: bytes, round_: int) -> bool:
        """Send a request until it is answered; return whether it was."""
        for attempt in range(ATTEMPTS):
            call_id = f"{body.decode()}-{round_}-{attempt}"
            status, reason = self.send_once(body, call_id)
            if status == OK:
                return True
            if b"targets crashed" in reason:
                self.refused.append((body, f"{call_id} {status}"))
        return False

    def send_once(self, body: bytes, call_id: str) -> tuple[int, bytes]:
        """Make one attempt at any entry; return its status and the reason given."""
        address = self.site.nodes.callers[self.chance.choice(self.site.entries)]
        route = describe_route(self.service, f"{self.name}-{self.count}")
        path, headers = route["path"], route["headers"]
        try:
            if self.chance.random() < LEFT_SHARE:
                with RawCaller(address) as caller:
                    request = build_request(
                        path, call_id.encode(), body, headers=headers
                    )
                    caller.send(request)
                    time.sleep(self.chance.uniform(0, MAX_STAY_SECONDS))
                return 0, b""
            status, _, text = call(
                address,
                path,
                call_id.encode(),
                body,
                headers=headers,
                patience=PATIENCE_MS,
            )
        except (OSError, AssertionError, ValueError, IndexError):
            # The entry was killed, or the stream was cut.
            return 0, b""
        return status, text

"""Authenticates calls by API key and revalidates the key before each send."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, Protocol

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.caller_identity import CallerIdentity
from cedarchute.decisions.key_trust import cap_age
from cedarchute.platform.call_headers import read_key
from cedarchute.routing.workspace_keys import digest_key

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.decisions.key_trust import ProofAgeLimit
    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.routing.active_route_table import ActiveRouteTable
    from cedarchute.routing.route import Route
    from cedarchute.routing.route_table import RouteTable
    from cedarchute.routing.workspace import Workspace

# How long a call waits for a freshness proof after the start or a pause of the box
# before it is rejected, which would cost the caller one of its attempts. The box gets
# its proof within some 10 ms.
REFRESH_WAIT_SECONDS: Final = 0.05
# Callers retry at another box, whose configuration may be fresh.
RETRY_AFTER_SECONDS: Final = 0.3
# While the store is unavailable no box is fresh: the two or three attempts of a caller
# have to outlast the part of the outage that freshness proofs do not cover.
STORE_UNAVAILABLE_RETRY_SECONDS: Final = 1.3
# Limits the retry delay to this share of the caller's timeout, so that the caller
# still has time to retry.
MAX_RETRY_TIMEOUT_SHARE: Final = 0.3


class FreshnessSource(Protocol):
    """Reports how fresh the configuration of this box is."""

    @property
    def age_seconds(self) -> float:
        """Time since the configuration was last known to be the newest."""
        ...

    @property
    def is_store_unavailable(self) -> bool:
        """Whether other boxes answer but have no newer configuration either."""
        ...

    def refresh(self, seconds: float) -> None:
        """Look for a newer freshness proof for at most `seconds`."""
        ...


class KeyAuthenticator:
    """Rejects unknown keys with 401, and calls on a stale configuration with 503."""

    def __init__(
        self,
        routes: ActiveRouteTable,
        proof_age_limit: ProofAgeLimit,
        freshness: FreshnessSource,
        metrics: Metrics,
    ) -> None:
        self.routes = routes
        self.proof_age_limit = proof_age_limit
        self.freshness = freshness
        self.metrics = metrics

    @property
    def requires_fresh_configuration(self) -> bool:
        """Whether keys are required and revocations take effect within a bound."""
        table = self.routes.table
        has_keys = table is not None and table.keys is not None
        return has_keys and not self.proof_age_limit.is_unbounded

    @property
    def is_configuration_fresh(self) -> bool:
        """Whether the configuration is fresh enough to authenticate calls."""
        return self.proof_age_limit.accepts(self.freshness.age_seconds)

    @property
    def is_configuration_stale(self) -> bool:
        """Whether callers with keys should use another box."""
        return self.requires_fresh_configuration and not self.is_configuration_fresh

    def authenticate(
        self, request: CallerRequest, call: Call, route: Route, table: RouteTable
    ) -> CallerIdentity | None:
        """Return the caller's identity; None if no workspace has keys configured.

        Raises
        ------
        CallRefusedError
            When the key is missing or unknown, or the configuration is stale.
        """
        if table.keys is None:
            return None
        key = read_key(request)
        digest = digest_key(key) if key else b""
        if route.is_public:
            return CallerIdentity(self.identify(request, digest, call, route), digest)
        if not key:
            raise self.make_refusal(401, "no usable key")
        if not self.is_configuration_fresh:
            self.freshness.refresh(REFRESH_WAIT_SECONDS)
        return CallerIdentity(self.find_workspace(digest, call), digest)

    def identify(
        self, request: CallerRequest, digest: bytes, call: Call, route: Route
    ) -> Workspace | None:
        """Return the workspace of a key on a public route; None if it is unknown.

        Records of a program belong to its workspace. A call that uses them waits for a
        proof, since it would miss those of earlier calls under no workspace.
        """
        uses_records = route.retains_turns or call.program.budget is not None
        if not (digest and uses_records):
            return self.look_up(digest)
        if not self.is_configuration_fresh:
            self.freshness.refresh(REFRESH_WAIT_SECONDS)
        self.check_freshness(call)
        if self.look_up(digest) is None and call.program.previous_turn:
            self.confirm_configuration(call, request.read_at)
        return self.look_up(digest)

    def look_up(self, digest: bytes) -> Workspace | None:
        """Return the workspace of a key, None if unknown or without a proof."""
        table = self.routes.table
        if table is None or table.keys is None or not self.is_configuration_fresh:
            return None
        return table.keys.find(digest)

    def check_freshness(self, call: Call) -> None:
        """Raise a 503 unless the configuration is fresh enough."""
        if not self.is_configuration_fresh:
            wait = self.compute_retry_seconds(call)
            raise self.make_refusal(503, "the configuration is not proven", wait)

    def revalidate(self, call: Call) -> None:
        """Check the key again right before a send, as the call may have waited."""
        caller_identity = call.caller_identity
        if caller_identity is None or caller_identity.workspace is None:
            return
        found = self.find_workspace(caller_identity.digest, call)
        if found.name != caller_identity.workspace.name:
            raise self.make_refusal(401, "the key went to another workspace")

    def find_workspace(self, digest: bytes, call: Call) -> Workspace:
        """Return the workspace of a key in the newest configuration."""
        self.check_freshness(call)
        workspace = self.look_up(digest)
        if workspace is None:
            raise self.make_refusal(401, "unknown key")
        return workspace

    def confirm_configuration(self, call: Call, moment: float) -> None:
        """Raise a 503 unless the configuration was proven newest after `moment`.

        A query that is already under way was sent too early, so a second one follows.
        """
        for _ in range(2):
            if not self.was_newest_after(moment):
                self.freshness.refresh(REFRESH_WAIT_SECONDS)
        if not self.was_newest_after(moment):
            wait = self.compute_retry_seconds(call)
            raise self.make_refusal(503, "the configuration may be old", wait)

    def was_newest_after(self, moment: float) -> bool:
        """Whether a proof of the configuration was asked for after `moment`."""
        return self.freshness.age_seconds <= time.monotonic() - moment

    def compute_retry_seconds(self, call: Call) -> float:
        """Return the retry delay of a call rejected for a stale configuration."""
        if not self.freshness.is_store_unavailable:
            return RETRY_AFTER_SECONDS
        if call.caller_timeout_seconds is None:
            return STORE_UNAVAILABLE_RETRY_SECONDS
        max_seconds = MAX_RETRY_TIMEOUT_SHARE * call.caller_timeout_seconds
        return min(STORE_UNAVAILABLE_RETRY_SECONDS, max_seconds)

    def make_refusal(
        self, status: int, reason: str, retry_after_seconds: float | None = None
    ) -> CallRefusedError:
        """Count a rejection; return its error with the age of the configuration."""
        self.metrics.count_refusal("no_proof" if status == 503 else "key")
        facts = self.describe_freshness()
        return CallRefusedError(status, reason, retry_after_seconds, facts)

    def describe_freshness(self) -> dict[str, float]:
        """Return the age of the configuration as log fields of a rejection."""
        return {"proof_age": cap_age(self.freshness.age_seconds)}

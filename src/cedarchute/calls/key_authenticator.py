"""Tells whose a call is by its key, and that the key holds until the call is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.caller_identity import CallerIdentity
from cedarchute.decisions.proof_age_limit import cap_age
from cedarchute.platform.call_headers import read_key
from cedarchute.routing.workspace_keys import digest_key

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.decisions.proof_age_limit import ProofAgeLimit
    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.routing.active_route_table import ActiveRouteTable
    from cedarchute.routing.route import Route
    from cedarchute.routing.route_table import RouteTable
    from cedarchute.routing.workspace import Workspace

# A box that has just started or woken up gets its proof within some 10 ms; the calls
# that come first wait for it rather than spend one of their few tries.
PROOF_SECONDS: Final = 0.05
# Callers come back to another box, which may have a proof.
RETRY_AFTER_SECONDS: Final = 0.3
# When no other box has one either, the store is away: the two or three tries of a
# caller have to last longer than the outage goes on beyond the time that proofs hold.
STORE_AWAY_RETRY_SECONDS: Final = 1.3
# Callers come back within a third of the time that they have left, or not at all.
RETRY_PATIENCE_SHARE: Final = 0.3


class FreshnessSource(Protocol):
    """Says since when this box's configuration may be out of date."""

    @property
    def age_seconds(self) -> float:
        """How long ago it was certainly the newest."""
        ...

    @property
    def is_store_unavailable(self) -> bool:
        """Whether other boxes answer, and know nothing newer either."""
        ...

    def refresh(self, seconds: float) -> None:
        """Look for a newer proof; return after `seconds` at most."""
        ...


class KeyAuthenticator:
    """Answers 401 for a key that is nobody's, and 503 when this box can't be sure."""

    def __init__(
        self,
        routes: ActiveRouteTable,
        trust: ProofAgeLimit,
        proof: FreshnessSource,
        metrics: Metrics,
    ) -> None:
        self.routes = routes
        self.trust = trust
        self.proof = proof
        self.metrics = metrics

    @property
    def needs_proof(self) -> bool:
        """Whether calls need keys, and keys have to be of no use once taken away."""
        table = self.routes.table
        has_keys = table is not None and table.keys is not None
        return has_keys and not self.trust.is_unbounded

    @property
    def is_proven(self) -> bool:
        """Whether this box may go by the keys that it knows."""
        return self.trust.accepts(self.proof.age_seconds)

    @property
    def is_configuration_stale(self) -> bool:
        """Whether callers with keys are served better elsewhere."""
        return self.needs_proof and not self.is_proven

    def identify(
        self, request: CallerRequest, call: Call, route: Route, table: RouteTable
    ) -> CallerIdentity | None:
        """Return whose a call is; None where workspaces hold no keys.

        Raises
        ------
        CallRefusedError
            When its key lets nothing pass here; nothing ran.
        """
        if table.keys is None:
            return None
        key = read_key(request)
        digest = digest_key(key) if key else b""
        if route.is_public:
            workspace = table.keys.find(digest) if self.is_proven else None
            return CallerIdentity(workspace, digest)
        if not key:
            raise self.refuse(401, "no usable key")
        if not self.is_proven:
            self.proof.refresh(PROOF_SECONDS)
        return CallerIdentity(self.find_workspace(digest, call), digest)

    def confirm(self, call: Call) -> None:
        """Check once more, right before a call is sent: it may have waited long."""
        caller_identity = call.caller_identity
        if caller_identity is None or caller_identity.workspace is None:
            return
        found = self.find_workspace(caller_identity.digest, call)
        if found.name != caller_identity.workspace.name:
            raise self.refuse(401, "the key went to another workspace")

    def find_workspace(self, digest: bytes, call: Call) -> Workspace:
        """Return the holder of a key by the newest configuration."""
        if not self.is_proven:
            wait = self.find_retry_seconds(call)
            raise self.refuse(503, "the configuration is not proven", wait)
        table = self.routes.table
        workspace = table.keys.find(digest) if table and table.keys else None
        if workspace is None:
            raise self.refuse(401, "unknown key")
        return workspace

    def find_retry_seconds(self, call: Call) -> float:
        """Return when a caller should ask again for want of a proof here."""
        if not self.proof.is_store_unavailable:
            return RETRY_AFTER_SECONDS
        if call.caller_timeout_seconds is None:
            return STORE_AWAY_RETRY_SECONDS
        longest = RETRY_PATIENCE_SHARE * call.caller_timeout_seconds
        return min(STORE_AWAY_RETRY_SECONDS, longest)

    def refuse(
        self, status: int, reason: str, retry_after_seconds: float | None = None
    ) -> CallRefusedError:
        """Return a refusal that tells what it was decided by."""
        self.metrics.count_refusal("no_proof" if status == 503 else "key")
        facts = self.tell_proof()
        return CallRefusedError(status, reason, retry_after_seconds, facts)

    def tell_proof(self) -> dict[str, float]:
        """Return how old this box's knowledge is, for a line about a refusal."""
        return {"proof_age": cap_age(self.proof.age_seconds)}

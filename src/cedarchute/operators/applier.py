"""Applies an operators' file by one compare-and-swap in the store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from cedarchute.message import Message
from cedarchute.operators.accepted_file import AcceptedFile, AppliedOperation
from cedarchute.operators.parser import parse_site_file
from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.problem import Problem
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.metrics import Metrics
    from cedarchute.operators.configuration import Configuration
    from cedarchute.platform.store_client import StoreClient

log = logging.getLogger("cedarchute.configuration")

RECENT_OPERATIONS: Final = 50
STORE_RETRY_SECONDS: Final = 5.0


class ApplyRequest(Message):
    """An operator's wish to replace the file of revision `base`."""

    operation: str
    operator: str
    base: int
    text: str


class ApplyResult(Message):
    """What became of an apply."""

    revision: int
    operator: str
    already_applied: bool = False


class Applier:
    """Accepts files: accepted means that the compare-and-swap took effect."""

    def __init__(
        self,
        store: StoreClient,
        key: str,
        configuration: Configuration,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.key = key
        self.configuration = configuration
        self.clock = clock
        self.metrics = metrics

    def apply(self, request: ApplyRequest) -> ApplyResult:
        """Replace the accepted file, if nobody else did since `request.base`.

        Raises
        ------
        IniError
            When the file is wrong; nothing was changed.
        Problem
            ``apply_raced`` names the operator who won; ``store_unavailable``
            says whether the apply may have taken effect.
        """
        parse_site_file(request.text, "file")
        try:
            return self._swap(request)
        except StoreUnavailableError as error:
            self.metrics.count_refusal("store_unavailable")
            raise Problem(
                "store_unavailable",
                f"The store did not say whether the file was accepted ({error}); "
                f"ask again with the same operation {request.operation}.",
                status=503,
                verdict=Verdict.MAY_HAVE_RUN,
                retry_after=STORE_RETRY_SECONDS,
            ) from error

    def _swap(self, request: ApplyRequest) -> ApplyResult:
        # Taken before the read: what is in force by then, the store must have.
        in_force = self.configuration.revision
        entry = self.store.get(self.key)
        stored = AcceptedFile.model_validate_json(entry.value) if entry else None
        earlier = stored.find_operation(request.operation) if stored else None
        if earlier is not None:
            return ApplyResult(
                revision=earlier.revision,
                operator=earlier.operator,
                already_applied=True,
            )
        revision = stored.revision if stored else 0
        if revision < in_force:
            raise Problem(
                "store_went_back",
                f"The store holds revision {revision} but "
                f"{in_force} is in force; it is being repaired.",
                status=503,
                retry_after=STORE_RETRY_SECONDS,
            )
        if revision != request.base:
            self.metrics.count_refusal("apply_raced")
            raise self._raced(stored, request.base)
        applied = AppliedOperation(
            operation=request.operation,
            revision=revision + 1,
            operator=request.operator,
        )
        accepted = AcceptedFile(
            revision=revision + 1,
            operation=request.operation,
            operator=request.operator,
            applied_at=self.clock.wall(),
            text=request.text,
            recent=(applied, *(stored.recent if stored else ()))[:RECENT_OPERATIONS],
        )
        result = self.store.swap(
            self.key, accepted.to_json(), entry.version if entry else 0
        )
        if not result.won:
            self.metrics.count_refusal("apply_raced")
            current = result.current
            winner = (
                AcceptedFile.model_validate_json(current.value) if current else None
            )
            raise self._raced(winner, request.base)
        self.configuration.offer(accepted, "apply")
        return ApplyResult(revision=accepted.revision, operator=accepted.operator)

    def _raced(self, winner: AcceptedFile | None, base: int) -> Problem:
        who = winner.operator if winner else "nobody"
        revision = winner.revision if winner else 0
        return Problem(
            "apply_raced",
            f"Your file replaces revision {base}, but {who} has applied revision "
            f"{revision} since; look at 'cedarchute diff' and apply again.",
            status=409,
        )

    def repair(self) -> None:
        """Write the file in force back to a store that holds an older one."""
        accepted = self.configuration.accepted
        if accepted is None:
            return
        entry = self.store.get(self.key)
        if entry is not None:
            stored = AcceptedFile.model_validate_json(entry.value)
            if stored.revision >= accepted.revision:
                self.configuration.offer(stored, "store")
                return
        self.metrics.count("configuration.store_repaired")
        log.warning("Store went back; writing revision %d again.", accepted.revision)
        self.store.swap(self.key, accepted.to_json(), entry.version if entry else 0)

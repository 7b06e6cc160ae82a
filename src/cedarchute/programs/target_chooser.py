"""Chooses the target of a program's next call, and the call's priority."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.scheduling.placement import PlacementRequest
from cedarchute.scheduling.prefix_digests import digest_prefixes
from cedarchute.scheduling.priority import PriorityInputs, compute_priority

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from cedarchute.clock import Clock
    from cedarchute.operators.configuration import Configuration
    from cedarchute.programs.program import Program
    from cedarchute.programs.records import ChatMessage
    from cedarchute.scheduling.placement import PlacementPolicy
    from cedarchute.scheduling.target_directory import TargetDirectory
    from cedarchute.scheduling.target_state import TargetState


class TargetChooser:
    """Tells the policy in force what it may know of a program."""

    def __init__(
        self,
        book: TargetDirectory,
        policy: Callable[[], PlacementPolicy],
        configuration: Configuration,
        failure_domain: str,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self.book = book
        self.policy = policy
        self.configuration = configuration
        self.failure_domain = failure_domain
        self.clock = clock
        self.random_source = random_source

    def choose(
        self,
        program: Program,
        service: str,
        messages: Sequence[ChatMessage],
        max_tokens: int,
        excluded: set[str],
    ) -> TargetState | None:
        """Return the target that a call should go to, or None."""
        usable = self.book.list_available(service, excluded)
        if not usable:
            return None
        if messages and not program.prefixes:
            program.prefixes = digest_prefixes(m.content for m in messages)
        request = PlacementRequest(
            program=program.id,
            prompt_tokens=sum(len(m.content) for m in messages) // 4,
            max_tokens=max_tokens,
            cached_tokens=self.find_cached(program),
            prefixes=program.prefixes,
            priority=self.priority_of(program),
            last_target=program.last_target,
            failure_domain=self.failure_domain,
        )
        return self.policy().choose(request, usable, self.random_source)

    def find_cached(self, program: Program) -> dict[str, int]:
        """Return what sound targets have cached, those that are leaving included."""
        found = {}
        for name, tokens in program.cached_tokens_by_target.items():
            target = self.book.find(name)
            if target is not None and target.failures == 0:
                found[name] = tokens
        return found

    def priority_of(self, program: Program) -> int:
        """Return the priority of a program's next call; lower goes first."""
        site = self.configuration.site
        opened = program.opened
        if site is None or opened is None or not site.is_program_aware:
            return 0
        workspace = site.workspaces.get(program.workspace)
        standing = PriorityInputs(
            opened_at=opened.root_opened_at,
            age_seconds=self.clock.wall() - opened.root_opened_at,
            attained_tokens=program.attained_tokens,
            weight=workspace.weight if workspace else 1.0,
        )
        return compute_priority(site.site.order, standing)

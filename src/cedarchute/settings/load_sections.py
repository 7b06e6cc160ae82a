"""Sections of an entry box on what it does under load."""

from __future__ import annotations

import msgspec


class FairShareSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[fair_share]``: how workspaces share their limits.

    Attributes
    ----------
    whole_programs : bool or None
        Whether programs are admitted only if their limit holds all of their calls.
        None: if the contracts of the deployment call for it, as for other parts.
    """

    whole_programs: bool | None = None


class PlacementSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[placement]``: how the targets of calls are selected.

    Attributes
    ----------
    share_knowledge : bool
        Whether boxes of a failure domain tell each other what they know of targets.
    by_pace : bool
        Whether targets are selected by chance, weighted by measured pace and room.
        Both apply to services with streams that may run at one target only: there a
        wrong choice is final.
    """

    share_knowledge: bool = False
    by_pace: bool = False


class WaitingSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[waiting]``: how calls wait while no target has a free place.

    Attributes
    ----------
    in_order : bool or None
        Whether calls wait in order of urgency, which engines are told as well.
    max_calls : int
        Calls that may wait in this box at once.
    """

    in_order: bool | None = None
    max_calls: int = 64


class StreamsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[streams]``: what happens to streams whose target fails.

    Attributes
    ----------
    resume : bool or None
        Whether they go on at another target where their route allows it.
    """

    resume: bool | None = None


class AnswersSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[answers]``: limits on what targets send.

    Attributes
    ----------
    max_head_kb : int
        Kilobytes of a head, with interim answers, and of trailers.
    max_event_kb : int
        Kilobytes of one event of a stream.
    max_held_kb : int
        Kilobytes of a body that is held as a whole; a longer one is passed on as it
        comes, and no other target is tried for it.
    max_body_mb : int
        Megabytes of a body; streams of events have no such limit.
    max_total_mb : int
        Megabytes of all answers that a box holds at once.
    """

    max_head_kb: int = 64
    max_event_kb: int = 1024
    max_held_kb: int = 1024
    max_body_mb: int = 64
    max_total_mb: int = 32


class PressureSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[pressure]``: bounds on what this box holds.

    Attributes
    ----------
    max_held_mb : float or None
        Megabytes held for callers and targets; 0 sets no bound. None: a share of the
        memory that the process may use.
    share_connections : bool
        Whether this box opens only its share of the connections of a target.
    """

    max_held_mb: float | None = None
    share_connections: bool = False

"""One run of a seed: faults or work under programs, then calm, then the check."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from experiments.soak.cut_requests import count_cut
from experiments.soak.final_fault import draw_final_fault
from experiments.soak.final_player import FinalPlayer
from experiments.soak.in_force import is_in_force
from experiments.soak.kept_caller import list_kept_callers
from experiments.soak.long_program import list_long_programs
from experiments.soak.place_caller import list_place_callers
from experiments.soak.play import Play, make_player
from experiments.soak.program import MOST_TOKENS, MOST_TURNS, ProgramCaller
from experiments.soak.promises import find_broken
from experiments.soak.shape import Shape, draw_shape
from experiments.soak.soak_site import TURN_PLACES, SoakSite
from experiments.soak.unanswered import count_unanswered
from experiments.waiting import ConditionError, wait_until

if TYPE_CHECKING:
    from pathlib import Path

# After the last fault, everything is served again within this: the required bound on
# recovery is 12 s.
RECOVERY_SECONDS: Final = 20.0
# Programs that each caller finishes after that, one of which began before it, and the
# turns which that may take: twice as many as the longest programs have.
CALM_PROGRAMS: Final = 3
CALM_TURNS: Final = 2 * CALM_PROGRAMS * MOST_TURNS


@dataclass
class SoakResult:
    """How one run ended.

    Attributes
    ----------
    figures : Counter
        Requests that ended without an answer, by how they are judged, those that were
        cut by entries in touch (counted among the others as well), and processes
        that a signal ended before anyone could reach them.
    """

    seed: int
    steps: int
    tries: int = 0
    runs: int = 0
    programs: int = 0
    broken: list[str] = field(default_factory=list)
    figures: Counter[str] = field(default_factory=Counter)


def play_seed(
    seed: int,
    seconds: float,
    callers: int,
    folder: Path,
    play: Play = Play.FAULTS,
    with_final: bool = False,
) -> SoakResult:
    """Play what a seed says for `seconds`, and check the promises.

    Parameters
    ----------
    with_final : bool
        Whether a fault right after something was confirmed comes last.
    """
    is_direct = play is not Play.FAULTS
    shape = draw_shape(seed) if play is Play.TURNOVER else Shape()
    site = SoakSite(folder, seed, is_direct, shape)
    player = make_player(play, site, seed, seconds)
    result = SoakResult(seed, player.count)
    try:
        site.start()
        programs = [ProgramCaller(number, seed, site) for number in range(callers)]
        others = list_kept_callers(seed, site) if is_direct else []
        if play is Play.TURNOVER:
            programs += list_long_programs(seed, site)
            others = list_place_callers(seed, site)
        for caller in [*programs, *others]:
            caller.thread.start()
        player.play()
        if with_final:
            player.close()
            final = FinalPlayer(site, draw_final_fault(seed), seed)
            result.broken += final.play()
        for caller in others:
            caller.going = False
        result.broken += check_recovery(site, programs)
        for caller in programs:
            caller.going = False
        for caller in [*programs, *others]:
            caller.thread.join()
            result.broken += caller.failures
        result.broken += player.failures
        result.broken += find_broken(site.records, MOST_TOKENS, TURN_PLACES)
        figures = count_unanswered(site.records) + count_cut(site.records)
        result.figures = figures + player.figures
        result.programs = sum(program.finished for program in programs)
    finally:
        player.close()
        site.stop()
    result.tries = len(site.records.tries)
    result.runs = sum(len(runs) for runs in site.records.runs.values())
    return result


def check_recovery(site: SoakSite, programs: list[ProgramCaller]) -> list[str]:
    """Return a line for each thing that is not served again in time."""
    try:
        site.wait_whole(RECOVERY_SECONDS)
        site.configure()
        for name in list(site.entries):
            wait_until(
                lambda n=name: is_in_force(site, n),
                f"{site.mark} is in force on {name}",
                RECOVERY_SECONDS,
            )
        wanted = [(p, p.finished + CALM_PROGRAMS, p.answered_turns) for p in programs]
        for program, count, turns in wanted:
            await_programs(program, count, turns + CALM_TURNS)
    except ConditionError as error:
        return [f"RECOVER {error}"]
    return []


def await_programs(program: ProgramCaller, count: int, most_turns: int) -> None:
    """Wait until a caller has finished programs, as long as its turns are answered.

    How many turns a second are answered is up to the machine, so each has a bound.

    Raises
    ------
    ConditionError
        When none is answered for `RECOVERY_SECONDS`, or too many are without an end.
    """
    while program.finished < count:
        turns = program.answered_turns
        if turns > most_turns:
            raise ConditionError(
                f"{program.name} has {turns} turns and ends no program"
            )
        wait_until(
            lambda seen=turns: (
                program.finished >= count or program.answered_turns > seen
            ),
            f"{program.name} finishes programs again",
            RECOVERY_SECONDS,
        )

"""The mechanisms that the proof rests on, and how each is taken out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

FUZZ: Final = (
    "tests/stateful/test_programs_machine.py::"
    "test_any_order_of_calls_failures_and_recoveries"
)
WRITE_AHEAD: Final = "tests/programs/test_write_ahead.py"
KILLED: Final = "tests/failures/test_home_killed.py::"
PAUSED: Final = "tests/failures/test_home_paused.py::"
STOPPED: Final = "tests/failures/test_planned_stop.py::"
TARGETS: Final = "tests/failures/test_targets.py::"
CONFIGURATION: Final = "tests/failures/test_configuration.py::"
LINKS: Final = "tests/failures/test_links.py::"
MOVES: Final = "tests/failures/test_cache_moves.py::"
FATAL: Final = "tests/platform_site/test_fatal_requests.py::"
UNSEEN: Final = "tests/platform_site/test_unseen_ends.py::"
WATCH: Final = "tests/crashes/test_crash_watch.py::"
SHARED: Final = "tests/test_shared_beginnings.py"


@dataclass(frozen=True)
class Mutation:
    """A mechanism, the text that takes it out, and the test that must fail."""

    mechanism: str
    file: str
    before: str
    after: str
    test: str


MUTATIONS: Final = (
    Mutation(
        "the intent stands on holders before the call goes out",
        "programs/call_runner.py",
        "self.registry.append(program, [intent])",
        "self.registry.append_without_waiting(program, intent)",
        FUZZ,
    ),
    Mutation(
        "the outcome stands on holders before the answer",
        "copies/owned_partition.py",
        ">= record.quorum",
        ">= 0",
        FUZZ,
    ),
    Mutation(
        "holders refuse appends of old epochs",
        "copies/holder.py",
        "if append.epoch < copy.epoch:",
        "if False:",
        "tests/copies/test_holder.py",
    ),
    Mutation(
        "a holder waits before it seals a silent owner",
        "copies/holder.py",
        "and silent_seconds < self.takeover_seconds",
        "and False",
        "tests/copies/test_holder.py",
    ),
    Mutation(
        "an owner confirms that it is one before it sends or refuses",
        "copies/replicator.py",
        "if self.is_recently_confirmed(partition):",
        "if True:",
        WRITE_AHEAD,
    ),
    Mutation(
        "the intent stands on holders before the call goes out",
        "programs/call_runner.py",
        "self.registry.append(program, [intent])",
        "self.registry.append_without_waiting(program, intent)",
        WRITE_AHEAD,
    ),
    Mutation(
        "the outcome stands on holders before the answer",
        "copies/owned_partition.py",
        ">= record.quorum",
        ">= 0",
        WRITE_AHEAD,
    ),
    Mutation(
        "an open call that may not repeat is not sent again",
        "programs/program_resumer.py",
        "if call_state.kind is ServiceKind.PLAIN and not call_state.repeatable:",
        "if False:",
        KILLED + "test_an_open_call_that_may_not_repeat_is_not_sent_again",
    ),
    Mutation(
        "only what was not run or may repeat is tried again",
        "programs/dispatcher.py",
        "if error.verdict is not Verdict.NOT_RUN and not call.intent.repeatable:",
        "if False:",
        "tests/programs/test_dispatcher.py",
    ),
    Mutation(
        "a known key gets the answer it has",
        "programs/call_runner.py",
        "if known_run is not None:",
        "if False:",
        PAUSED + "test_one_key_at_every_box_at_once_runs_once",
    ),
    Mutation(
        "calls of a program wait for their turn",
        "programs/call_runner.py",
        "            with program.turn_lock:\n"
        "                outcome = self.run_in_turn",
        "            if True:\n                outcome = self.run_in_turn",
        "tests/programs/test_call_order.py",
    ),
    Mutation(
        "a stream is read on by the new home",
        "programs/program_resumer.py",
        "is_resumed=is_model, may_have_run=True",
        "is_resumed=False, may_have_run=True",
        KILLED + "test_a_stream_survives_the_kill_of_its_home",
    ),
    Mutation(
        "a home that reads its records is waited for, also by what was passed on",
        "border/home_follower.py",
        "if problem.code != RECOVERING_CODE:",
        "if problem.code != RECOVERING_CODE or exchange.is_forwarded:",
        STOPPED + "test_a_stream_goes_on_while_its_next_home_recovers",
    ),
    Mutation(
        "nothing follows the refusal of a stream",
        "border/stream_relay.py",
        "found.append(stream_problem_document(document))",
        "found.append(iter([make_problem_document_events(document)]))",
        "tests/border/test_stream_relay.py",
    ),
    Mutation(
        "a wait for a home that lost ends",
        "border/owner_watch.py",
        "if wait in self.waits:",
        "if False:",
        PAUSED + "test_an_entry_that_waits_for_a_paused_home_goes_on_with_the_next",
    ),
    Mutation(
        "a release is tried until it is confirmed",
        "programs/cache_releaser.py",
        "eventlet.sleep(backoff)",
        "return",
        "tests/programs/test_cache_releaser.py",
    ),
    Mutation(
        "whoever takes over releases what is owed",
        "programs/program_resumer.py",
        "        if program.ended is not None:\n            for listener",
        "        if False:\n            for listener",
        "tests/programs/test_cache_releaser.py",
    ),
    Mutation(
        "a lower revision is ignored",
        "operators/configuration.py",
        "if accepted.revision <= self.revision:",
        "if False:",
        "tests/operators/test_configuration.py",
    ),
    Mutation(
        "a store that went back is repaired",
        "operators/applier.py",
        "if stored.revision >= accepted.revision:",
        "if True:",
        CONFIGURATION + "test_a_store_that_comes_back_older_reverts_nothing",
    ),
    Mutation(
        "an apply is settled by its operation",
        "operators/applier.py",
        "earlier = stored.find_operation(request.operation) if stored else None",
        "earlier = None",
        CONFIGURATION + "test_a_lost_reply_is_settled_by_the_operation",
    ),
    Mutation(
        "silence of the store is no sign that a box is gone",
        "ownership/owner_check.py",
        "return known is None or not self.answers(known)",
        "return True",
        "tests/ownership/test_takeover.py",
    ),
    Mutation(
        "entries are left first and served on while answers are kept",
        "daemon/stopper.py",
        "eventlet.sleep(self.settings.entry_keep_seconds)",
        "pass",
        STOPPED + "test_a_leaving_box_serves_as_long_as_answers_are_kept",
    ),
    Mutation(
        "a stop waits for plain calls in progress",
        "daemon/stopper.py",
        "self.wait_until(lambda: not self.has_plain_calls(partition)",
        "self.wait_until(lambda: True or partition",
        STOPPED + "test_a_planned_stop_cuts_nothing_off",
    ),
    Mutation(
        "a leaving target gets nothing new",
        "scheduling/target_directory.py",
        "if not is_draining(target)",
        "if True",
        TARGETS + "test_a_leaving_target_gets_nothing_new",
    ),
    Mutation(
        "a call's reserve is taken from the budget before it goes out",
        "programs/program.py",
        "return self.opened.budget.tokens - self.spent_tokens - reserved - allocated",
        "return self.opened.budget.tokens - self.spent_tokens - allocated",
        "tests/programs/test_program.py",
    ),
    Mutation(
        "copies stand in other failure domains",
        "ownership/holder_choice.py",
        "if box.failure_domain not in used_domains",
        "if True",
        "tests/ownership/test_holder_choice.py",
    ),
    Mutation(
        "orders end before their term does",
        "targets/orders/engine_reconciler.py",
        "if self.clock.monotonic() - started > LEASE_SECONDS - LEASE_MARGIN_SECONDS:",
        "if False:",
        "tests/targets/test_engine_reconciler.py",
    ),
    Mutation(
        "a term is taken only after the last one is over",
        "targets/orders/engine_reconciler.py",
        "if last is not None and not self.is_expired(last):",
        "if False:",
        "tests/targets/test_engine_reconciler.py",
    ),
    Mutation(
        "retries are held to their allowance",
        "limits/retry_budget.py",
        "if self.level < 1.0:",
        "if False:",
        "tests/limits/test_retry_budget.py",
    ),
    Mutation(
        "a box whose lease lapsed is gone only if nobody hears it",
        "ownership/owner_check.py",
        "        owner = record.owner\n        name = owner",
        "        return True\n        owner = record.owner\n        name = owner",
        LINKS + "test_a_box_cut_from_the_store_keeps_its_programs_and_hears_of_files",
    ),
    Mutation(
        "the spare holder is asked when a preferred one is late",
        "copies/replicator.py",
        "if not is_spare_asked and waited >= self.settings.spare_after_seconds:",
        "if False:",
        LINKS + "test_a_holder_behind_a_cut_link_costs_no_call",
    ),
    Mutation(
        "an apply compares with what was in force before its read",
        "operators/applier.py",
        "if revision < in_force:",
        "if revision < self.configuration.revision:",
        "tests/operators/test_applier.py",
    ),
    Mutation(
        "what programs share outlives them",
        "programs/model_caller.py",
        "                self.pin_shared_prefix(call, target)\n",
        "",
        SHARED,
    ),
    Mutation(
        "what programs shared is freed after its spans",
        "programs/cache_sweeper.py",
        "if is_pinned_prefix_expired(program, now):",
        "if False:",
        SHARED,
    ),
    Mutation(
        "the cache of a leaving engine moves with the program",
        "programs/dispatcher.py",
        "self.cache_migrator.migrate_if_worthwhile(call.program, target)",
        "pass",
        MOVES + "test_the_cache_of_a_leaving_engine_moves_with_the_program",
    ),
    Mutation(
        "a target that other boxes work with is found for what it still owes",
        "scheduling/target_directory.py",
        "if state is not None or self.site is None or name not in self.site.targets:",
        "if True:",
        "tests/programs/test_cache_releaser.py",
    ),
    Mutation(
        "each target is worked with by some box",
        "scheduling/target_directory.py",
        "if position < self.subset or self.ring.find_owner(name) == self.box",
        "if position < self.subset",
        "tests/scheduling/test_target_directory.py",
    ),
    Mutation(
        "each engine is swept by one box",
        "programs/cache_sweeper.py",
        "if is_engine and ring.find_owner(name) == self.box:",
        "if is_engine and len(name) % 2:",
        "tests/programs/test_cache_sweeper.py",
    ),
    Mutation(
        "a busy box uses what it has borrowed",
        "limits/workspace_limits.py",
        "bucket.take() or loan.take(now)",
        "bucket.take()",
        "tests/limits/test_workspace_limits.py",
    ),
    Mutation(
        "a request under which three targets crashed is sent to no other one",
        "decisions/crash_count.py",
        "return self.crashes >= MAX_CRASHES",
        "return False",
        "tests/decisions/test_crash_count.py::"
        "test_crashes_one_after_the_other_block_a_request",
    ),
    Mutation(
        "targets that end side by side count each",
        "crashes/crash_watch.py",
        "if len(suspects) < MAX_CRASHES:",
        "if suspects:",
        f"{UNSEEN}test_attempts_side_by_side_send_nothing_after_the_third_end",
    ),
    Mutation(
        "a target that nobody can tell of counts as ended",
        "crashes/watched_run.py",
        "            self.count_open_run()\n",
        "            self.clear()\n",
        f"{UNSEEN}test_a_request_is_sent_to_no_fourth_target_however_three_ended",
    ),
    Mutation(
        "a target that was left by its caller is looked at",
        "crashes/watched_run.py",
        "            self.settle(request_id)\n",
        "            pass\n",
        f"{UNSEEN}test_a_request_whose_caller_left_before_each_end_is_not_sent_on",
    ),
    Mutation(
        "other boxes are told of a crash before its call is answered",
        "crashes/watched_run.py",
        "self.exchange.tell_and_wait(self.digest)",
        "pass",
        f"{WATCH}test_crashes_under_all_attempts_of_a_request_block_it",
    ),
    Mutation(
        "a box that starts learns of crashes",
        "crashes/crash_exchange.py",
        "asking.wait()",
        "asking.kill()",
        f"{FATAL}test_a_request_is_counted_across_a_restart_of_the_box_that_comes_next",
    ),
    Mutation(
        "an answer clears a request, crashes side by side count once",
        "decisions/crash_count.py",
        "return CrashCount(self.clearances + 1, 0)",
        "return self",
        f"{FATAL}test_requests_on_targets_that_crash_by_themselves_are_all_served",
    ),
)

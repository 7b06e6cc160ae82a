"""Calls whose route this box does not know."""

from __future__ import annotations

import math
import time

import pytest

from cedarchute.calls.call_dispatcher import CallDispatcher
from cedarchute.calls.key_authenticator import KeyAuthenticator
from cedarchute.calls.shutdown_deadline import ShutdownDeadline
from cedarchute.decisions.key_trust import ProofAgeLimit
from cedarchute.metrics import Metrics
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.input_limits import InputLimits
from cedarchute.relay.reply_writer import ReplyWriter
from cedarchute.routing.active_route_table import ActiveRouteTable
from cedarchute.routing.route import Repeatability, Route
from cedarchute.routing.route_table import RouteTable

OLD_ROUTE = Route("old", "h", b"/old/", Repeatability.ONCE, (), 8.0, 0.4)
NEW_ROUTE = Route("new", "h", b"/new/", Repeatability.STREAM, (), 8.0, 0.4)
TURN = (b"Previous-Turn", b"t1")


class Proof:
    """A proof of the configuration, asked for at a given time.

    Attributes
    ----------
    on_refresh : list of Callable
        What the next queries of the store do; none succeeds after them.
    """

    is_store_unavailable = False

    def __init__(self, proven_at, *on_refresh):
        self.proven_at = proven_at
        self.on_refresh = list(on_refresh)

    @property
    def age_seconds(self):
        return time.monotonic() - self.proven_at

    def refresh(self, seconds):
        if self.on_refresh:
            self.on_refresh.pop(0)()

    def renew(self):
        self.proven_at = time.monotonic()


class Answering:
    """A handler that answers at once."""

    def run(self, request, writer, call, route):
        writer.write_whole(200, Headers(), b"done")


class NoQuota:
    def check(self, call):
        pass


def make_table(version, *routes):
    return RouteTable(version, routes, {}, InputLimits())


def make_routes():
    routes = ActiveRouteTable(Metrics())
    routes.update_if_newer(make_table(1, OLD_ROUTE), "test")
    return routes


def handle(routes, proof, *fields, path=b"/new/x"):
    """Return the status of a call whose route is in the second configuration."""
    fields = ((b"Host", b"h"), (b"Attempt-Id", b"t2"), *fields)
    request = CallerRequest(b"POST", path, Headers(fields), b"", True, time.monotonic())
    writer = ReplyWriter(request, lambda data: None, lambda: False)
    keys = KeyAuthenticator(routes, ProofAgeLimit(0.0), proof, Metrics())
    dispatcher = CallDispatcher(
        routes,
        keys,
        NoQuota(),
        Answering(),
        Answering(),
        ShutdownDeadline(),
        Metrics(),
    )
    dispatcher.handle(request, writer)
    return writer.status


@pytest.mark.parametrize("proven_at", [-math.inf, 0.0])
def test_a_turn_of_a_route_unknown_to_an_isolated_box_is_not_called_unknown(proven_at):
    assert handle(make_routes(), Proof(proven_at), TURN) == 503


def test_a_proof_older_than_the_request_does_not_tell_that_a_turn_is_unknown():
    proof = Proof(time.monotonic())
    assert handle(make_routes(), proof, TURN) == 503


def test_a_turn_of_a_route_that_the_store_has_is_served():
    routes = make_routes()
    proof = Proof(-math.inf)

    def read_store():
        routes.update_if_newer(make_table(2, OLD_ROUTE, NEW_ROUTE), "test")
        proof.renew()

    proof.on_refresh = [read_store]
    assert handle(routes, proof, TURN) == 200


def test_a_query_under_way_is_followed_by_another():
    routes = make_routes()
    proof = Proof(-math.inf, lambda: None)
    proof.on_refresh.append(proof.renew)
    assert handle(routes, proof, TURN) == 404


def test_a_turn_of_a_route_that_is_nowhere_is_unknown():
    proof = Proof(-math.inf)
    proof.on_refresh = [proof.renew]
    assert handle(make_routes(), proof, TURN) == 404


def test_without_a_previous_turn_no_proof_is_needed():
    proof = Proof(-math.inf)
    proof.on_refresh = [proof.renew]
    assert handle(make_routes(), proof) == 404
    assert proof.on_refresh
    assert handle(make_routes(), proof, TURN, path=b"/old/x") == 200
    assert proof.on_refresh

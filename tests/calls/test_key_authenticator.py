"""Authentication of calls and revalidation of their keys before a send."""

from __future__ import annotations

import random
import time

import msgspec
import pytest

from cedarchute.address import Address
from cedarchute.calls.call import Call, ProgramContext
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.key_authenticator import (
    RETRY_AFTER_SECONDS,
    STORE_UNAVAILABLE_RETRY_SECONDS,
    KeyAuthenticator,
)
from cedarchute.calls.target_client import TargetClient
from cedarchute.decisions.key_trust import ProofAgeLimit
from cedarchute.metrics import Metrics
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.input_limits import InputLimits
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.routing.active_route_table import ActiveRouteTable
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.route import Repeatability, Route
from cedarchute.routing.route_table import RouteTable
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_registry import TargetRegistry
from cedarchute.routing.workspace import Workspace
from cedarchute.routing.workspace_keys import WorkspaceKeys
from cedarchute.verdict import Verdict

ROUTE = Route("r", "h", b"/", Repeatability.ONCE, (), 4.0, 0.2)


class Proof:
    """A freshness proof of a given age; `refresh` sets it to `fresh_age`."""

    def __init__(self, age_seconds=0.0, fresh_age=None, is_store_unavailable=False):
        self.age_seconds = age_seconds
        self.fresh_age = fresh_age
        self.is_store_unavailable = is_store_unavailable
        self.refresh_count = 0

    def refresh(self, seconds):
        self.refresh_count += 1
        if self.fresh_age is not None:
            self.age_seconds = self.fresh_age


def make_table(version, **keys_by_workspace):
    keys = WorkspaceKeys(
        (Workspace(name), tuple(keys)) for name, keys in keys_by_workspace.items()
    )
    return RouteTable(version, (ROUTE,), {}, InputLimits(), keys)


def make_check(proof, table=None):
    routes = ActiveRouteTable(Metrics())
    routes.update_if_newer(table or make_table(1, a=["key-a"], b=["key-b"]), "test")
    return KeyAuthenticator(routes, ProofAgeLimit(5.0), proof, Metrics())


def make_request(key="key-a"):
    fields = ((b"Authorization", b"Token " + key.encode()),)
    return CallerRequest(b"POST", b"/x", Headers(fields), b"", True, time.monotonic())


def make_call(caller_timeout=4.0):
    return Call("c", caller_timeout, ProgramContext("", None, "", 0))


def authenticate(check, key="key-a", caller_timeout=4.0):
    call = make_call(caller_timeout)
    caller_identity = check.authenticate(
        make_request(key), call, ROUTE, check.routes.table
    )
    return Call(call.id, call.caller_timeout_seconds, call.program, caller_identity)


def read_refusal(action):
    with pytest.raises(CallRefusedError) as caught:
        action()
    return caught.value


def test_a_call_finds_the_workspace_of_its_key():
    check = make_check(Proof())
    assert authenticate(check).workspace == "a"
    assert authenticate(check, "key-b").workspace == "b"
    assert read_refusal(lambda: authenticate(check, "other")).status == 401


def test_a_call_waits_for_a_proof_that_comes_at_once():
    proof = Proof(age_seconds=9.0, fresh_age=0.0)
    assert authenticate(make_check(proof)).workspace == "a"
    assert proof.refresh_count == 1


@pytest.mark.parametrize(
    ("is_store_unavailable", "caller_timeout", "retry_after"),
    [
        (False, 4.0, RETRY_AFTER_SECONDS),
        (True, 20.0, STORE_UNAVAILABLE_RETRY_SECONDS),
        (True, None, STORE_UNAVAILABLE_RETRY_SECONDS),
        (True, 2.0, 0.6),
    ],
)
def test_without_a_proof_callers_are_told_when_to_come_back(
    is_store_unavailable, caller_timeout, retry_after
):
    check = make_check(
        Proof(age_seconds=9.0, is_store_unavailable=is_store_unavailable)
    )
    refusal = read_refusal(lambda: authenticate(check, caller_timeout=caller_timeout))
    assert refusal.status == 503
    assert refusal.retry_after_seconds == pytest.approx(retry_after)
    assert refusal.facts["proof_age"] == 9.0
    assert check.is_configuration_stale


def test_nothing_needs_a_proof_where_workspaces_hold_no_keys():
    check = make_check(
        Proof(age_seconds=9.0), RouteTable(1, (ROUTE,), {}, InputLimits())
    )
    assert authenticate(check).caller_identity is None
    assert not check.requires_fresh_configuration
    assert not check.is_configuration_stale


def identify(check, key="key-a", budget=None, **traits):
    """Return the workspace of a call on a public route."""
    route = msgspec.structs.replace(ROUTE, is_public=True, **traits)
    call = Call("c", 4.0, ProgramContext("p", budget, "t1", 3))
    request = make_request(key)
    identity = check.authenticate(request, call, route, check.routes.table)
    return identity.workspace and identity.workspace.name


@pytest.mark.parametrize("use", [{"retains_turns": True}, {"budget": 100}])
def test_records_of_a_workspace_are_not_missed_on_a_public_route(use):
    """Under another workspace, or none, the previous turn would be unknown."""
    check = make_check(Proof(age_seconds=9.0))
    assert read_refusal(lambda: identify(check, **use)).status == 503
    check = make_check(Proof(age_seconds=9.0, fresh_age=0.0))
    assert identify(check, **use) == "a"
    check = make_check(Proof())
    assert identify(check, **use) == "a"
    assert identify(check, "other", **use) is None


def test_a_key_that_is_newer_than_the_proof_is_not_taken_for_unknown():
    check = make_check(Proof(age_seconds=1.0))
    refusal = read_refusal(lambda: identify(check, "new-key", retains_turns=True))
    assert refusal.status == 503


def test_a_public_route_without_records_needs_no_proof():
    proof = Proof(age_seconds=9.0, fresh_age=0.0)
    assert identify(make_check(proof)) is None
    assert proof.refresh_count == 0
    assert identify(make_check(Proof())) == "a"


class WaitingPool:
    """A pool that calls `meanwhile` before it returns a connection."""

    def __init__(self, meanwhile):
        self.meanwhile = meanwhile
        self.sent = []

    def take(self, address, seconds, call_id=""):
        self.meanwhile()
        return self

    def send(self, data, seconds):
        self.sent.append(data)
        raise TargetFailureError("sent", Verdict.MAY_HAVE_RUN)

    def close(self):
        pass


def send(check, meanwhile):
    """Send an authenticated call; return its error and the data sent."""
    call = authenticate(check)
    registry = TargetRegistry(lambda entry: None)
    target = TargetEntry("t", "s", Address("10.0.0.1", 1), "a", True, 8)
    registry.put(target)
    load_balancer = LoadBalancer(registry, "a", random.Random(7), lambda address: True)
    pool = WaitingPool(meanwhile)
    client = TargetClient(pool, load_balancer, check, None, Metrics())
    deadline = time.monotonic() + 4.0
    with pytest.raises((CallRefusedError, TargetFailureError)) as caught:
        client.open(make_request(), call, target, b"", deadline, deadline)
    return caught.value, pool.sent


def test_a_call_that_waited_is_sent_while_its_key_holds():
    check = make_check(Proof())
    table = make_table(2, a=["key-a", "another"])
    error, sent = send(check, lambda: check.routes.update_if_newer(table, "test"))
    assert isinstance(error, TargetFailureError)
    assert len(sent) == 1


@pytest.mark.parametrize("keys", [{"a": ["another"]}, {"b": ["key-a"]}, {}])
def test_a_call_that_waited_is_not_sent_once_its_key_is_gone(keys):
    check = make_check(Proof())
    table = make_table(2, **keys)
    error, sent = send(check, lambda: check.routes.update_if_newer(table, "test"))
    assert error.status == 401
    assert sent == []


def test_a_call_that_waited_is_not_sent_once_its_proof_is_old():
    proof = Proof()

    def freeze():
        proof.age_seconds = 4.95

    error, sent = send(make_check(proof), freeze)
    assert error.status == 503
    assert sent == []

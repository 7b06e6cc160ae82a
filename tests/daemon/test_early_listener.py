from __future__ import annotations

import socket

import pytest

from cedarchute.address import Address
from cedarchute.daemon.early_listener import EarlyListener
from experiments.ports import find_free_port

HOST = "127.0.0.1"


@pytest.fixture
def address():
    return Address(HOST, find_free_port())


@pytest.fixture
def settings(tmp_path, address):
    file = tmp_path / "box.ini"
    file.write_text(f"[listen]\ncallers = {address}\n")
    return str(file)


@pytest.fixture
def early():
    early = EarlyListener()
    yield early
    if early.sock is not None:
        early.sock.close()


def test_a_caller_that_connects_early_is_accepted_later(early, settings, address):
    early.open(settings)
    with socket.create_connection((HOST, address.port)) as caller:
        caller.sendall(b"hello")
        with early.take(address) as listener:
            accepted, _ = listener.accept()
        with accepted:
            assert accepted.recv(5) == b"hello"


def test_the_socket_is_handed_over_once_and_for_its_address_only(
    early, settings, address
):
    early.open(settings)
    assert early.take(Address(HOST, address.port + 1)) is None
    taken = early.take(address)
    taken.close()
    assert early.take(address) is None


@pytest.mark.parametrize(
    "text",
    ["", "no ini", "[box]\nrole = holder\n", "[listen]\ncallers = 127.0.0.1:many\n"],
)
def test_settings_that_name_no_address_open_nothing(early, tmp_path, text):
    file = tmp_path / "box.ini"
    file.write_text(text)
    early.open(str(file))
    assert early.sock is None


def test_a_port_in_use_is_left_to_the_report_that_follows(early, settings, address):
    with socket.create_server((HOST, address.port)):
        early.open(settings)
    assert early.sock is None

from __future__ import annotations

import logging
import socket

import eventlet
import pytest
from eventlet.green import socket as green_socket

from cedarchute.daemon.listeners import serve_metrics
from cedarchute.metrics import Metrics
from experiments.ports import find_free_port

HOST = "127.0.0.1"
HANG_SECONDS = 30.0


@pytest.fixture
def metrics():
    metrics = Metrics()
    metrics.count("calls.answered")
    return metrics


def test_the_page_of_metrics_is_served_at_an_address_of_its_own(metrics):
    port = find_free_port()
    serve_metrics(f"{HOST}:{port}", metrics, "box.ini")
    request = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    with eventlet.Timeout(HANG_SECONDS):
        caller = green_socket.create_connection((HOST, port))
        caller.sendall(request)
        answer = b""
        while data := caller.recv(65_536):
            answer += data
    assert b'name="calls.answered"' in answer


def test_a_port_that_is_taken_is_reported_and_nothing_else(metrics, caplog):
    with socket.create_server((HOST, 0)) as taken:
        address = f"{HOST}:{taken.getsockname()[1]}"
        with caplog.at_level(logging.ERROR):
            serve_metrics(address, metrics, "box.ini")
    assert "Metrics not served." in caplog.messages


def test_without_an_address_nothing_is_served(metrics, caplog):
    serve_metrics("", metrics, "box.ini")
    assert caplog.messages == []

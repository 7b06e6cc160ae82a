from __future__ import annotations

import subprocess
import sys

# The signal arrives while a weak reference callback runs.
SCRIPT = """
import os, signal, time, weakref
from experiments.signals import exit_on_signals

class Thing:
    pass

def send_signal(reference):
    os.kill(os.getpid(), signal.SIGTERM)
    for _ in range(1000):
        pass

exit_on_signals()
thing = Thing()
reference = weakref.ref(thing, send_signal)
try:
    del thing
    time.sleep(30)
finally:
    print("cleaned up")
"""


def test_a_signal_in_a_weak_reference_callback_was_dropped():
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 128 + 15
    assert done.stdout == "cleaned up\n"

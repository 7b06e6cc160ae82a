"""The command-line tool of operators."""

from __future__ import annotations

import warnings

# What reads answers also runs in the daemon, under eventlet, and imports it.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

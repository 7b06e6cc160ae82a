"""Talks to the first box that answers."""

from __future__ import annotations

import json
import time
from typing import Any, Final

import urllib3

from cedarchute.address import Address
from cedarchute.cli.exit_codes import ExitCode
from cedarchute.host_pools import HostPools

ATTEMPTS: Final = 4
WAIT_SECONDS: Final = 0.5
TIMEOUT_SECONDS: Final = 15.0
MAX_BOXES: Final = 64
JSON_HEADERS: Final = {"Content-Type": "application/json"}


class BoxSilentError(Exception):
    """No box answers."""

    code = "no_box"


class BoxRefusedError(Exception):
    """A box has refused, with a problem document."""

    code = "refused"

    def __init__(self, problem: dict[str, Any]) -> None:
        super().__init__(
            f"{problem.get('code', 'error')} ({problem.get('verdict', 'unknown')}): "
            f"{problem.get('detail', '')}"
        )
        self.problem = problem

    @property
    def exit_code(self) -> ExitCode:
        """The exit code that fits the refusal."""
        match self.problem.get("code"):
            case "apply_raced":
                return ExitCode.RACED
            case "bad_file":
                return ExitCode.BAD_FILE
            case "store_unavailable":
                return ExitCode.UNCERTAIN
        return ExitCode.FAILED


class BoxClient:
    """Sends requests that may be repeated to any of some boxes.

    An apply carries an operation id, so that it may be repeated too.
    """

    def __init__(self, boxes: list[str]) -> None:
        self.boxes = [Address.parse(text) for text in boxes]
        self.pools = HostPools(1, MAX_BOXES)

    def request(self, method: str, path: str, document: object = None) -> Any:
        """Return the document of the answer.

        Raises
        ------
        BoxSilentError
            When no box answers.
        BoxRefusedError
            When a box has refused for good, or for longer than the tool tries.
        """
        body = None if document is None else json.dumps(document).encode()
        last = "no box tried"
        refused = None
        for attempt in range(ATTEMPTS):
            for box in self.boxes:
                try:
                    response = self.pools.request(
                        method,
                        box,
                        path,
                        body=body,
                        headers=JSON_HEADERS,
                        timeout=TIMEOUT_SECONDS,
                    )
                except urllib3.exceptions.HTTPError as error:
                    last = f"{box}: {error}"
                    continue
                answer = response.json()
                if response.status < 400:
                    return answer
                refused = BoxRefusedError(answer)
                if response.status != 503:
                    raise refused
            if attempt < ATTEMPTS - 1:
                time.sleep(WAIT_SECONDS * 2**attempt)
        if refused is not None:
            raise refused
        raise BoxSilentError(f"No box answers; give --box IP:PORT. Last: {last}")

    def get(self, path: str) -> Any:
        """Return the document at `path`."""
        return self.request("GET", path)

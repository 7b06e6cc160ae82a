from __future__ import annotations

from collections import Counter

from cedarchute.targets.stream_chunk import StreamChunk, StreamEnd
from cedarchute.targets.target_error import TargetError
from cedarchute.verdict import Verdict


class FakeService:
    """A plain service that counts what ran; a script says how calls go."""

    def __init__(self, network):
        self.network = network
        self.ran = Counter()
        self.order = []
        self.on_run = None
        self.behaviour = "ok"
        self.before = None
        self.after = None

    def client(self, box):
        return FakeServiceClient(self, box)


class FakeProbe:
    """Finds the targets that a test names ended."""

    def __init__(self):
        self.is_gone = False

    def has_ended(self, address):
        return self.is_gone


class FakeServiceClient:
    def __init__(self, service, box):
        self.service = service
        self.box = box

    def call(self, address, key, program, body, seconds):
        service = self.service
        service.network.check_running(self.box)
        if service.before:
            service.before(self.box)
            service.network.check_running(self.box)
        if service.behaviour == "busy":
            raise TargetError("target_busy", "503", Verdict.NOT_RUN, 0.1)
        service.ran[key] += 1
        service.order.append(key)
        if service.on_run:
            service.on_run(key, self.box)
        if service.after:
            service.after(self.box)
            service.network.check_running(self.box)
        if service.behaviour == "lost":
            raise TargetError("target_broke_off", "lost", Verdict.MAY_HAVE_RUN)
        return f'"{key} did {body}"'


class FakeEngines:
    """An engine that answers at once and remembers what it holds."""

    def __init__(self, network):
        self.network = network
        self.streams = {}
        self.held = set()
        self.is_deaf = False

    def client(self, box):
        return FakeEngineClient(self, box)


class FakeEngineClient:
    def __init__(self, engines, box):
        self.engines = engines
        self.box = box

    def generate(self, address, request, seconds):
        self.engines.network.check_running(self.box)
        prompt = "|".join(m.content for m in request.messages)
        text = f"<{request.program}:{len(prompt)}>"
        self.engines.streams[request.request_id] = (text, len(prompt) // 4)
        self.engines.held.add(request.program)
        yield from self.give(request.request_id, 0)

    def resume(self, address, request_id, offset, seconds):
        self.engines.network.check_running(self.box)
        if request_id not in self.engines.streams:
            raise TargetError("stream_unknown", request_id, Verdict.MAY_HAVE_RUN)
        yield from self.give(request_id, offset)

    def give(self, request_id, offset):
        text, prompt = self.engines.streams[request_id]
        if text[offset:]:
            yield StreamChunk(text[offset:], 1)
        yield StreamEnd("stop", prompt, 0, 2)

    def cancel(self, address, request_id):
        pass

    def release(self, address, program):
        self.engines.network.check_running(self.box)
        if self.engines.is_deaf:
            raise TargetError("target_timeout", "deaf", Verdict.MAY_HAVE_RUN)
        self.engines.held.discard(program)

    def list_cached_programs(self, address):
        return sorted(self.engines.held)

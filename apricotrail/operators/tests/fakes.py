"""A control of one process, and an operators' interface in front of it."""

import json
from pathlib import Path
from types import SimpleNamespace

from returns.result import Failure, Success

from apricotrail.clocks import VirtualClock
from apricotrail.document import (
    digest_document,
    encode_item,
    make_items,
    parse_document,
    read_items,
    sign_acceptance,
    verify_acceptance,
)
from apricotrail.errors import ErrorKind, Problem
from apricotrail.http import Request, Router
from apricotrail.operators import LiveTarget, OperatorParts, TokenFile, make_operator_routes
from apricotrail.wire.generated.ttypes import ProposeReply

EXAMPLE = Path(__file__).parents[3] / "examples" / "reparo-costeiro.toml"
TEXT = EXAMPLE.read_bytes()
TOKEN = "0123456789abcdef"
KEY = b"acceptance key of the tests"


class FakeControl:
    """Answers as control does: request ids, ``expect``, acceptances, documents by number."""

    def __init__(self, trial=False):
        self.trial = trial
        self.version = 0
        self.items = {}
        self.texts = []
        self.answers = {}
        self.commands = []
        self.lose = 0
        self.failure = None
        self.force = {"in_force": True, "how": "confirmed", "behind": []}
        self.clock = VirtualClock()
        self.live = [LiveTarget("natal-1", "h:1", 8, 64, 1, False, 3)]
        self.put(TEXT)

    def put(self, text):
        """Put a document in force."""
        self.texts.append(text)
        self.version += 1
        kept = {key: value for key, value in self.items.items() if "-state/" in key}
        record = {"number": len(self.texts), "sha256": digest_document(text).hex()}
        document = {"document": encode_item(record)}
        self.items = make_items(parse_document(text).unwrap()) | kept | document

    async def propose(self, command):
        """Carry out a command once; the first `lose` answers are lost."""
        if self.failure:
            return Failure(self.failure)
        self.commands.append(command)
        reply = self.answers.get(command.request_id)
        if reply is None:
            reply = self.answers[command.request_id] = self._decide(command)
        if self.lose:
            self.lose -= 1
            return Failure(Problem(ErrorKind.UNKNOWN_OUTCOME, "No reply.", "Ask again."))
        return Success(reply)

    async def ask_status(self, what, number):
        """Answer about versions, history and documents."""
        if what == "forced":
            self.clock.advance(1_000)
            return Success(json.dumps(self.force).encode())
        if what == "document":
            return Success(self.texts[number - 1])
        if what == "history":
            rows = [{"number": number + 1} for number in range(len(self.texts))]
            return Success(json.dumps(rows).encode())
        members = [{"name": "control-1", "identity": "a1", "address": "h:1", "voter": True}]
        return Success(json.dumps({"members": members, "leader": "control-1"}).encode())

    def _decide(self, command):
        if command.expect is not None and command.expect != self.version:
            return self._refuse(
                ErrorKind.CONFLICT, winner={"author": "ana", "sha256": "ab", "version": 7}
            )
        put = command.put_document
        if put is not None:
            proof = put.acceptance or ""
            if put.trial != self.trial:
                return self._refuse(ErrorKind.REFUSED)
            if not put.trial and not verify_acceptance(KEY, "trial", put.sha256, proof):
                return self._refuse(ErrorKind.REFUSED)
            self.put(put.text)
            acceptance = sign_acceptance(KEY, "trial", put.sha256) if put.trial else None
            return self._accept(acceptance=acceptance)
        if command.set_zone_state is not None:
            state = encode_item({"in_service": command.set_zone_state.in_service})
            self.items[f"zone-state/{command.set_zone_state.zone}"] = state
        if command.set_target_state is not None:
            state = encode_item({"leaving": command.set_target_state.leaving})
            self.items[f"target-state/{command.set_target_state.target}"] = state
        self.version += 1
        return self._accept()

    def _accept(self, **answer):
        return ProposeReply(True, self.version, json.dumps(answer).encode())

    def _refuse(self, kind, **details):
        answer = {"kind": kind, "message": "No.", "remedy": "Read again.", **details}
        return ProposeReply(False, self.version, json.dumps(answer).encode())


def make_router(control, token_file):
    """Return the operators' interface of an entry in front of `control`."""
    parts = OperatorParts(
        control.propose,
        control.ask_status,
        lambda: read_items(control.items),
        lambda: control.live,
        TokenFile(token_file),
        3_000,
        control.clock,
    )
    router = Router()
    for route in make_operator_routes(parts):
        router.add(*route)
    return router


async def call(router, method, path, body=b"", query=None, disconnected=None, **headers):
    """Send one request with the token and a request id; return status and JSON (or bytes)."""
    fields = {
        "authorization": f"Bearer {TOKEN}",
        "apricotrail-request-id": "r1",
        "apricotrail-author": "bia",
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    fields = {name: value for name, value in fields.items() if value is not None}
    request = Request(method, f"/v1/admin{path}", query or {}, fields, body, "peer", disconnected)
    response = router(request)
    if not isinstance(response, tuple):
        response = await response
    is_json = response.content_type == "application/json"
    value = json.loads(response.body) if is_json else response.body
    return SimpleNamespace(status=response.status, value=value, response=response)

"""Operators' calls through real entries and a real control."""

import asyncio
import json
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from returns.result import Success

from apricotrail.document import digest_document, sign_acceptance
from apricotrail.entry.tests.system import System, kill_entry

TOKEN = "0123456789abcdef"
KEY = "promotion key of the tests"
CALL_MS = 10_000


class Production(System):
    """Starts without a document: production takes none without an acceptance."""

    async def put_document(self):
        """Leave it to the test."""


# Where nobody is lost, silence only shows that a busy machine held the only process up for longer
# than the limits that tell a dead peer from a living one.
PATIENT_LIMITS = {
    "link.silent_ms": 60_000,
    "control.entry_silent_ms": 60_000,
    "membership.config_stale_ms": 60_000,
}


class TestWholeSystem(IsolatedAsyncioTestCase):
    """Token file, promotion key and a way to call."""

    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        token_file, key_file = Path(folder.name) / "token", Path(folder.name) / "key"
        token_file.write_text(TOKEN)
        key_file.write_text(KEY)
        self.settings = {
            "operators.token_file": str(token_file),
            "control.promotion_key_file": str(key_file),
        }
        self.patient_settings = self.settings | PATIENT_LIMITS

    async def call(self, system, number, method, path, body=b"", request_id="r1", **headers):
        """Call one entry; return status and JSON value."""
        fields = (
            ("Authorization", f"Bearer {TOKEN}"),
            ("Apricotrail-Request-Id", request_id),
            *((name.replace("_", "-"), value) for name, value in headers.items()),
        )
        address = system.entries[number].operators_address
        path = f"/v1/admin{path}"
        sent = await system.client.request(method, address, path, body, fields, CALL_MS)
        self.assertIsInstance(sent, Success, sent)
        response = sent.unwrap()
        return response.status, json.loads(response.body)

    async def test_change_is_confirmed_by_all_and_a_resend_gets_the_first_answer(self):
        async with System(settings=self.patient_settings) as system:
            status, first = await self.call(system, 0, "POST", "/zones/booking:Pipa/out")
            self.assertEqual((status, first["in_force"]), (200, "confirmed"), first)
            for entry in system.entries:
                self.assertFalse(entry.relay.effective.is_zone_in_service("pipa"))
            _, again = await self.call(system, 1, "POST", "/zones/id:pipa/out")
            self.assertEqual((again["version"], again["in_force"]), (first["version"], "confirmed"))
            status, other = await self.call(system, 1, "POST", "/zones/Pipa/in")
            self.assertEqual((status, other["error"]["kind"]), (409, "body_mismatch"))

    async def test_entry_that_died_delays_a_change_to_the_stale_limit_at_most(self):
        async with System(settings=self.settings) as system:
            lost = system.entries.pop()
            await kill_entry(lost)
            status, answer = await self.call(system, 0, "POST", "/targets/old-r0/leave")
            self.assertEqual(status, 200, answer)
            self.assertIn(answer["in_force"], ("confirmed", "stale_limit"))
            await self.call(system, 0, "POST", "/targets/old-r0/return", request_id="r2")

    async def test_of_racing_operators_one_wins(self):
        async with System(settings=self.patient_settings) as system:
            version = system.entries[0].relay.configuration.version
            calls = [
                self.call(
                    system, number, "POST", f"/zones/Pipa/{state}?expect={version}", b"", state
                )
                for number, state in enumerate(("out", "in"))
            ]
            answers = dict(zip(("out", "in"), await asyncio.gather(*calls), strict=True))
            wins = [state for state, (status, _) in answers.items() if status == 200]
            self.assertIn("out", wins)
            for status, answer in answers.values():
                if status != 200:
                    self.assertEqual(answer["error"]["kind"], "conflict")
                    self.assertIn("wall_ms", answer["error"]["winner"])

    async def test_trial_gives_the_acceptance_that_production_asks_for(self):
        async with System(entries=1, targets=0, settings=self.patient_settings) as system:
            _, history = await self.call(system, 0, "GET", "/documents")
            self.assertEqual([row["number"] for row in history["documents"]], [1])
            text = b'schemes = ["booking", "legacy", "yard"]\n[zones.jeri]\nnames.yard = "J"\n'
            status, tried = await self.call(system, 0, "POST", "/documents/try", text)
            self.assertEqual((status, tried["in_force"]), (200, "confirmed"), tried)
            environment = system.entries[0].endpoint.environment
            expected = sign_acceptance(KEY.encode(), environment, digest_document(text))
            self.assertEqual(tried["acceptance"], expected)

    async def test_production_refuses_what_its_trial_did_not_accept(self):
        settings = self.patient_settings | {"control.trial_environment": "elsewhere"}
        async with Production(entries=1, targets=0, settings=settings) as system:
            text = b'schemes = ["a", "b", "c"]\n[zones.jeri]\nnames.a = "J"\n'
            proof = sign_acceptance(KEY.encode(), "elsewhere", digest_document(text))
            table = (
                ("try", text, "", 422),
                ("promote", text, proof[:-1] + "x", 422),
                ("promote", text + b"\n", proof, 422),
                ("promote", text, proof, 200),
            )
            for number, (verb, body, acceptance, status) in enumerate(table):
                headers = {"Apricotrail_Acceptance": acceptance} if acceptance else {}
                path = f"/documents/{verb}"
                found, answer = await self.call(
                    system, 0, "POST", path, body, str(number), **headers
                )
                self.assertEqual(found, status, answer)
            self.assertIn("jeri", system.entries[0].relay.effective.zones)

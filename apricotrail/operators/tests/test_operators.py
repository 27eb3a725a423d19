"""The operators' interface against a control of one process."""

from asyncio import get_running_loop
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase, TestCase

from returns.result import Failure

from apricotrail.errors import ErrorKind, Problem
from apricotrail.operators import LiveTarget, TokenFile, make_operator_routes
from apricotrail.operators.tests.fakes import TEXT, TOKEN, FakeControl, call, make_router


class OperatorsTestCase(IsolatedAsyncioTestCase):
    """Sets up a control and a token file."""

    trial = False

    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.token_file = Path(folder.name) / "tokens"
        self.token_file.write_text(f"{TOKEN}\n")
        self.control = FakeControl(self.trial)
        self.router = make_router(self.control, self.token_file)

    async def call(self, method, path, body=b"", query=None, **headers):
        return await call(self.router, method, path, body, query, **headers)


class TestAccess(OperatorsTestCase):
    """Tokens and request ids."""

    async def test_wrong_tokens_are_refused(self):
        wrong = (None, "", "Bearer", f"Basic {TOKEN}", f"Bearer {TOKEN}x", "Bearer \u00e9\ud800")
        for value in wrong:
            with self.subTest(value):
                answer = await self.call("GET", "/zones", authorization=value)
                self.assertEqual(
                    (answer.status, answer.value["error"]["kind"]), (401, "unauthorised")
                )

    async def test_tokens_change_without_a_stop(self):
        self.assertEqual((await self.call("GET", "/zones")).status, 200)
        self.token_file.write_text("another-token-of-operators\nshort\n")
        self.assertEqual((await self.call("GET", "/zones")).status, 401)
        for value, status in (("another-token-of-operators", 200), ("short", 401)):
            answer = await self.call("GET", "/zones", authorization=f"Bearer {value}")
            self.assertEqual(answer.status, status)

    async def test_changes_without_a_usable_head_are_refused(self):
        table = (
            ({"apricotrail_request_id": None}, {}),
            ({"apricotrail_request_id": "x" * 129}, {}),
            ({"apricotrail_author": "a\x00"}, {}),
            ({}, {"expect": "-1"}),
            ({}, {"expect": "\u0663"}),
            ({}, {"expect": "9" * 30}),
        )
        for headers, query in table:
            with self.subTest(str((headers, query))):
                answer = await self.call("POST", "/zones/pipa/out", query=query, **headers)
                self.assertEqual((answer.status, answer.value["error"]["kind"]), (400, "malformed"))
        self.assertEqual(self.control.commands, [])


class TestPage(TestCase):
    """The page lists every call."""

    def test_every_call_is_on_the_page(self):
        page = (Path(__file__).parents[3] / "docs" / "operators.md").read_text()
        for _, pattern, _ in make_operator_routes(None):
            path = pattern.removeprefix("/v1/admin")
            parts = [part.strip("{}").upper() if "{" in part else part for part in path.split("/")]
            last = f"/{parts[-1]}"
            self.assertTrue("/".join(parts) in page or f"`{last}`" in page, path)


class TestTokenFile(TestCase):
    """Files that cannot be used."""

    def test_without_a_file_nothing_is_opened(self):
        for path, kind in ((None, ErrorKind.UNAUTHORISED), (Path("/none/x"), ErrorKind.SETTINGS)):
            problem = TokenFile(path).check(f"Bearer {TOKEN}").failure()
            self.assertEqual(problem.kind, kind)


class TestShortNotice(OperatorsTestCase):
    """Zones and targets, under every scheme."""

    async def test_zone_goes_out_and_in_under_every_scheme(self):
        names = ("Pipa", "booking%3APIP", "asset%3Arn-2", "id%3Apipa")
        for number, name in enumerate(names):
            for state, in_service in (("out", False), ("in", True)):
                request_id = f"{number}{state}"
                path = f"/zones/{name}/{state}"
                answer = await self.call("POST", path, apricotrail_request_id=request_id)
                self.assertEqual(answer.status, 200, answer.value)
                self.assertEqual(answer.value["in_force"], "confirmed")
                expected = {"place": "Pipa", "booking": "PIP", "asset": "rn-2"}
                self.assertEqual(answer.value["zone"]["names"], expected)
                zones = (await self.call("GET", "/zones")).value["zones"]
                states = {zone["id"]: zone["in_service"] for zone in zones}
                self.assertEqual(states.pop("pipa"), in_service)
                self.assertEqual(set(states.values()), {True})

    # Guards against a change that is carried out for a caller that has left and may have given the
    # contrary one since.
    async def test_change_whose_caller_has_left_is_not_proposed(self):
        left = get_running_loop().create_future()
        get_running_loop().call_soon(left.set_result, None)
        answer = await call(self.router, "POST", "/zones/pipa/out", disconnected=left)
        self.assertEqual((answer.status, answer.value["error"]["kind"]), (409, "cancelled"))
        self.assertEqual(self.control.commands, [])

    async def test_unconfirmed_change_is_answered_at_the_stale_limit(self):
        table = (
            ({"in_force": False, "how": "unknown_version", "behind": []}, [], 3_000),
            ({"in_force": True, "how": "stale_limit", "behind": ["entry-2"]}, ["entry-2"], 0),
            ("?", [], 3_000),
        )
        for number, (force, behind, least_ms) in enumerate(table):
            self.control.force = force
            started_ms = self.control.clock()
            answer = await self.call("POST", "/zones/Pipa/out", apricotrail_request_id=str(number))
            self.assertEqual(answer.value["in_force"], "stale_limit")
            self.assertEqual(answer.value["behind"], behind)
            self.assertGreaterEqual(self.control.clock() - started_ms, least_ms)

    async def test_resend_gets_the_first_answer(self):
        self.control.lose = 1
        lost = await self.call("POST", "/zones/Pipa/out")
        self.assertEqual((lost.status, lost.value["error"]["kind"]), (503, "unknown_outcome"))
        resent = await self.call("POST", "/zones/Pipa/out")
        self.assertEqual((resent.status, resent.value["version"]), (200, 2))
        self.assertEqual(self.control.version, 2)

    async def test_one_of_two_racing_operators_wins(self):
        first = await self.call("POST", "/zones/Pipa/out", query={"expect": "1"})
        second = await self.call(
            "POST", "/zones/Pipa/in", query={"expect": "1"}, apricotrail_request_id="r2"
        )
        self.assertEqual((first.status, second.status), (200, 409))
        self.assertEqual(second.value["error"]["winner"]["author"], "ana")
        self.assertEqual(second.value["version"], 2)

    async def test_refusals_name_the_kind(self):
        table = (
            ("/zones/Pippa/out", None, 404, "unknown_name"),
            ("/targets/x/leave", None, 404, "unknown_name"),
            ("/zones/Pipa/out", ErrorKind.UNREACHABLE, 503, "unreachable"),
            ("/zones/Pipa/out", ErrorKind.NO_QUORUM, 503, "no_quorum"),
        )
        for path, kind, status, expected in table:
            self.control.failure = Problem(kind, "No.", "Retry.") if kind else None
            answer = await self.call("POST", path)
            self.assertEqual((answer.status, answer.value["error"]["kind"]), (status, expected))

    async def test_target_leaves_and_returns(self):
        for verb, state in (("leave", "leaving"), ("return", "in_service")):
            answer = await self.call(
                "POST", f"/targets/runner-01/{verb}", apricotrail_request_id=verb
            )
            self.assertEqual(answer.value["target"]["id"], "natal-1")
            listed = (await self.call("GET", "/targets")).value["targets"]
            states = {row["id"]: row["state"] for row in listed}
            self.assertEqual(states.pop("natal-1"), state)
            self.assertEqual(set(states.values()), {"not_announced"})
            self.assertEqual(list(states), sorted(states))

    async def test_lists_give_names_and_unknown_targets(self):
        self.control.live.append(LiveTarget("intruder", "h:2", 8, 64, 1, False))
        answer = await self.call("GET", "/targets")
        self.assertEqual([row["reference"] for row in answer.value["unknown"]], ["intruder"])
        self.assertEqual(answer.value["targets"][-1]["zone"]["names"]["booking"], "PIP")
        answer = await self.call("GET", "/targets", query={"zone": "PIP", "service": "RPC"})
        self.assertEqual(len(answer.value["targets"]), 3)
        service = (await self.call("GET", "/services/svc-repair")).value
        self.assertEqual((service["targets"], len(service["target_list"])), (11, 11))
        status = (await self.call("GET", "/status")).value
        self.assertEqual((status["live_targets"], status["unknown_targets"]), (1, 1))


class TestDocuments(OperatorsTestCase):
    """Documents in a production environment."""

    async def test_check_gives_every_problem(self):
        text = (
            TEXT.replace(b'place = "Jericoacoara"', b'place = "Pipa"') + b"[teams.x]\nkolour = 1\n"
        )
        answer = await self.call("POST", "/documents/check", text)
        problems = answer.value["error"]["problems"]
        self.assertEqual((answer.status, len(problems)), (409, 2))
        self.assertTrue(all(problem["remedy"] for problem in problems))

    async def test_name_that_moves_is_refused_by_check_and_diff(self):
        text = TEXT.replace(b'"NAT"', b'"-"').replace(b'"PIP"', b'"NAT"')
        for verb in ("check", "diff"):
            answer = await self.call("POST", f"/documents/{verb}", text)
            self.assertEqual((answer.status, answer.value["error"]["kind"]), (409, "conflict"))

    async def test_diff_names_targets_and_callers(self):
        answer = await self.call("POST", "/documents/diff", TEXT.replace(b"3.0", b"4.0"))
        self.assertEqual(answer.value["teams"], ["shops"])
        self.assertIn("counter-natal", answer.value["callers"])

    async def test_production_takes_only_what_the_trial_accepted(self):
        trial = make_router(FakeControl(trial=True), self.token_file)
        text = TEXT + b"# two\n"
        proof = (await call(trial, "POST", "/documents/try", text)).value["acceptance"]
        table = (
            (text, None, 422),
            (text, proof[:-1], 422),
            (TEXT, proof, 422),
            (text[:-1] + b"\r\n", proof, 422),
            (text, proof, 200),
        )
        for number, (body, acceptance, status) in enumerate(table):
            answer = await self.call(
                "POST",
                "/documents/promote",
                body,
                apricotrail_acceptance=acceptance,
                apricotrail_request_id=str(number),
            )
            self.assertEqual(answer.status, status, number)
        self.assertEqual(self.control.texts, [TEXT, text])

    async def test_exact_bytes_and_history(self):
        shown = await self.call("GET", "/documents/current")
        self.assertEqual((shown.value, shown.response.content_type), (TEXT, "application/toml"))
        for number in ("0", "2", "x", "9" * 40):
            self.assertEqual((await self.call("GET", f"/documents/{number}")).status, 404)
        history = (await self.call("GET", "/documents")).value
        self.assertEqual(history, {"documents": [{"number": 1}]})

    async def test_document_may_not_be_tried_in_production(self):
        answer = await self.call("POST", "/documents/try", TEXT)
        self.assertEqual(answer.value["error"]["kind"], "refused")

    async def test_members(self):
        body = b'{"name": "control-4", "address": "h:4", "identity": "d4"}'
        self.assertEqual((await self.call("POST", "/members", body)).status, 200)
        for wrong in (b"", b"[]", b'{"name": "x"}', body.replace(b'"d4"', b"4")):
            self.assertEqual((await self.call("POST", "/members", wrong)).status, 400)
        answer = await self.call("DELETE", "/members/control-4/d4", apricotrail_request_id="remove")
        self.assertEqual(answer.status, 200)
        changes = [command.change_member for command in self.control.commands]
        self.assertEqual([it.action for it in changes], ["add_learner", "remove"])
        self.assertEqual(len((await self.call("GET", "/members")).value["members"]), 1)

    async def test_status_without_control_still_answers(self):
        async def ask_nothing(what, number):
            return Failure(Problem(ErrorKind.UNREACHABLE, "None.", "Retry."))

        self.control.ask_status = ask_nothing
        answer = await call(make_router(self.control, self.token_file), "GET", "/status")
        self.assertEqual((answer.status, answer.value["control"]), (200, None))
        self.assertIn("unreachable", answer.value["control_problem"])

"""What the agent reports after lost links, links that lose bytes, and changes of a job's owner."""

import unittest

from apricotrail.agent.tests.stand_ins import AgentSystem, StandInEntry, wait_until
from apricotrail.wire.generated import ttypes
from apricotrail.wire.generated.ttypes import AttemptKey, Reason, TaskState

HOLD = {"hold": True}
CALL_MS = 2_000


def resolve(incarnation: int, *attempts: tuple[int, int], epoch: int = 1) -> ttypes.ResolveAttempts:
    keys = [AttemptKey(task, attempt) for task, attempt in attempts]
    return ttypes.ResolveAttempts("school/1", "runner", epoch, incarnation, keys)


def read_states(reply) -> list[tuple[int, int, int, int, bytes | None]]:
    return [(o.task, o.attempt, o.state, o.reason, o.answer) for o in reply.unwrap().outcomes]


class TestLostLinks(unittest.IsolatedAsyncioTestCase):
    async def test_attempts_in_lost_bytes_are_resolved_over_a_new_link(self):
        not_seen = (1, 1, TaskState.NOT_RUN, Reason.NONE, None)
        done = (1, 1, TaskState.DONE, Reason.NONE, b"ok")
        for direction, expected in (("to_agent", not_seen), ("to_entry", done)):
            with self.subTest(direction):
                async with AgentSystem(proxied=True) as system:
                    entry = system.entry
                    entry.start_tasks("school/1", HOLD)
                    await wait_until(lambda target=system.target: target.started)
                    first = entry.link
                    system.proxy.discard(direction)
                    late = entry.start_tasks("school/1", {}, {})
                    system.target.release("school/1", 0)
                    await wait_until(lambda e=entry, f=first: e.link not in (None, f))
                    before = len(entry.outcomes)
                    self.assertEqual(before, int(direction == "to_agent"))
                    request = resolve(first.peer.incarnation, (0, 1), (1, 1))
                    reply = await entry.link.call(request, CALL_MS)
                    first_task = (0, 1, TaskState.DONE, Reason.NONE, b"ok")
                    self.assertEqual(read_states(reply), [first_task, expected])
                    entry.link.send(late)
                    await wait_until(lambda e=entry, b=before: len(e.outcomes) == b + 2)
                    self.assertEqual(entry.outcomes[-1].state, expected[2])
                    self.assertEqual(len(system.target.started), 1 + (expected == done))

    async def test_running_task_is_reported_and_its_outcome_follows(self):
        async with AgentSystem() as system:
            entry, first = system.entry, system.entry.link
            entry.start_tasks("school/1", HOLD)
            await wait_until(lambda: system.target.started)
            first.close()
            await wait_until(lambda: entry.link not in (None, first))
            incarnation = entry.link.peer.incarnation
            reply = await entry.link.call(resolve(incarnation, (0, 1)), CALL_MS)
            self.assertEqual(read_states(reply), [(0, 1, TaskState.RUNNING, Reason.NONE, None)])
            system.target.release("school/1", 0)
            await wait_until(lambda: entry.outcomes)
            self.assertEqual(entry.outcomes[0].answer, b"ok")
            reply = await entry.link.call(resolve(incarnation - 1, (0, 1)), CALL_MS)
            lost = (0, 1, TaskState.MAY_HAVE_RUN, Reason.AGENT_LOST, None)
            self.assertEqual(read_states(reply), [lost])

    async def test_new_owner_fences_the_old_one_and_gets_the_outcomes(self):
        async with AgentSystem(slots=3, entries=2) as system:
            old, new = system.entries
            old.start_tasks("school/1", {}, HOLD)
            await wait_until(lambda: old.outcomes)
            fence = ttypes.FenceJob("school/1", "runner", 2, new.name)
            reply = await new.link.call(fence, CALL_MS)
            expected = [
                (0, 1, TaskState.DONE, Reason.NONE, b"ok"),
                (1, 1, TaskState.RUNNING, Reason.NONE, None),
            ]
            self.assertEqual(read_states(reply), expected)
            old.start_tasks("school/1", {}, {}, {}, attempt=2)
            await wait_until(lambda: len(old.outcomes) == 4)
            self.assertEqual({state[1:] for state in old.states()[1:]}, {(3, Reason.FENCED)})
            system.target.release("school/1", 1)
            await wait_until(lambda: new.outcomes)
            self.assertEqual(new.states(), [(1, TaskState.DONE, Reason.NONE)])
            low = ttypes.FenceJob("school/1", "runner", 1, old.name)
            self.assertEqual(type((await old.link.call(low, 100)).failure()).__name__, "Problem")
            ledger = (await new.link.call(ttypes.LedgerRequest("runner"), CALL_MS)).unwrap()
            self.assertEqual(
                [(j.job, j.owner, j.epoch) for j in ledger.jobs], [("school/1", new.name, 2)]
            )

    async def test_lost_owner_stops_nothing(self):
        async with AgentSystem(entries=2) as system:
            old, new = system.entries
            old.start_tasks("school/1", HOLD)
            await wait_until(lambda: system.target.started)
            await old.stop()
            system.target.release("school/1", 0)
            await wait_until(lambda: system.agent.agent.slots.running == 0)
            fence = ttypes.FenceJob("school/1", "runner", 2, new.name)
            reply = await new.link.call(fence, CALL_MS)
            self.assertEqual(read_states(reply), [(0, 1, TaskState.DONE, Reason.NONE, b"ok")])

    async def test_planned_stop_over_a_link_that_loses_bytes_loses_no_outcome(self):
        for direction in ("to_agent", "to_entry"):
            with self.subTest(direction):
                async with AgentSystem(proxied=True) as system:
                    entry, first = system.entry, system.entry.link
                    replies = []

                    async def resolve_at_once(link, replies=replies):
                        request = resolve(link.peer.incarnation, (0, 1), (1, 1))
                        replies.append(await link.call(request, CALL_MS))

                    entry.start_tasks("school/1", HOLD)
                    await wait_until(lambda target=system.target: target.started)
                    entry.endpoint.on_up(
                        lambda link, e=entry, r=resolve_at_once: e.endpoint.spawn(r(link))
                    )
                    system.proxy.discard(direction)
                    system.target.release("school/1", 0)
                    await system.agent.stop()
                    states = [state[2] for state in read_states(replies[0])]
                    self.assertEqual(states, [TaskState.DONE, TaskState.NOT_RUN])
                    self.assertIsNot(entry.link, first)

    async def test_two_addresses_of_one_entry_keep_one_link(self):
        async with AgentSystem() as system:
            entry = system.entry
            links = []
            entry.endpoint.on_up(links.append)
            port = entry.address.rpartition(":")[2]
            entry.set_view(f"localhost:{port}")
            entry.put_item("service/counter", {})
            await wait_until(lambda: len(links) == 1)
            heartbeats = len(entry.loads)
            await wait_until(lambda: len(entry.loads) > heartbeats + 20)
            self.assertEqual(links, [entry.link])

    async def test_entry_process_outside_the_view_starts_nothing(self):
        async with AgentSystem() as system:
            outsiders = (("another name", "entry-z", 1), ("a former process", "entry-b", 0))
            for what, name, incarnation in outsiders:
                with self.subTest(what):
                    outsider = StandInEntry(name, incarnation)
                    outsider.items = system.entry.items
                    await outsider.endpoint.listen("127.0.0.1", 0)
                    outsider.endpoint.start()
                    system.agent._endpoint.dial(outsider.endpoint.identity.address)
                    await wait_until(lambda entry=outsider: entry.link)
                    outsider.start_tasks("school/1", {})
                    await wait_until(lambda entry=outsider: entry.outcomes)
                    self.assertEqual(outsider.states(), [(0, TaskState.NOT_RUN, Reason.FENCED)])
                    await outsider.stop()
            self.assertEqual(system.target.started, [])

    async def test_new_entry_incarnation_replaces_the_old_link(self):
        async with AgentSystem() as system:
            address = system.entry.address
            await system.entry.stop()
            restarted = StandInEntry(incarnation=2)
            restarted.version = 2
            restarted.set_view(address)
            host, port = address.split(":")
            await restarted.endpoint.listen(host, int(port))
            restarted.endpoint.start()
            await wait_until(lambda: restarted.link)
            await wait_until(lambda: system.agent._follower.configuration.version == 2)
            await wait_until(lambda: restarted.loads and restarted.loads[-1].accepting)
            restarted.start_tasks("school/2", {})
            await wait_until(lambda: restarted.outcomes)
            self.assertEqual(restarted.outcomes[0].state, TaskState.DONE)
            await restarted.stop()

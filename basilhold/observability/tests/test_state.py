import json
from collections import deque

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from basilhold.core import Resources, TaskState
from basilhold.observability import StateDump, StateSource
from basilhold.settings import Operator
from basilhold.testing import VirtualTimeTestCase, run_virtual

TOKEN = "very-secret-operator-token"
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=30,
)


class Source(StateSource):
    def __init__(self, name, value):
        self._name, self._value = name, value

    @property
    def name(self):
        return self._name

    def state(self):
        if isinstance(self._value, Exception):
            raise self._value
        return self._value


def make_dump(size_max=1 << 20, secrets=(TOKEN,), **values):
    dump = StateDump(size_max, secrets)
    for name, value in values.items():
        dump.add_source(Source(name, value))
    return dump


class StateDumpTest(VirtualTimeTestCase):
    """Guards against dumps that fail, exhaust memory or show a token."""

    async def test_all_kinds_of_values(self):
        value = {
            TaskState.PENDING: Resources(1, 2, 3),
            "deque": deque([1, 2]),
            "set": frozenset({7}),
            "state": TaskState.FAILED,
            "bytes": b"abc",
            "object": object,
        }
        shown = json.loads(await make_dump(shard=value).dump())["shard"]
        self.assertEqual(
            shown["pending"], {"cores_milli": 1, "memory_bytes": 2, "gpus_milli": 3}
        )
        self.assertEqual((shown["deque"], shown["set"]), ([1, 2], [7]))
        self.assertEqual((shown["state"], shown["bytes"]), ("failed", "3 bytes"))

    async def test_long_lists_say_how_much_was_left_out(self):
        tasks = [Resources(n, n, n) for n in range(50_000)]
        dump = make_dump(20_000, tasks=tasks, workers={str(n): n for n in range(9_000)})
        data = await dump.dump()
        self.assertLessEqual(len(data), 20_000)
        shown = json.loads(data)
        kept = len(shown["tasks"]) - 1
        self.assertGreater(kept, 50)
        self.assertEqual(shown["tasks"][-1], {"left_out": 50_000 - kept})
        self.assertEqual(
            shown["workers"]["left_out"], 9_000 - len(shown["workers"]) + 1
        )

    async def test_nested_lists_stay_within_memory(self):
        inner = [0] * 5_000
        data = await make_dump(50_000, grid=[inner] * 5_000).dump()
        self.assertLessEqual(len(data), 50_000)
        self.assertIn(b"left_out", data)

    async def test_endless_and_deep_values(self):
        loop = []
        loop.append(loop)
        data = await make_dump(loop=loop, text="x" * 9_000).dump()
        self.assertIn(b"deeper levels", data)
        self.assertIn("(4904 characters left out)", json.loads(data)["text"])

    async def test_tokens_are_hidden(self):
        operator = Operator(name="kari", office="o", token=TOKEN)
        value = {
            "operator": operator,
            "header": f"Bearer {TOKEN}",
            TOKEN: 1,
            "token": 17,
            "Authorization": "Basic abc",
            "error": ValueError(TOKEN),
        }
        data = await make_dump(gateway=value).dump()
        self.assertNotIn(TOKEN.encode(), data)
        self.assertNotIn(b"Basic abc", data)
        shown = json.loads(data)["gateway"]
        self.assertEqual(shown["token"], 17, "numbers of slot tokens are no secret")

    async def test_faulty_source_does_not_hide_the_others(self):
        shown = json.loads(await make_dump(a=RuntimeError("x"), b=[1]).dump())
        self.assertEqual(shown, {"a": {"error": "RuntimeError"}, "b": [1]})

    def test_dump_of_an_exiting_process_is_the_same(self):
        dump = make_dump(a=[1, 2], b={"c": None})
        self.assertEqual(dump.dump_now(), run_virtual(dump.dump()))

    def test_name_used_twice(self):
        dump = make_dump(a=1)
        with self.assertRaises(ValueError):
            dump.add_source(Source("a", 2))

    @settings(max_examples=60, deadline=None)
    @given(VALUES, st.integers(200, 2_000))
    def test_any_state_gives_json_within_the_bound(self, value, size_max):
        data = make_dump(size_max, a=value, b=value).dump_now()
        self.assertLessEqual(len(data), size_max)
        self.assertEqual(set(msgspec.json.decode(data)), {"a", "b"})

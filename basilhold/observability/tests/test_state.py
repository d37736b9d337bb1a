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
    lambda element: st.lists(element) | st.dictionaries(st.text(), element),
    max_leaves=30,
)


class FixedSource(StateSource):
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
        dump.add_source(FixedSource(name, value))
    return dump


class StateDumpTest(VirtualTimeTestCase):
    """Guards against state dumps that fail, exhaust memory or reveal tokens."""

    async def test_all_types_of_values(self):
        value = {
            TaskState.PENDING: Resources(1, 2, 3),
            "deque": deque([1, 2]),
            "set": frozenset({7}),
            "state": TaskState.FAILED,
            "bytes": b"abc",
            "object": object,
        }
        decoded = json.loads(await make_dump(shard=value).dump())["shard"]
        self.assertEqual(
            decoded["pending"], {"cores_milli": 1, "memory_bytes": 2, "gpus_milli": 3}
        )
        self.assertEqual((decoded["deque"], decoded["set"]), ([1, 2], [7]))
        self.assertEqual((decoded["state"], decoded["bytes"]), ("failed", "3 bytes"))

    async def test_truncated_collections_state_the_number_of_omitted_entries(self):
        tasks = [Resources(n, n, n) for n in range(50_000)]
        dump = make_dump(20_000, tasks=tasks, workers={str(n): n for n in range(9_000)})
        data = await dump.dump()
        self.assertLessEqual(len(data), 20_000)
        decoded = json.loads(data)
        kept = len(decoded["tasks"]) - 1
        self.assertGreater(kept, 50)
        self.assertEqual(decoded["tasks"][-1], {"left_out": 50_000 - kept})
        self.assertEqual(
            decoded["workers"]["left_out"], 9_000 - len(decoded["workers"]) + 1
        )

    async def test_dump_of_nested_lists_is_limited(self):
        element = [0] * 5_000
        data = await make_dump(50_000, grid=[element] * 5_000).dump()
        self.assertLessEqual(len(data), 50_000)
        self.assertIn(b"left_out", data)

    async def test_recursive_and_long_values_are_truncated(self):
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
        decoded = json.loads(data)["gateway"]
        self.assertEqual(decoded["token"], 17, "numbers of slot tokens are not secret")

    async def test_error_in_one_source_does_not_affect_others(self):
        decoded = json.loads(await make_dump(a=RuntimeError("x"), b=[1]).dump())
        self.assertEqual(decoded, {"a": {"error": "RuntimeError"}, "b": [1]})

    def test_synchronous_dump_equals_asynchronous_dump(self):
        dump = make_dump(a=[1, 2], b={"c": None})
        self.assertEqual(dump.dump_sync(), run_virtual(dump.dump()))

    def test_duplicate_name_is_rejected(self):
        dump = make_dump(a=1)
        with self.assertRaises(ValueError):
            dump.add_source(FixedSource("a", 2))

    @settings(max_examples=60, deadline=None)
    @given(VALUES, st.integers(200, 2_000))
    def test_any_state_yields_json_within_the_limit(self, value, size_max):
        data = make_dump(size_max, a=value, b=value).dump_sync()
        self.assertLessEqual(len(data), size_max)
        self.assertEqual(set(msgspec.json.decode(data)), {"a", "b"})

import random
import unittest

from basilhold.core import OfficeName, Resources, VmId
from basilhold.ports import VmKind, VmRecord, VmState
from basilhold.relay import DocumentCopy, pack_document, unpack_document
from basilhold.relay.vm_copies import VmListCopy

OFFICE = OfficeName("oslo")


def vm(index, port=1):
    return VmRecord(
        VmId(f"vm-{index}"),
        VmKind.WORKER,
        VmState.LIVE,
        "r",
        "z",
        "rack",
        "10.0.0.1",
        port,
        Resources(1, 1, 1),
    )


class DocumentMessageTest(unittest.TestCase):
    """Guards against applying a document that was not sent."""

    def test_difference_to_the_known_version_is_small(self):
        text = bytes(random.Random(1).randbytes(4000).hex(), "ascii")
        old = DocumentCopy(OFFICE, 1, text)
        new = DocumentCopy(OFFICE, 2, text[:3000] + b"x" + text[3001:])
        message = pack_document(new, old)
        self.assertLess(len(message.content), 200)
        self.assertEqual(unpack_document(message, old).ok, new)

    def test_unknown_base_cut_content_and_bombs_are_refused(self):
        old, new = DocumentCopy(OFFICE, 1, b"abc"), DocumentCopy(OFFICE, 2, b"abcd")
        self.assertTrue(unpack_document(pack_document(new, old), None).is_error())
        message = pack_document(new, None)
        message.content = message.content[:-3]
        self.assertTrue(unpack_document(message, None).is_error())
        bomb = pack_document(DocumentCopy(OFFICE, 2, b" " * (1 << 20)), None)
        self.assertTrue(unpack_document(bomb, None).is_error())


class VmListCopyTest(unittest.TestCase):
    """Guards deltas against leaving a receiver with another list than the sender."""

    def test_random_changes_reach_receivers_that_skip_versions(self):
        for seed in range(50):
            rng = random.Random(seed)
            sender, receivers = VmListCopy(), [VmListCopy() for _ in range(4)]
            current = {}
            for version in range(1, 40):
                index = rng.randrange(12)
                if index in current and rng.random() < 0.5:
                    del current[index]
                else:
                    current[index] = vm(index, rng.randrange(100))
                sender.replace(version, current.values())
                receiver = rng.choice(receivers)
                delta = sender.delta_since(receiver.version)
                if delta is not None:
                    self.assertTrue(receiver.apply(delta))
                    self.assertTrue(receiver.apply(delta), "a repeat is harmless")
                self.assertEqual(receiver.records, sender.records)

    def test_receiver_at_a_version_that_the_sender_never_had_gets_the_list(self):
        receiver, sender = VmListCopy(), VmListCopy()
        receiver.replace(15, [vm(1), vm(2)])
        sender.replace(10, [vm(1)])
        sender.replace(20, [vm(1)])
        delta = sender.delta_since(receiver.version)
        self.assertEqual(delta.from_version, 0)
        self.assertTrue(receiver.apply(delta))
        self.assertEqual(receiver.records, sender.records)

    def test_delta_from_another_version_and_old_lists_are_refused(self):
        sender, receiver = VmListCopy(), VmListCopy()
        sender.replace(1, [vm(1)])
        sender.replace(2, [vm(2)])
        receiver.replace(5, [vm(3)])
        self.assertFalse(sender.replace(1, []))
        sender.replace(6, [vm(4)])
        self.assertFalse(receiver.apply(sender.delta_since(2)))
        self.assertEqual(receiver.version, 5)

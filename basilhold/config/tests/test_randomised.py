import re
import unittest
from unittest import mock

import msgspec
from absl import logging

from basilhold.config import ConfigInForce, ConfigStore, store
from basilhold.config.tests.randomised import run_seed
from basilhold.core import InvariantError
from basilhold.relay import RelayState, pack_document, receiver, sender
from basilhold.relay.receiver import Reception, UpdateReceiver
from basilhold.testing.control_cell import ControlCell

SEEDS = range(200)
BROKEN_SEEDS = range(30)


class RandomisedConfigTest(unittest.TestCase):
    """Guards G8 against combinations of races, lost replies, outages and cuts."""

    def setUp(self):
        verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, verbosity)

    def test_seeds(self):
        accepted = sum(run_seed(seed).accepted for seed in SEEDS)
        self.assertGreater(accepted, len(SEEDS))

    def assert_caught(self, cell_class, text):
        """Require a seed in which the invariant that is meant fails.

        A fault can break other invariants as well, and in another seed first.
        """
        for seed in BROKEN_SEEDS:
            try:
                run_seed(seed, cell_class)
            except InvariantError as error:
                if re.search(text, str(error)):
                    return
        self.fail("no seed found the fault")

    def test_no_compare_and_set_is_caught(self):
        make = store._transaction

        def unconditional(*arguments):
            return msgspec.structs.replace(make(*arguments), conditions=())

        with mock.patch.object(store, "_transaction", unconditional):
            self.assert_caught(ControlCell, "accepted twice|is lost|accepted changes")

    def test_applying_older_versions_is_caught(self):
        class Careless(ConfigInForce):
            def apply(self, version, document):
                self._in_force.pop(document.office, None)
                return super().apply(version, document)

        class CarelessCell(ControlCell):
            in_force_class = Careless

        def put(state, copy):
            state.documents[copy.office] = copy
            return True

        def take(state, message):
            return put(state, receiver.unpack_document(message, None).ok)

        def receive(self, update):
            self._apply_content(update)
            self._apply_confirmations(update)
            return Reception.APPLIED

        def pack(copy, _base):
            return pack_document(copy, None)

        with (
            mock.patch.object(RelayState, "put_document", put),
            mock.patch.object(receiver, "take_document", take),
            mock.patch.object(UpdateReceiver, "receive", receive),
            mock.patch.object(sender, "pack_document", pack),
        ):
            self.assert_caught(CarelessCell, "applied version")

    def test_not_reading_back_a_lost_reply_is_caught(self):
        class Forgetful(ConfigStore):
            async def _read_write_id(self, office, version):
                return store.Ok("")

        class ForgetfulCell(ControlCell):
            store_class = Forgetful

        self.assert_caught(ForgetfulCell, "accepted changes")

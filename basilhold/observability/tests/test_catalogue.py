import unittest

from basilhold.observability.catalogue import CATALOGUE_PATH, declared_events, render


class CatalogueTest(unittest.TestCase):
    """Guards against log events that are missing from the documentation."""

    def test_document_is_up_to_date(self):
        self.assertEqual(
            CATALOGUE_PATH.read_text(),
            render(),
            "run python -m basilhold.observability.catalogue --write",
        )

    def test_numbers_are_in_the_range_of_their_package(self):
        ranges = {
            "requests": 1,
            "gateway": 1,
            "placement": 2,
            "sharding": 2,
            "config": 3,
            "membership": 3,
            "relay": 3,
            "programs": 4,
            "settings": 4,
            "adapters": 4,
            "operators_api": 4,
            "observability": 4,
            "accounting": 5,
            "workflows": 6,
            "platform": 6,
        }
        for entry in declared_events():
            package = entry.package.split(".")[1]
            self.assertEqual(entry.event.number // 1000, ranges[package], entry.name)

"""Lookup of tenants by API key."""

import unittest

from basilhold.tenants import Tenant, TenantName, TenantRegistry, digest_key

NORTH = Tenant(TenantName("north"))
SOUTH = Tenant(TenantName("south"))


class TenantRegistryTest(unittest.TestCase):
    """Guards against keys that open another tenant, or that can be read from memory."""

    def setUp(self):
        self.registry = TenantRegistry(
            [(NORTH, map(digest_key, ("n1", "n2"))), (SOUTH, [digest_key("s1")])]
        )

    def test_each_key_finds_its_tenant(self):
        self.assertIs(self.registry.find("n1"), NORTH)
        self.assertIs(self.registry.find("n2"), NORTH)
        self.assertIs(self.registry.find("s1"), SOUTH)

    def test_missing_and_unknown_keys_find_nothing(self):
        for key in ("", "n", "n1 ", "N1", "n3", "\u00e9" * 10_000):
            self.assertIsNone(self.registry.find(key), key)

    def test_registry_holds_no_key(self):
        self.assertNotIn("n1", repr(vars(self.registry)))

"""Tests of the choice of addresses for processes."""

import unittest
from unittest import mock

from harness import ports


class PortsTest(unittest.TestCase):
    """Processes that start later find their ports free."""

    def test_two_daemons_never_get_one_port(self) -> None:
        """One of them would end whenever it starts, as it can't listen."""
        few = range(12_000, 12_400)
        with mock.patch.object(ports, '_PORTS', few):
            found = [ports.free_addresses(4) for _ in range(40)]
        addresses = [address for some in found for address in some]
        self.assertEqual(len(addresses), len(set(addresses)))

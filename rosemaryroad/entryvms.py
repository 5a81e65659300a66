"""What the VM list says of the entry VMs, for those who need it."""

import collections.abc

from rosemaryroad import clock as clock_module
from rosemaryroad import decisions
from rosemaryroad import model
from rosemaryroad import nodestatus
from rosemaryroad import platform

__all__ = ['EntryVms']

_AddressByVm = dict[str, model.Address]


class EntryVms:
    """Tells the membership and the links of the listed entry VMs.

    Args:
        membership: It hears of each list.
        set_peers: Called with whom to dial, when that may have changed.
        clock: The time.
    """

    def __init__(
        self,
        membership: decisions.Membership,
        set_peers: collections.abc.Callable[[_AddressByVm], None],
        clock: clock_module.Clock,
    ) -> None:
        self._membership = membership
        self._set_peers = set_peers
        self._clock = clock
        self._records: tuple[platform.VmRecord, ...] | None = None
        self._listed: tuple[decisions.EntryVm, ...] = ()

    def apply(self, records: tuple[platform.VmRecord, ...]) -> None:
        """Takes in the entry VMs of a list that was read just now.

        Args:
            records: They; the same tuple as before where unchanged.
        """
        if records is not self._records:
            self._records = records
            self._listed = tuple(_entry_vm(record) for record in records)
            self._set_peers(
                {
                    record.vm: model.Address.parse(record.peer_address)
                    for record in records
                    if record.peer_address
                }
            )
        self._membership.listed(self._listed, self._clock.now())


def _entry_vm(record: platform.VmRecord) -> decisions.EntryVm:
    return decisions.EntryVm(
        record.vm,
        nodestatus.incarnation_of(record),
        record.state is platform.VmState.LEAVING,
    )

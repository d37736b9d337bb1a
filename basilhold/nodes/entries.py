"""Entry VMs of the settings."""

from basilhold.core import RegionName, VmId, ZoneName
from basilhold.nodes.directory import EntryPorts
from basilhold.settings import Settings

__all__ = ["entry_ports"]


def entry_ports(settings: Settings) -> tuple[EntryPorts, ...]:
    """Return the entry VMs of the settings."""
    regions = {zone.name: zone.region for zone in settings.zones}
    return tuple(
        EntryPorts(
            VmId(vm.id),
            ZoneName(vm.zone),
            RegionName(regions[vm.zone]),
            vm.host,
            vm.gateway_port,
            vm.scheduler_port,
            vm.relay_port,
        )
        for vm in settings.entry_vms
    )

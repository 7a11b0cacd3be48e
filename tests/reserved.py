"""Loopback ports that stay reserved while the test process runs."""

from testbed.ports import LOOPBACK, ReservedPorts

_RESERVED = []


def reserve_ports(count, ips=(LOOPBACK,)):
    """Returns ports that no outgoing connection and no other test process can use."""
    reserved = ReservedPorts(count, ips)
    _RESERVED.append(reserved)
    return reserved.ports

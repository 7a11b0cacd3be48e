"""Checks of what backend servers say of themselves, before it goes into the log.

What is accepted must be storable, bounded and usable: an announcement that fails later
would end whichever member leads.
"""

import ipaddress

from cassiapitch.announcements import Announcement

COUNT_LIMIT = 10**9
# Times, versions and sequence numbers; whole numbers up to here are exact in JSON.
NUMBER_LIMIT = 2**53
TEXT_LIMIT_LENGTH = 256
ITEMS_LIMIT_COUNT = 4_096


def check(announcement: Announcement) -> Announcement:
    """Returns an announcement that is fit to be used.

    Raises:
        ValueError: It isn't.
    """
    _check_address(announcement.ip, announcement.port)
    counts = (
        announcement.memory_mib,
        announcement.max_running_count,
        announcement.running_count,
        announcement.waiting_count,
        *(item.memory_mib for item in announcement.loaded),
    )
    numbers = (
        announcement.fence_term,
        announcement.fence_number,
        announcement.sequence,
        announcement.started_ms,
        announcement.cold_remaining_ms,
        *(item.version for item in announcement.loaded),
    )
    lists = (
        announcement.loaded,
        announcement.adapters,
        announcement.settled,
        announcement.cached_prefixes,
        announcement.warm_models,
        announcement.disk_models,
    )
    texts = (
        announcement.name,
        announcement.life_id,
        announcement.role,
        announcement.zone,
        announcement.software_version,
        *(item.model for item in announcement.loaded),
        *(item.order_id for item in announcement.settled),
        *announcement.adapters,
        *announcement.cached_prefixes,
        *announcement.warm_models,
        *announcement.disk_models,
    )
    if not all(0 <= count <= COUNT_LIMIT for count in counts):
        raise ValueError("a count is out of range")
    if not all(0 <= number <= NUMBER_LIMIT for number in numbers):
        raise ValueError("a number is out of range")
    if any(len(items) > ITEMS_LIMIT_COUNT for items in lists):
        raise ValueError("a list is too long")
    for text in texts:
        if len(text) > TEXT_LIMIT_LENGTH:
            raise ValueError("a text is too long")
        # A lone surrogate raises a ValueError: it could not be written.
        text.encode()
    return announcement


def _check_address(ip: str, port: int) -> None:
    address = ipaddress.ip_address(ip)
    if address.is_unspecified or address.is_multicast:
        raise ValueError(f"not the address of a host: {ip}")
    if not 0 < port < 65_536:
        raise ValueError(f"not a port: {port}")

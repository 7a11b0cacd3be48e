"""Home regions: where the requests of a route or a client account may be served."""

from collections.abc import Mapping

from cassiapitch.forwardroutes import ForwardRoute
from cassiapitch.viewitems import AccountItem

# Region names; None stands for all regions.
Regions = frozenset[str] | None


def allowed_regions(route: ForwardRoute | None, account: AccountItem | None) -> Regions:
    """Returns the regions that may serve a request, or None if all may.

    Each list that isn't empty applies, so the result may be empty.
    """
    lists = [
        frozenset(item.home_regions)
        for item in (route, account)
        if item is not None and item.home_regions
    ]
    return frozenset.intersection(*lists) if lists else None


def is_allowed(zone: str, regions: Regions, zone_regions: Mapping[str, str]) -> bool:
    """Returns whether requests restricted to regions may be served in a zone.

    A zone of unknown region is allowed only where no restriction applies.
    """
    return regions is None or zone_regions.get(zone) in regions

"""The endpoints of every service by locality and rank, rebuilt from the endpoint list, the gateways and the config.

The topology holds one endpoint per backend instance and address, and one endpoint set per service. In its own zone each
gateway owns an even share of a service's backends. For other backends rendezvous hashing determines the order of the
gateways, with the gateways of the backend's zone first if it is in this gateway's region.

Invariant: an endpoint set contains no backend that is draining or in an evacuated zone.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from hallhitch.planes.data.endpoint import Endpoint, Locality, new_zone_sends
from hallhitch.planes.data.endpoint_set import EndpointSet
from hallhitch.planes.data.outlier_detection import UnansweredSends
from hallhitch.planes.data.rendezvous import RendezvousWeights, assign_owners
from hallhitch.planes.data.slow_start import SlowStart, SlowStartBounds
from hallhitch.planes.values import Backend, ClusterConfig, Gateway


@dataclass(frozen=True, slots=True)
class GatewayLocation:
    """The zone and region of a gateway."""

    zone: str
    region: str


class EndpointTopology:
    """The endpoints and endpoint sets of one gateway."""

    def __init__(self, name: str, location: GatewayLocation, slow_start_bounds: SlowStartBounds) -> None:
        """Start without endpoints; `name` and `location` are those of this gateway."""
        self.endpoint_sets: dict[str, EndpointSet] = {}  # by service; updated in place, since others hold a reference
        self.gateways: dict[str, GatewayLocation] = {
            name: location
        }  # by name; those that serve clients, including this one
        self._name, self._location = name, location
        self._weights = RendezvousWeights()
        self.slow_start = SlowStart(name, location.region, slow_start_bounds, self._weights)
        self._config: ClusterConfig | None = None
        self._entries: Sequence[Backend] = ()
        self._placement_keys: Sequence[tuple[object, ...]] = ()
        self._endpoints: dict[str, Endpoint] = {}  # by instance
        self._zone_sends: dict[str, UnansweredSends] = {}

    def set_backends(self, now: float, entries: Sequence[Backend]) -> None:
        """Replace the list of all backends; an instance that keeps its address keeps its endpoint."""
        self._entries = entries
        self.slow_start.set_backends(now, entries, self._config.services if self._config else {})
        endpoints: dict[str, Endpoint] = {}
        for entry in entries:
            endpoint = self._endpoints.get(entry.instance)
            if endpoint is None or (endpoint.backend.host, endpoint.backend.port) != (entry.host, entry.port):
                sends = self._zone_sends.setdefault(entry.zone, new_zone_sends())
                endpoint = Endpoint(entry, entry.slots, zone_unanswered_sends=sends)
            endpoint.update(entry)
            endpoints[entry.instance] = endpoint
        self._endpoints = endpoints
        # The endpoint list is received often but changes rarely.
        placement_keys = [(e.instance, e.host, e.port, e.service, e.zone, e.slots, e.is_draining) for e in entries]
        if placement_keys != self._placement_keys:
            self._placement_keys = placement_keys
            self._rebuild()

    def set_gateways(self, now: float, entries: Sequence[Gateway]) -> None:
        """Replace the list of live gateways; those that are leaving or serve no clients are ignored."""
        gateways = {g.name: GatewayLocation(g.zone, g.region) for g in entries if g.frontend and not g.is_leaving}
        gateways[self._name] = self._location
        self.slow_start.set_gateways(now, entries)
        if gateways != self.gateways:
            self.gateways = gateways
            self._rebuild()

    def set_config(self, now: float, config: ClusterConfig) -> None:
        """Replace the cluster configuration."""
        is_first = self._config is None
        self._config = config
        if is_first:
            self.slow_start.set_backends(now, self._entries, config.services)
        self.slow_start.set_evacuated_zones(now, config.evacuated_zones, self._entries, config.services)
        for name, service in config.services.items():
            if name in self.endpoint_sets:
                self.endpoint_sets[name].service = service
        self._rebuild()

    def _rebuild(self) -> None:
        """Recompute the locality and rank of every endpoint and refill the endpoint sets."""
        config = self._config
        if config is None:
            return
        self._weights.retain(set(self._endpoints), set(self.gateways))
        location = self._location
        region_gateways = [name for name, gateway in self.gateways.items() if gateway.region == location.region]
        zone_gateways = [name for name, gateway in self.gateways.items() if gateway.zone == location.zone]
        for name, endpoints in self._endpoints_by_service(config).items():
            endpoint_set = self.endpoint_sets.get(name)
            if endpoint_set is None:
                endpoint_set = self.endpoint_sets[name] = EndpointSet(config.services[name], self.slow_start)
            self._place(endpoints, region_gateways, zone_gateways)
            endpoint_set.set_endpoints(endpoints, len(region_gateways))
        for name in [n for n in self.endpoint_sets if n not in config.services]:
            del self.endpoint_sets[name]

    def _endpoints_by_service(self, config: ClusterConfig) -> dict[str, list[Endpoint]]:
        """Return the endpoints that accept new requests, by configured service."""
        endpoints: dict[str, list[Endpoint]] = {name: [] for name in config.services}
        for endpoint in self._endpoints.values():
            backend = endpoint.backend
            accepts_requests = not backend.is_draining and backend.zone not in config.evacuated_zones
            if accepts_requests and backend.service in endpoints:
                endpoints[backend.service].append(endpoint)
        return endpoints

    def _place(self, endpoints: list[Endpoint], region_gateways: list[str], zone_gateways: list[str]) -> None:
        """Set the localities and ranks of one service's endpoints, given the gateways of this region and this zone."""
        location = self._location
        zone_instances = [e.backend.instance for e in endpoints if e.backend.zone == location.zone]
        owners = assign_owners(self._weights, zone_instances, zone_gateways)
        for endpoint in endpoints:
            backend = endpoint.backend
            if backend.zone == location.zone:
                rank = self._weights.rank(backend.instance, self._name, zone_gateways)
                is_owner = owners[backend.instance] == self._name
                endpoint.place(Locality.SAME_ZONE, 0 if is_owner else max(rank, 1))
            elif backend.region == location.region:
                same_zone = [name for name in region_gateways if self.gateways[name].zone == backend.zone]
                other_zones = [name for name in region_gateways if name not in same_zone]
                rank = self._weights.rank(backend.instance, self._name, other_zones)
                endpoint.place(Locality.SAME_REGION, len(same_zone) + rank)
            else:
                rank = self._weights.rank(backend.instance, self._name, region_gateways)
                endpoint.place(Locality.REMOTE_REGION, rank)

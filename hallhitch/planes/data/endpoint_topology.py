"""The endpoints of every service by locality and rank, rebuilt from the endpoint list, the gateways and the config.

Owns the endpoints (one a backend instance and address) and the endpoint sets (one a service). Invariant: an endpoint
set holds no backend that drains or stands in an evacuated zone. In its own zone each gateway owns an even share of a
service's backends; elsewhere the order of gateways is that of rendezvous hashing, those of the backend's zone first.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from hallhitch.planes.data.endpoint import Endpoint, Locality, zone_sends
from hallhitch.planes.data.endpoint_set import EndpointSet
from hallhitch.planes.data.outlier_detection import UnansweredSends
from hallhitch.planes.data.rendezvous import RendezvousWeights, assign_owners
from hallhitch.planes.data.slow_start import SlowStart, SlowStartBounds
from hallhitch.planes.values import Backend, ClusterConfig, Gateway


@dataclass(frozen=True, slots=True)
class GatewayLocation:
    """Where a gateway stands."""

    zone: str
    region: str


class EndpointTopology:
    """Endpoints and endpoint sets as one gateway sees them."""

    def __init__(self, name: str, location: GatewayLocation, slow_start_bounds: SlowStartBounds) -> None:
        """`name` and `location` are this gateway's."""
        self.endpoint_sets: dict[str, EndpointSet] = {}  # by service; changed in place
        self.gateways: dict[str, GatewayLocation] = {name: location}  # that take clients, this one included
        self._name, self._location = name, location
        self._weights = RendezvousWeights()
        self.slow_start = SlowStart(name, location.region, slow_start_bounds, self._weights)
        self._config: ClusterConfig | None = None
        self._entries: Sequence[Backend] = ()
        self._placed_entries: Sequence[tuple[object, ...]] = ()
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
                sends = self._zone_sends.setdefault(entry.zone, zone_sends())
                endpoint = Endpoint(entry, entry.slots, zone_unanswered=sends)
            endpoint.update(entry)
            endpoints[entry.instance] = endpoint
        self._endpoints = endpoints
        # The list comes often and changes seldom.
        placed_entries = [(e.instance, e.host, e.port, e.service, e.zone, e.slots, e.is_draining) for e in entries]
        if placed_entries != self._placed_entries:
            self._placed_entries = placed_entries
            self._rebuild()

    def set_gateways(self, now: float, entries: Sequence[Gateway]) -> None:
        """Replace the list of live gateways; those that leave or take no clients do not count."""
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
        """Sort all endpoints anew: by service, locality and rank."""
        config = self._config
        if config is None:
            return
        self._weights.retain(set(self._endpoints), set(self.gateways))
        own = self._location
        in_region = [name for name, gateway in self.gateways.items() if gateway.region == own.region]
        in_zone = [name for name, gateway in self.gateways.items() if gateway.zone == own.zone]
        for name, endpoints in self._endpoints_by_service(config).items():
            endpoint_set = self.endpoint_sets.get(name)
            if endpoint_set is None:
                endpoint_set = self.endpoint_sets[name] = EndpointSet(config.services[name], self.slow_start)
            self._place(endpoints, in_region, in_zone)
            endpoint_set.set_endpoints(endpoints, len(in_region))
        for name in [n for n in self.endpoint_sets if n not in config.services]:
            del self.endpoint_sets[name]

    def _endpoints_by_service(self, config: ClusterConfig) -> dict[str, list[Endpoint]]:
        """The endpoints that take new requests, by service of the configuration."""
        endpoints: dict[str, list[Endpoint]] = {name: [] for name in config.services}
        for endpoint in self._endpoints.values():
            backend = endpoint.backend
            takes_requests = not backend.is_draining and backend.zone not in config.evacuated_zones
            if takes_requests and backend.service in endpoints:
                endpoints[backend.service].append(endpoint)
        return endpoints

    def _place(self, endpoints: list[Endpoint], in_region: list[str], in_zone: list[str]) -> None:
        """Set locality and rank of one service's endpoints, with the gateways of the own region and zone."""
        own = self._location
        zone_instances = [e.backend.instance for e in endpoints if e.backend.zone == own.zone]
        owners = assign_owners(self._weights, zone_instances, in_zone)
        for endpoint in endpoints:
            backend = endpoint.backend
            if backend.zone == own.zone:
                rank = self._weights.rank(backend.instance, self._name, in_zone)
                is_owner = owners[backend.instance] == self._name
                endpoint.place(Locality.SAME_ZONE, 0 if is_owner else max(rank, 1))
            elif backend.region == own.region:
                nearer = [name for name in in_region if self.gateways[name].zone == backend.zone]
                rest = [name for name in in_region if name not in nearer]
                rank = self._weights.rank(backend.instance, self._name, rest)
                endpoint.place(Locality.SAME_REGION, len(nearer) + rank)
            else:
                rank = self._weights.rank(backend.instance, self._name, in_region)
                endpoint.place(Locality.REMOTE_REGION, rank)

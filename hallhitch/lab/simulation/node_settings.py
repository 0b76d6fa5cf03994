"""Settings of simulated nodes."""

from __future__ import annotations

from pathlib import Path

from hallhitch.node.settings import NodeSettings, RuleBounds

REGION_BY_ZONE = {"viti-a": "viti", "viti-b": "viti"}
PORTS_PER_NODE = 16
SEED_OPERATOR_PORT = 9000  # port of the seed nodes in the settings; coordinators derive the internal port themselves


def coordinator_settings(
    address: str,
    is_first_start: bool,
    seed_addresses: tuple[str, ...],
    tolerated_losses: int,
    data_directory: Path = Path("/nowhere"),
) -> NodeSettings:
    """Return the settings of the coordinator with this internal address."""
    host, port = address.split(":")
    return NodeSettings(
        name=host,
        role="coordinator",
        machine_class="core",
        serves=frozenset({"control_plane"}),
        ip_address=host,
        zone="viti-a",
        region="viti",
        internal_port_range=(int(port), int(port) + PORTS_PER_NODE - 1),
        seed_nodes=tuple((seed.split(":")[0], SEED_OPERATOR_PORT) for seed in seed_addresses),
        is_first_start=is_first_start,
        region_by_zone=REGION_BY_ZONE,
        listen_addresses={},
        bounds=RuleBounds(),
        tolerated_machine_losses=tolerated_losses,
        memory_mb=256,
        max_open_files=1024,
        data_directory=data_directory,
        cloud_api_address=None,
        cloud_api_rate_per_s=1.0,
        endpoint_list_lag_ms=1000.0,
        cluster_name="",
    )

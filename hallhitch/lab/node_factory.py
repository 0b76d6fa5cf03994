"""Creates the modelled nodes of a run: the placement in pods and zones, and the drawn speeds."""

from __future__ import annotations

from hallhitch.lab.journal import Journal
from hallhitch.lab.node import Node, NodeEnvironment, NodeIdentity, Pod, Time
from hallhitch.lab.scenario import WorldSettings
from hallhitch.lab.streams import Streams


class NodeFactory:
    """Creates nodes by number; a node's random draws depend on the seed and its number alone, but for its speed."""

    def __init__(self, world: WorldSettings, time: Time, journal: Journal, streams: Streams) -> None:
        self._world = world
        self._time = time
        self._journal = journal
        self._streams = streams
        self._speeds = streams.of("speeds")
        self._pods = [Pod() for _ in range(world.pods)]

    def create(self, number: int, started_at: float) -> Node:
        """Create a node; with `started_at` 0 it is warm."""
        world = self._world
        cell = number % world.pods
        speed = self._speeds.uniform(*world.speed) * world.ability(number)
        identity = NodeIdentity(f"node-{number}", cell, number % world.zones, speed)
        environment = NodeEnvironment(
            world, self._pods[cell], self._time, self._journal, self._streams.of(f"node {number}")
        )
        return Node(identity, environment, started_at)

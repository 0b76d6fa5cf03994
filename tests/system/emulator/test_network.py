"""Connection owners, links that are cut, and relays between processes."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from hallhitch.lab.emulator.connection_owners import ConnectionOwners
from hallhitch.lab.emulator.link_relays import LinkRelays, RelayEndpoint
from hallhitch.lab.emulator.network_paths import NetworkPaths
from hallhitch.lab.emulator.ports import reserve_ports
from hallhitch.lab.emulator.relayed_program import MAX_CALLERS, connect_over_relay
from hallhitch.lab.http_messages import encode_response, read_message
from tests.system.emulator.emulated_parties import (
    SCRIPTED_HOST,
    encode_request,
    run_with_timeout,
    start_scripted_server,
)


def test_owner_of_a_connection_is_found() -> None:
    with socket.socket() as listener, socket.socket() as caller:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        caller.connect(listener.getsockname())
        accepted, peer = listener.accept()
        with accepted:
            local = accepted.getsockname()
            assert ConnectionOwners(lambda: {os.getpid(): "edge-1"}).find_owner(peer, local) == "edge-1"
            assert ConnectionOwners(dict).find_owner(peer, local) == ""


def test_cut_link_blocks_both_directions_until_the_cut_ends() -> None:
    async def body() -> None:
        network = NetworkPaths(0, 0, {"edge-1": 4, "edge-2": 5})
        number = network.begin_fault("cut", ["edge-1"], ["nodes"])
        assert network.is_blocked("edge-1", "nodes") and network.is_blocked("nodes", "edge-1")
        assert not network.is_blocked("edge-2", "nodes")
        waiting = asyncio.ensure_future(network.wait_for_link("nodes", "edge-1"))
        await asyncio.sleep(0)
        assert not waiting.done()
        network.end_fault(number)
        await waiting

    run_with_timeout(body)


def test_relay_refuses_connections_and_holds_data_back_during_a_cut() -> None:
    """A connection opens only when the link is restored, a closed port refuses, and data held back by a cut arrives."""

    async def body() -> None:
        base_port, reservation = reserve_ports()
        loop = asyncio.get_running_loop()
        network = NetworkPaths(0, 0, {"edge-1": 1, "edge-2": 2})
        endpoints = [RelayEndpoint(1, "edge-1", "127.1.1.2"), RelayEndpoint(2, "edge-2", SCRIPTED_HOST)]
        relays = LinkRelays(network, endpoints, base_port)
        await relays.start()
        with pytest.raises(ConnectionRefusedError):
            await connect_over_relay(loop, SCRIPTED_HOST, base_port, 1)
        server = await start_scripted_server(
            base_port, lambda status_line, headers, body: encode_response(200, status_line.encode())
        )
        cut = network.begin_fault("cut", ["edge-1"])
        opening = asyncio.ensure_future(connect_over_relay(loop, SCRIPTED_HOST, base_port, 1))
        while not relays.connections:
            await asyncio.sleep(0)
        assert not opening.done()
        network.end_fault(cut)
        reader, writer = await asyncio.open_connection(sock=await opening)
        writer.write(encode_request("a1"))
        assert (await read_message(reader))[2] == b"GET /look/1 HTTP/1.1"
        relays.close()
        server.close()
        reservation.close()

    run_with_timeout(body)


def test_relays_reject_more_machines_than_fit_into_their_addresses() -> None:
    relays = LinkRelays(NetworkPaths(0, 0, {}), [], 1)
    with pytest.raises(ValueError, match=f"edge-9: at most {MAX_CALLERS} machines"):
        asyncio.run(relays.add(RelayEndpoint(MAX_CALLERS + 1, "edge-9", "127.1.1.1")))

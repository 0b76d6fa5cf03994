"""The rendezvous order of peers."""

from hallhitch.planes.distribution.peer_order import rendezvous_order


def test_each_name_has_its_own_order_and_removing_a_peer_keeps_it() -> None:
    peers = [f"c{n}" for n in range(5)]
    first_choices = {rendezvous_order(f"g{n}", peers)[0] for n in range(60)}
    assert first_choices == set(peers)
    for n in range(60):
        order = rendezvous_order(f"g{n}", peers)
        assert rendezvous_order(f"g{n}", order[1:]) == order[1:]

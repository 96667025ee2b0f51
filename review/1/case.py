"""Rolling restarts under flows that are kept open, with pauses."""

import os
import sys
import uuid

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from stand_ins.clients import Request  # noqa: E402
from stand_ins.world import World, has_trouble, run_case  # noqa: E402

ZONES = {"north-a": 2, "north-b": 3, "north-c": 2, "north-d": 1}
ROUTE = ("127.1.0.1", 8443)
FLOWS_PER_S = 250
LENGTH_S = 101
GAP_S = 2.0
GRACE_S = 6.0
PAUSES_S = (3.0, 5.0)
ROLLS_AT_S = (4, 22, 40, 58, 76)


def open_flows(world, clients):
    """Opens flows in zone d at a steady rate, two requests on each."""
    count = [0]

    def open_one():
        client = clients[count[0] % len(clients)]
        count[0] += 1
        requests = [Request(uuid.uuid4().hex[:16], ROUTE, 0)
                    for _ in range(2)]
        client.open(ROUTE, requests, PAUSES_S)
        world.loop.after(1 / FLOWS_PER_S, open_one)

    open_one()


def play():
    """Plays the case."""
    world = World(ZONES, {ROUTE: {"order-desk"}})
    try:
        world.add_hosts("order-desk", {"north-a": 4, "north-b": 4,
                                       "north-c": 3, "north-d": 3},
                        slots=3, work_ms=55, answer_bytes=4000)
        clients = world.add_clients("north-d", 20, deadline_s=3.0)
        world.put_config(4, {"stock": (ROUTE, "order-desk", "safe")})
        world.start()
        open_flows(world, clients)
        if has_trouble():
            for at_s in ROLLS_AT_S:
                world.loop.after(at_s, world.fleet.roll, GAP_S, GRACE_S)
        world.loop.run(LENGTH_S)
    finally:
        world.stop()
    return world


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)),
             "rolling restarts under flows that are kept open", play)

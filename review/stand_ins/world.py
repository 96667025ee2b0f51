"""A small deployment on loopback addresses."""

import atexit
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

from stand_ins.clients import Client
from stand_ins.hosts import Host
from stand_ins.judge import Judge
from stand_ins.loop import Loop
from stand_ins.nodes import ROOT, Fleet, Node
from stand_ins.store import Store, serve

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
METRICS_PORT = 9464
READY_LIMIT_S = 10
IDLE_TIMEOUT_MS = 15000


class NotRun(Exception):
    """The case could not run."""


def has_trouble():
    """Returns whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def _is_free(address, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


class World:
    """Nodes, store, hosts and clients in their own part of 127.0.0.0/8."""

    def __init__(self, zones, routes):
        """zones maps a zone to its number of nodes, routes a route's address
        and port to the services it allows."""
        if not os.path.exists(os.path.join(ROOT, "target/shallotd")):
            raise NotRun("target/shallotd is missing: run the deploy file's "
                         "build first")
        self.random = random.Random()
        self.folder = tempfile.mkdtemp(prefix="review-")
        atexit.register(shutil.rmtree, self.folder, ignore_errors=True)
        self.net = self._find_net()
        self.ports = self._find_ports()
        self.loop = Loop()
        self.judge = Judge(routes)
        self.store = Store()
        self.store_port = self._find_port(f"127.{self.net}.0.1")
        self.servers = {}
        self.hosts = []
        self.clients = []
        self.fleet = Fleet(self._make_nodes(zones), self.judge.note)

    def _find_net(self):
        for _ in range(50):
            net = self.random.randint(16, 240)
            if _is_free(f"127.{net}.10.1", METRICS_PORT):
                return net
        raise NotRun("no free loopback network")

    def _find_port(self, address):
        for _ in range(50):
            port = self.random.randint(12000, 30000)
            if _is_free(address, port):
                return port
        raise NotRun("no free port")

    def _find_ports(self):
        address = f"127.{self.net}.10.1"
        names = ("datagram", "ready", "inner")
        ports = {}
        while len(set(ports.values())) < len(names):
            ports = {name: self._find_port(address) for name in names}
        return ports

    def _make_nodes(self, zones):
        nodes = []
        for zone_number, (zone, count) in enumerate(zones.items(), 1):
            for number in range(1, count + 1):
                name = f"frontend-{zone}-{number}"
                store = f"127.{self.net}.0.{len(nodes) + 1}"
                self.servers[name] = serve(self.store, store, self.store_port)
                nodes.append(Node(
                    name, zone, f"127.{self.net}.{9 + zone_number}.{number}",
                    self.ports, f"{store}:{self.store_port}", self.folder))
        return nodes

    def add_hosts(self, service, zones, slots, work_ms, answer_bytes):
        """Adds the hosts of a service; zones maps a zone to their number."""
        for zone, count in zones.items():
            for _ in range(count):
                number = len(self.hosts) + 1
                self.hosts.append(Host(
                    self.loop, f"i-{self.random.getrandbits(32):08x}",
                    service, zone, f"127.{self.net}.200.{number}", 8080,
                    slots, work_ms, answer_bytes, self.ports["datagram"],
                    self.store, self.judge))
                self.judge.names[(self.hosts[-1].address, 8080)] = \
                    f"{self.hosts[-1].name} of {service}"

    def add_clients(self, zone, count, deadline_s):
        """Adds clients of a zone."""
        added = []
        for _ in range(count):
            number = len(self.clients) + 1
            added.append(Client(
                self.loop, f"127.{self.net}.100.{number}",
                self.ports["datagram"], zone, self.fleet, self.judge,
                deadline_s))
            self.clients.append(added[-1])
        return added

    def put_config(self, version, routes):
        """Writes a configuration; routes maps names to (address, service)."""
        rows = [{"name": name, "hostname": address[0],
                 "prefix": f"/{address[1]}/", "type": kind, "timeoutMs": 3000,
                 "targetLatencyMs": 250, "priority": 1, "service": service,
                 "maxAttempts": 2}
                for name, (address, service, kind) in routes.items()]
        services = sorted({service for _, service, _ in routes.values()})
        self.store.put("op/config", json.dumps({
            "version": version, "routes": rows,
            "services": [{"name": name, "healthCheckPath": "/healthz",
                          "maxConnections": 2000, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000,
                       "idleTimeoutMs": IDLE_TIMEOUT_MS}}))
        self.judge.note(f"operator: version {version} acknowledged")

    def start(self):
        """Starts the nodes and waits until they are in rotation."""
        for node in self.fleet.nodes:
            self.judge.names[(node.address, self.ports["datagram"])] = \
                node.name
        self.fleet.start()
        end = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < end:
            self.loop.run(0.1)
            if all(node.is_in_rotation for node in self.fleet.nodes):
                self.loop.run(1)
                return
        raise NotRun("the nodes did not get ready")

    def stop(self):
        """Ends all processes and removes the temporary folder."""
        self.fleet.stop()
        for server in self.servers.values():
            server.shutdown()
            server.server_close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, title, play):
    """Plays a case, writes its record and exits with its result."""
    world = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    mode = "with" if has_trouble() else "without"
    try:
        world = play()
        world.judge.check_arrivals()
        code = EXIT_BROKEN if world.judge.breaks else EXIT_HELD
        world.judge.write(os.path.join(folder, "record.txt"),
                          f"{title}, {mode} the disruption")
        if not world.judge.has_traffic():
            raise NotRun("no request was answered")
        if world.fleet.failure:
            raise NotRun(f"a thread failed: {world.fleet.failure}")
    except Exception as error:  # any failure of the case itself
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(EXIT_NOT_RUN)
    rules = sorted({rule for rule, _ in world.judge.breaks})
    print(f"{title}, {mode} the disruption: "
          f"{'broken: ' + ', '.join(rules) if rules else 'held'}; "
          f"{len(world.judge.breaks)} times")
    sys.exit(code)
